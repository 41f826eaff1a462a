"""Options that several commands take."""

import ipaddress
import pathlib
import typing

import cappa

from bilberryglade._commands import connections

DEFAULT_ADMIN: typing.Final = '127.0.0.1:8081'


def parse_address(text: str) -> str:
    """Returns the address in `text`, an IP number and a port."""
    host, _, port = text.rpartition(':')
    if not port.isdecimal():
        raise ValueError(f'{text!r} is not an IP number, ":" and a port')
    ipaddress.ip_address(host)
    return text


def parse_token_file(text: str) -> str:
    """Returns the token in the file called `text`, '' if none is named."""
    if not text:
        return ''
    try:
        return pathlib.Path(text).read_text().strip()
    except OSError as error:
        raise ValueError(f'{text}: {error.strerror}') from error


Admin: typing.TypeAlias = typing.Annotated[
    str,
    cappa.Arg(
        long='--admin',
        default=cappa.Env(connections.ADDRESS_VARIABLE, default=DEFAULT_ADMIN),
        parse=parse_address,
        help='IP number and port of an admin listener',
    ),
]
TokenFile: typing.TypeAlias = typing.Annotated[
    str,
    cappa.Arg(
        long='--token-file',
        default=cappa.Env(connections.TOKEN_FILE_VARIABLE, default=''),
        parse=parse_token_file,
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
