"""The registry of commands, and the program built from it."""

import asyncio
import sys
import typing
from collections import abc

import cappa

from bilberryglade._values import registry

Command: typing.TypeAlias = cappa.Command[typing.Any]
CommandFunction: typing.TypeAlias = abc.Callable[..., typing.Any]

NAME: typing.Final = 'bilberryglade'

commands: typing.Final = registry.Registry[CommandFunction]('command')


@cappa.command
class Program:
    """Router for servers that own keys exclusively."""

    command: cappa.Subcommands[typing.Any]


@cappa.command
class Group:
    """Commands on one subject; their names begin with the same word."""

    command: cappa.Subcommands[typing.Any]


def program() -> cappa.Command[Program]:
    """Returns the program with every registered command."""
    options: dict[str, Command] = {}
    grouped: dict[str, dict[str, Command]] = {}
    for name in commands.names():
        group, _, rest = name.partition(' ')
        command = cappa.Command.get(commands.entries[name])
        command.name = rest or group
        if rest:
            grouped.setdefault(group, {})[rest] = command
        else:
            options[group] = command
    for group, members in grouped.items():
        options[group] = _group(group, members)
    subcommand = cappa.Subcommand(field_name='command', options=options)
    return cappa.collect(
        cappa.Command(Program, arguments=[subcommand], name=NAME),
    )


def _group(
    name: str,
    members: dict[str, Command],
) -> cappa.Command[Group]:
    subcommand = cappa.Subcommand(field_name='command', options=members)
    known = ', '.join(members)
    return cappa.Command(
        Group,
        arguments=[subcommand],
        name=name,
        help=f'{name}: {known}',
    )


def main(arguments: list[str] | None = None) -> None:
    """Runs the command that the arguments name; exits with its status."""
    argv = sys.argv[1:] if arguments is None else arguments
    status = asyncio.run(cappa.invoke_async(program(), argv=argv))
    sys.exit(status)
