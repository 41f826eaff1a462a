"""Runs registered commands in this process and keeps what they print."""

import contextlib
import functools
import io
import typing

import cappa

from bilberryglade._commands import catalogue, commands

REGISTERED: typing.Final = (catalogue,)


class Printed(typing.NamedTuple):
    """What a command printed, and its exit status."""

    status: int
    out: str
    err: str


async def run(*argv: str) -> Printed:
    """Runs the command that `argv` names."""
    out = io.StringIO()
    err = io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        status = await _invoke(argv)
    return Printed(int(status), out.getvalue(), err.getvalue())


async def _invoke(argv: tuple[str, ...]) -> typing.Any:
    try:
        return await cappa.invoke_async(_program(), argv=list(argv))
    except SystemExit as ended:
        return ended.code


@functools.cache
def _program() -> cappa.Command[commands.Program]:
    return commands.program()
