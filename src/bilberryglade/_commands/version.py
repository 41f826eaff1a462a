"""Command `version`."""

import typing

from bilberryglade._commands import commands, output, statuses

#: The same as in `pyproject.toml`.
VERSION: typing.Final = '0.1.0'


@commands.commands.register('version')
async def version() -> int:
    """Prints the version of the program."""
    output.write_line(f'bilberryglade {VERSION}')
    return statuses.ExitStatus.done
