"""Fills the registry of checkers by importing the modules that have them."""

from bilberryglade_lab.observers import (
    admission,
    outcomes,
    ownership,
    withdrawals,
)

MODULES = (admission, outcomes, ownership, withdrawals)
