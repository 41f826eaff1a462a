"""What was last heard from each peer."""

import typing


class Sign(typing.NamedTuple):
    """The newest facts heard from a peer."""

    instance: str
    boot: str
    #: Offset of the peer's join; another process has another.
    joined_at: int
    #: Offset that the peer had folded.
    offset: int
    #: Age of the peer's newest complete read of the log when it wrote.
    age_seconds: float
    #: Monotonic seconds at which the heartbeat that it answered was sent.
    asked_at: float
    #: Monotonic seconds at which the answer came.
    heard_at: float
    #: Offset of the newest change to ownership that the peer had folded.
    ownership_at: int


Signs: typing.TypeAlias = typing.Mapping[str, Sign]
