"""Command `run`: one entry instance."""

import pathlib
import sys
import typing

import cappa
import result

from bilberryglade._commands import commands
from bilberryglade._instance import composition, config

USAGE_STATUS: typing.Final = 2


@commands.commands.register('run')
async def run(
    settings: typing.Annotated[
        pathlib.Path,
        cappa.Arg(long=True, help='settings file in YAML'),
    ],
) -> int:
    """Runs an entry instance until SIGTERM."""
    checked = config.read_settings(settings.read_bytes())
    if isinstance(checked, result.Err):
        error = checked.err_value
        sys.stderr.write(f'{settings}: {error.path}: {error.problem}\n')
        return USAGE_STATUS
    await composition.Node(checked.ok_value).run()
    return 0
