"""One exchange with a caller, as those who watch it see it."""

import typing
from collections import abc


class Exchange(typing.NamedTuple):
    """What became of one request of a caller."""

    #: `answered`, `not_run`, `unknown`, or `withheld` if the answer came too
    #: late for its API key.
    outcome: str
    #: Why there is no answer from a target; empty if there is one.
    reason: str
    #: Empty if the request had no valid API key.
    organisation: str
    #: Empty if no rule matched the request.
    service: str
    repeatable: bool
    #: Seconds from the arrival of the request to its answer.
    seconds: float


Observer: typing.TypeAlias = abc.Callable[[Exchange], None]
