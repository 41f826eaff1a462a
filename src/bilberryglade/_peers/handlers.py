"""Registered handlers of peer messages, by kind."""

import typing
from collections import abc

import result

from bilberryglade._values import registry

#: Version of the messages that this code writes.
VERSION: typing.Final = 1


#: Returns a decoded message, or why it is unsound all the same.
Check: typing.TypeAlias = abc.Callable[
    [typing.Any],
    result.Result[typing.Any, str],
]


class Handler(typing.NamedTuple):
    """A message kind: its generated type and what it does to an instance."""

    kind: type
    handle: abc.Callable[[typing.Any, typing.Any], None]
    #: What the type cannot say.
    check: Check = result.Ok


handlers: typing.Final = registry.Registry[Handler]('peer message handler')

HandlerFunction: typing.TypeAlias = abc.Callable[
    [typing.Any, typing.Any],
    None,
]


def handler_for(
    name: str,
    kind: type,
    check: Check = result.Ok,
) -> abc.Callable[[HandlerFunction], HandlerFunction]:
    """Returns a decorator that registers a handler of messages `name`.

    It gets those that `check` finds sound.
    """

    def decorator(function: HandlerFunction) -> HandlerFunction:  # noqa: WPS430
        handlers.register(name)(Handler(kind, function, check))
        return function

    return decorator
