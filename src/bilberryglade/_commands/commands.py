"""The registry of commands, and the program built from it."""

import asyncio
import sys
import typing
from collections import abc

import cappa

from bilberryglade._values import registry

CommandFunction: typing.TypeAlias = abc.Callable[..., typing.Any]

commands: typing.Final = registry.Registry[CommandFunction]('command')


@cappa.command(name='bilberryglade')
class Program:
    """Router for servers that own keys exclusively."""

    command: cappa.Subcommands[typing.Any]


def program() -> cappa.Command[Program]:
    """Returns the program with every registered command."""
    options: dict[str, cappa.Command[typing.Any]] = {}
    for name in commands.names():
        command = cappa.Command.get(commands.entries[name])
        command.name = name
        options[name] = command
    subcommand = cappa.Subcommand(field_name='command', options=options)
    return cappa.collect(cappa.Command(Program, arguments=[subcommand]))


def main(arguments: list[str] | None = None) -> None:
    """Runs the command that the arguments name; exits with its status."""
    argv = sys.argv[1:] if arguments is None else arguments
    status = asyncio.run(cappa.invoke_async(program(), argv=argv))
    sys.exit(status)
