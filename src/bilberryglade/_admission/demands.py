"""What a dispatcher remembers of the requests that asked for a pool of targets."""

import math
import typing
from collections import abc

import immutables

from bilberryglade._admission import appointments
from bilberryglade._targets import choosing

#: Time constant of the rates of arrivals: the hottest key changes within
#: seconds, and a target of 2 places gets some 10 requests in that time.
WINDOW_SECONDS: typing.Final = 1.0
#: Weight of a new aim in the usual aim of a kind.
NEW_WEIGHT: typing.Final = 0.1
#: Kinds that are told apart at one pool; urgencies beyond them count with the
#: nearest known one. It bounds the work of a decision.
MOST_KINDS: typing.Final = 12
#: Rate below which a kind is forgotten, in requests a second.
LEAST_RATE: typing.Final = 0.02
#: Bounds of the credit of a kind, in requests.
MOST_CREDIT: typing.Final = 2.0
LEAST_CREDIT: typing.Final = -1.0


class Kind(typing.NamedTuple):
    """The requests of one urgency at one pool."""

    #: Decayed rate of arrivals in requests a second, and when it was taken.
    rate: float = 0
    at: float = 0
    #: Usual time to the aim of first requests in seconds; 0 if none came.
    aim: float = 0
    #: Places that it may take beyond those that it took, in requests.
    credit: float = 1.0
    book: appointments.Book = appointments.Book()


#: Kinds by urgency. None is that of instances that tell no urgency.
Memory: typing.TypeAlias = immutables.Map[int | None, Kind]

EMPTY: typing.Final[Memory] = immutables.Map()


class Arrived(typing.NamedTuple):
    """A memory after an arrival, and the kind that it counts for."""

    memory: Memory
    urgency: int | None


def arrive(memory: Memory, demand: choosing.Demand, now: float) -> Arrived:
    """Counts an arrival."""
    urgency = demand.urgency
    if urgency is not None and urgency not in memory:
        memory = _without_past(memory, now)
        urgency = _nearest(memory, urgency)
    kind = memory.get(urgency) or Kind()
    aim = kind.aim
    if not demand.is_retry:
        aim = aim + (demand.aim_left - aim) * NEW_WEIGHT
        aim = aim if kind.aim else demand.aim_left
    counted = kind._replace(
        rate=rate_of(kind, now) + 1 / WINDOW_SECONDS,
        at=now,
        aim=aim,
        book=appointments.expire(kind.book, now),
    )
    return Arrived(memory.set(urgency, counted), urgency)


def rate_of(kind: Kind, now: float) -> float:
    """Returns the rate of arrivals now, in requests a second."""
    return kind.rate * math.exp(-max(now - kind.at, 0) / WINDOW_SECONDS)


def rates(memory: Memory, now: float) -> dict[int | None, float]:
    """Returns the rates of arrivals by urgency."""
    return {urgency: rate_of(kind, now) for urgency, kind in memory.items()}


def credited(kind: Kind, amount: float) -> Kind:
    """Returns a kind with its credit changed."""
    credit = min(max(kind.credit + amount, LEAST_CREDIT), MOST_CREDIT)
    return kind._replace(credit=credit)


def is_past(memory: Memory, now: float) -> bool:
    """Tells whether nothing in a memory matters any more."""
    return all(
        rate_of(kind, now) < LEAST_RATE and not kind.book.times
        for kind in memory.values()
    )


def more_urgent(memory: Memory, urgency: int | None) -> abc.Iterator[Kind]:
    """Yields the kinds that are more urgent than `urgency`."""
    for other, kind in memory.items():
        if other is not None and urgency is not None and other < urgency:
            yield kind


def _without_past(memory: Memory, now: float) -> Memory:
    for urgency, kind in memory.items():
        if rate_of(kind, now) < LEAST_RATE:
            memory = memory.delete(urgency)
    return memory


def _nearest(memory: Memory, urgency: int) -> int:
    """Returns `urgency`, or the nearest one if too many are known."""
    known = [other for other in memory if other is not None]
    if len(known) < MOST_KINDS:
        return urgency
    return min(known, key=lambda other: (abs(other - urgency), other))
