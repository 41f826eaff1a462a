"""Watches modelled targets for two owners of a key, by the users' rules.

It knows grants, releases and work as targets see them, and nothing of the
instances that ordered them.
"""

import typing


class Given(typing.NamedTuple):
    """Keys that a target took, at some time."""

    first: int
    last: int
    target: str
    fence: int


class Holding(typing.NamedTuple):
    """Keys that a target holds, or on which it still works."""

    first: int
    last: int
    target: str
    #: Seconds at which the lease ends.
    until: float
    #: Seconds at which the work on the keys ends; 0 while it is held.
    works_until: float = 0


class Violation(typing.NamedTuple):
    """Two targets had the same key."""

    at: float
    rule: str
    first: int
    last: int
    #: Who took the keys, and who had them.
    taker: str
    other: str
    #: Seconds for which both would hold or work on them.
    seconds: float


class OwnerRules:
    """Takes in what targets do, and keeps what breaks a rule."""

    def __init__(self) -> None:
        """Has seen nothing."""
        self.given: list[Given] = []
        self.violations: list[Violation] = []
        #: Grants that were looked at.
        self.looks = 0

    def take(
        self,
        now: float,
        taken: Given,
        until: float,
        others: list[Holding],
    ) -> None:
        """Takes in that a target took keys; `others` are those of others."""
        self.looks += 1
        for other in others:
            if _overlap(taken, other):
                self._compare(now, taken, until, other)
        for known in self.given:
            is_other = known.target != taken.target
            if is_other and known.fence >= taken.fence:
                self._look_at_fence(now, taken, known)
        if taken not in self.given:
            self.given.append(taken)

    def _compare(
        self,
        now: float,
        taken: Given,
        until: float,
        other: Holding,
    ) -> None:
        if other.works_until:
            self._find(now, 'at work', taken, other, other.works_until)
        else:
            self._find(now, 'held', taken, other, min(until, other.until))

    def _look_at_fence(self, now: float, taken: Given, known: Given) -> None:
        if _overlap(taken, known):
            self._note(now, 'fence', taken, known.target, 0)

    def _find(
        self,
        now: float,
        rule: str,
        taken: Given,
        other: Holding,
        until: float,
    ) -> None:
        if min(until, other.until) > now:
            self._note(now, rule, taken, other.target, until - now)

    def _note(
        self,
        now: float,
        rule: str,
        taken: Given,
        other: str,
        seconds: float,
    ) -> None:
        self.violations.append(
            Violation(
                now, rule, taken.first, taken.last, taken.target, other, seconds
            )
        )


def _overlap(one: Given, other: Given | Holding) -> bool:
    return one.first <= other.last and one.last >= other.first
