"""The registry of operations: what operators can ask of an instance."""

import typing
from collections import abc

import result

from bilberryglade._log import follower, log_client, recorder
from bilberryglade._membership import heartbeats
from bilberryglade._operations import failures
from bilberryglade._values import registry
from bilberryglade_schema import settings

Outcome: typing.TypeAlias = result.Result[typing.Any, failures.Failure]


class Context(typing.NamedTuple):
    """The parts of an instance that operations act on."""

    config: settings.InstanceSettings
    reader: follower.Follower
    writer: recorder.Recorder
    log: log_client.LogClient
    heartbeats: heartbeats.Heartbeats
    is_ready: abc.Callable[[], bool]
    #: Returns the name of the case that the log is in for this instance.
    log_case: abc.Callable[[], str]


class Call(typing.NamedTuple):
    """One call of an operation."""

    #: The generated type of the operation's request.
    request: typing.Any
    #: Id of the record that the call appends, if it appends one.
    record_id: str


OperationFunction: typing.TypeAlias = abc.Callable[
    [Context, Call],
    abc.Awaitable[Outcome],
]


class Operation(typing.NamedTuple):
    """A registered operation."""

    name: str
    method: str
    #: Path below the version, with parameters in braces.
    path: str
    #: Generated types of request and answer.
    request: type
    answer: type
    #: Whether the operation appends a record.
    changes: bool
    function: OperationFunction

    @property
    def summary(self) -> str:
        """First line of the function's docstring."""
        return (self.function.__doc__ or '').strip().splitlines()[0]


operations: typing.Final = registry.Registry[Operation]('operation')


def operation_for(
    name: str,
    route: str,
    request: type,
    answer: type,
    *,
    changes: bool = False,
) -> abc.Callable[[OperationFunction], OperationFunction]:
    """Returns a decorator that registers an operation.

    `route` is the HTTP method and the path, such as `GET /rules`.
    """
    method, _, path = route.partition(' ')

    def decorator(function: OperationFunction) -> OperationFunction:  # noqa: WPS430
        operations.register(name)(
            Operation(name, method, path, request, answer, changes, function),
        )
        return function

    return decorator
