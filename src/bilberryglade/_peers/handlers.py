"""Registered handlers of peer messages, by kind."""

import typing
from collections import abc

from bilberryglade._values import registry

#: Version of the messages that this code writes.
VERSION: typing.Final = 1


class Handler(typing.NamedTuple):
    """A message kind: its generated type and what it does to an instance."""

    kind: type
    handle: abc.Callable[[typing.Any, typing.Any], None]


handlers: typing.Final = registry.Registry[Handler]('peer message handler')

HandlerFunction: typing.TypeAlias = abc.Callable[
    [typing.Any, typing.Any],
    None,
]


def handler_for(
    name: str,
    kind: type,
) -> abc.Callable[[HandlerFunction], HandlerFunction]:
    """Returns a decorator that registers a handler of messages `name`."""

    def decorator(function: HandlerFunction) -> HandlerFunction:  # noqa: WPS430
        handlers.register(name)(Handler(kind, function))
        return function

    return decorator
