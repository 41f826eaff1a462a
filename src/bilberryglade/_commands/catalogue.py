"""Imports every module that registers commands."""

import typing

from bilberryglade._commands import (
    explain,
    keys,
    rules,
    run,
    settings,
    status,
    topology,
    version,
)

REGISTERED: typing.Final = (
    explain,
    keys,
    rules,
    run,
    settings,
    status,
    topology,
    version,
)
