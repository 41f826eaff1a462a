"""The time after which a refused caller is told to come back."""

import typing

#: Largest random extension of a time that is not drawn for one caller, as a
#: share of it; it keeps refused callers from coming back at the same time.
JITTER: typing.Final = 0.5
#: Longest such time, as a share of the caller's remaining time.
MOST_OF_TIME_LEFT: typing.Final = 0.3
MS_PER_SECOND: typing.Final = 1000


class Return(typing.NamedTuple):
    """When a refused caller may come back."""

    seconds: float
    #: Whether the time is drawn for this caller alone; it is told as it is.
    is_drawn: bool = False


def told_ms(back: Return, time_left: float | None, chance: float) -> int:
    """Returns the milliseconds that a refused caller is told, 1 or more.

    `time_left` is the caller's remaining time in seconds, None if it told
    none; `chance` is from 0 to 1.
    """
    seconds = back.seconds
    if not back.is_drawn:
        seconds *= 1 + chance * JITTER
        if time_left is not None:
            seconds = min(seconds, time_left * MOST_OF_TIME_LEFT)
    return max(int(seconds * MS_PER_SECOND), 1)
