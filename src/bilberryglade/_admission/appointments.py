"""Times at which refused callers were told to come back, with room for each.

Callers that are all told the time at which the queue ends come back as one
crowd and are refused again. So each is told a time of its own, spaced as far
apart as places are expected to become free for callers that come back.
"""

import typing

#: A caller counts as coming back for its appointment from this long before it:
#: callers' clocks and timers are a few milliseconds off.
EARLY_SECONDS: typing.Final = 0.03
#: After this long the caller is taken not to come back: one round trip and a
#: stall of a caller's loop.
GRACE_SECONDS: typing.Final = 0.2
#: Weight of one kept or missed appointment in the share of kept ones.
NEW_WEIGHT: typing.Final = 0.05
#: Least share of kept appointments that is reckoned with; it bounds the
#: overbooking to a factor of 4 after a time in which no caller came back.
LEAST_KEPT: typing.Final = 0.25
#: Appointments held at once; more would lie beyond any caller's patience.
MOST_BOOKED: typing.Final = 256


class Book(typing.NamedTuple):
    """Appointments of one kind of request at one pool of targets."""

    #: Monotonic seconds, in order.
    times: tuple[float, ...] = ()
    #: Moving average of the share of callers that came back for theirs.
    kept: float = 1.0


class Booked(typing.NamedTuple):
    """A book after a new appointment."""

    book: Book
    #: Monotonic seconds; None if no time within the bounds has room.
    at: float | None


def expire(book: Book, now: float) -> Book:
    """Drops the appointments whose callers did not come back."""
    while book.times and book.times[0] + GRACE_SECONDS < now:
        book = Book(book.times[1:], book.kept * (1 - NEW_WEIGHT))
    return book


def keep(book: Book, now: float) -> Book | None:
    """Takes in a caller that comes back; None if none was expected now."""
    if not book.times or book.times[0] - EARLY_SECONDS > now:
        return None
    kept = book.kept + (1 - book.kept) * NEW_WEIGHT
    return Book(book.times[1:], kept)


def due(book: Book, until: float) -> float:
    """Returns how many callers are expected to come back by `until`."""
    booked = sum(1 for moment in book.times if moment <= until)
    return booked * max(book.kept, LEAST_KEPT)


def make(
    book: Book,
    bounds: tuple[float, float],
    spacing: float,
    chance: float,
) -> Booked:
    """Books the first time within `bounds` that has room.

    `spacing` is the time in which one place becomes free for callers that
    come back. `chance` (0 to 1) draws the time within its spacing.
    """
    step = spacing * max(book.kept, LEAST_KEPT)
    earliest, latest = bounds
    if book.times:
        earliest = max(earliest, book.times[-1] + step)
    moment = earliest + chance * step
    if moment > latest or len(book.times) >= MOST_BOOKED:
        return Booked(book, None)
    return Booked(book._replace(times=(*book.times, moment)), moment)
