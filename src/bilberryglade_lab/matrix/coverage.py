"""Compares the declared steps and faults with the rows of the matrix."""

import importlib
import pkgutil
import typing

import bilberryglade
from bilberryglade._values import steps
from bilberryglade_lab import matrix
from bilberryglade_lab.matrix import faults, pending, rows

CASES_SUFFIX: typing.Final = '_cases'


class Pair(typing.NamedTuple):
    """A fault at a step."""

    step: str
    fault: str


class Coverage(typing.NamedTuple):
    """What is proved, what is not, and what contradicts itself."""

    due: frozenset[Pair]
    proved: frozenset[Pair]
    excluded: frozenset[Pair]
    #: Pairs that `pending` names as not proved.
    pending: frozenset[Pair]
    #: Due pairs with neither row, exclusion nor entry in `pending`.
    missing: frozenset[Pair]
    #: Rows, exclusions and entries whose step or fault does not exist.
    unknown: frozenset[Pair]
    #: Pairs that stand in two places at once.
    contradicted: frozenset[Pair]


def load() -> None:
    """Imports every module, so that all steps and all rows are registered.

    Rows stand in modules of this package whose names end in `_cases`.
    """
    whole = pkgutil.walk_packages(bilberryglade.__path__, 'bilberryglade.')
    for module in whole:
        if '.tests' not in module.name and '__main__' not in module.name:
            importlib.import_module(module.name)
    for cases in pkgutil.iter_modules(matrix.__path__):
        if cases.name.endswith(CASES_SUFFIX):
            importlib.import_module(f'{matrix.__name__}.{cases.name}')


def measure() -> Coverage:
    """Returns the coverage by all rows that are registered now."""
    due = _due()
    proved = _proved()
    excluded = frozenset(
        Pair(exclusion.step, exclusion.fault)
        for exclusion in rows.exclusions.entries.values()
    )
    waiting = frozenset(
        Pair(entry.step, fault)
        for entry in pending.PENDING
        for fault in entry.faults
    )
    named = proved | excluded | waiting
    return Coverage(
        due=due,
        proved=proved,
        excluded=excluded,
        pending=waiting,
        missing=due - named,
        unknown=named - _declared(),
        contradicted=(
            (proved & excluded) | (proved & waiting) | (excluded & waiting)
        ),
    )


def _proved() -> frozenset[Pair]:
    return frozenset(
        Pair(row.step, fault)
        for row in rows.rows.entries.values()
        for fault in row.faults
    )


def _due() -> frozenset[Pair]:
    return frozenset(
        Pair(step.name, fault)
        for step in steps.protocol_steps.entries.values()
        for fault in faults.striking(step)
    )


def _declared() -> frozenset[Pair]:
    return frozenset(
        Pair(step, fault)
        for step in steps.protocol_steps.names()
        for fault in faults.faults.names()
    )
