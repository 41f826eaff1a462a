"""Imports every module that registers commands."""

import typing

from bilberryglade._commands import (
    keys,
    rules,
    run,
    settings,
    status,
    topology,
    version,
)

REGISTERED: typing.Final = (
    keys,
    rules,
    run,
    settings,
    status,
    topology,
    version,
)
