"""The registry of lab programs, and the command line built from it."""

import asyncio
import sys
import typing
from collections import abc

import cappa

from bilberryglade._values import registry

ProgramFunction: typing.TypeAlias = abc.Callable[..., typing.Any]

programs: typing.Final = registry.Registry[ProgramFunction]('lab program')


@cappa.command(name='lab')
class Lab:
    """Demo, measurements and experiments over stand-ins."""

    command: cappa.Subcommands[typing.Any]


def main() -> None:
    """Runs the program that the arguments name; exits with its status."""
    options: dict[str, cappa.Command[typing.Any]] = {}
    for name in programs.names():
        command = cappa.Command.get(programs.entries[name])
        command.name = name
        options[name] = command
    subcommand = cappa.Subcommand(field_name='command', options=options)
    command = cappa.collect(cappa.Command(Lab, arguments=[subcommand]))
    try:
        asyncio.run(cappa.invoke_async(command, argv=sys.argv[1:]))
    except KeyboardInterrupt:
        sys.exit(0)
