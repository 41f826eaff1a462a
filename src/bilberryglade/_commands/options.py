"""Options that several commands take."""

import pathlib
import typing

import cappa

from bilberryglade._commands import connections

DEFAULT_ADMIN: typing.Final = '127.0.0.1:8081'

Admin: typing.TypeAlias = typing.Annotated[
    str,
    cappa.Arg(
        long='--admin',
        default=cappa.Env(connections.ADDRESS_VARIABLE, default=DEFAULT_ADMIN),
        help='IP number and port of an admin listener',
    ),
]
TokenFile: typing.TypeAlias = typing.Annotated[
    pathlib.Path | None,
    cappa.Arg(
        long='--token-file',
        default=None,
        help="file with the operators' token",
    ),
]
AsJson: typing.TypeAlias = typing.Annotated[
    bool,
    cappa.Arg(long='--json', default=False, help='JSON for programs'),
]
Author: typing.TypeAlias = typing.Annotated[
    str,
    cappa.Arg(
        long='--by',
        default=cappa.Env('USER', default='operator'),
        help='who asks for the change',
    ),
]
IdempotencyKey: typing.TypeAlias = typing.Annotated[
    str,
    cappa.Arg(
        long='--idempotency-key',
        default='',
        help='names the change, so that a repeated call does it once',
    ),
]
RulesFile: typing.TypeAlias = typing.Annotated[
    pathlib.Path,
    cappa.Arg(value_name='FILE', help='rules file'),
]
SettingsFile: typing.TypeAlias = typing.Annotated[
    pathlib.Path,
    cappa.Arg(value_name='FILE', help='settings file in YAML'),
]
