"""What an observer finds."""

import typing


class Violation(typing.NamedTuple):
    """A promise that a history breaks."""

    #: Name of the checker.
    promise: str
    #: Requests, targets and times that show it.
    detail: str
