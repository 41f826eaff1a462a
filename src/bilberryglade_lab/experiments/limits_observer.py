"""Judges admissions from what callers saw, without the fleet's own state."""

import typing
from collections import abc

from bilberryglade._limits import tokens


class Event(typing.NamedTuple):
    """A decision that a caller saw."""

    at: float
    name: tokens.QuotaName
    admitted: bool


class Judged(typing.NamedTuple):
    """What callers saw of one quota."""

    offered: int
    admitted: int
    #: Requests that one bucket for the whole fleet would have admitted.
    ideal: int
    #: Refusals at moments at which the limit left room for the request.
    wrongful: int
    #: Most tokens spent beyond rate and burst in any window.
    overshoot: float


class Observer:
    """One bucket for the whole fleet, charged with what was admitted."""

    def __init__(self, rate: float, burst: int) -> None:
        """Starts full at time 0."""
        self.rate = rate
        self.burst = burst
        self.level: float = burst
        self.at: float = 0
        self.lowest: float = 0
        self.wrongful = 0

    def see(self, event: Event) -> None:
        """Takes note of a decision; events come in order of time."""
        earned = self.rate * (event.at - self.at)
        self.level = min(self.level + earned, self.burst)
        self.at = event.at
        if event.admitted:
            self.level -= 1
            self.lowest = min(self.lowest, self.level)
        elif self.level >= 1:
            self.wrongful += 1


def judge(
    events: abc.Sequence[Event],
    limit: tokens.Limit,
    drift: float,
) -> Judged:
    """Compares what callers saw with one bucket for the whole fleet.

    For the overshoot the bucket runs as fast as the drift bound allows, for
    wrongful refusals by the true clock.
    """
    fast = Observer(limit.rate * (1 + drift), limit.burst)
    exact = Observer(limit.rate, limit.burst)
    for event in events:
        fast.see(event)
        exact.see(event)
    return Judged(
        offered=len(events),
        admitted=sum(event.admitted for event in events),
        ideal=_ideal(events, limit),
        wrongful=exact.wrongful,
        overshoot=max(-fast.lowest, 0),
    )


def _ideal(events: abc.Sequence[Event], limit: tokens.Limit) -> int:
    observer = Observer(limit.rate, limit.burst)
    admitted = 0
    for event in events:
        observer.see(event._replace(admitted=False))
        if observer.level >= 1:
            observer.level -= 1
            admitted += 1
    return admitted
