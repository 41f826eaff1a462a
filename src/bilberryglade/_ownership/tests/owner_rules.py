"""Watches modelled targets for two owners of a key, by the users' rules.

It knows grants, releases and work as targets see them, and nothing of the
instances that ordered them.
"""

import typing


class GrantedKeys(typing.NamedTuple):
    """Keys that a target took, at some time."""

    first: int
    last: int
    target: str
    fence: int


class HeldKeys(typing.NamedTuple):
    """Keys that a target holds, or on which it still works."""

    first: int
    last: int
    target: str
    #: Seconds at which the lease ends.
    until: float
    #: Seconds at which the work on the keys ends; 0 while it is held.
    work_until: float = 0


class Violation(typing.NamedTuple):
    """Two targets had the same key."""

    at: float
    rule: str
    first: int
    last: int
    #: Who took the keys, and who had them.
    receiver: str
    other_target: str
    #: Seconds for which both would hold or work on them.
    seconds: float


class OwnerRules:
    """Takes in what targets do, and keeps what breaks a rule."""

    def __init__(self) -> None:
        """Has seen nothing."""
        self.grants: list[GrantedKeys] = []
        self.violations: list[Violation] = []
        #: Grants that were looked at.
        self.checked_grants = 0

    def check_grant(
        self,
        now: float,
        granted: GrantedKeys,
        until: float,
        other_holdings: list[HeldKeys],
    ) -> None:
        """Takes in that a target took keys; `others` are those of others."""
        self.checked_grants += 1
        for holding in other_holdings:
            if _overlap(granted, holding):
                self._check_overlap(now, granted, until, holding)
        for grant in self.grants:
            is_other = grant.target != granted.target
            if is_other and grant.fence >= granted.fence:
                self._check_fence(now, granted, grant)
        if granted not in self.grants:
            self.grants.append(granted)

    def _check_overlap(
        self,
        now: float,
        granted: GrantedKeys,
        until: float,
        holding: HeldKeys,
    ) -> None:
        if holding.work_until:
            self._record_if_ongoing(
                now, 'at work', granted, holding, holding.work_until
            )
        else:
            self._record_if_ongoing(
                now, 'held', granted, holding, min(until, holding.until)
            )

    def _check_fence(
        self, now: float, granted: GrantedKeys, earlier: GrantedKeys
    ) -> None:
        if _overlap(granted, earlier):
            self._record(now, 'fence', granted, earlier.target, 0)

    def _record_if_ongoing(
        self,
        now: float,
        rule: str,
        granted: GrantedKeys,
        holding: HeldKeys,
        until: float,
    ) -> None:
        if min(until, holding.until) > now:
            self._record(now, rule, granted, holding.target, until - now)

    def _record(
        self,
        now: float,
        rule: str,
        granted: GrantedKeys,
        other_target: str,
        seconds: float,
    ) -> None:
        self.violations.append(
            Violation(
                now,
                rule,
                granted.first,
                granted.last,
                granted.target,
                other_target,
                seconds,
            )
        )


def _overlap(left: GrantedKeys, right: GrantedKeys | HeldKeys) -> bool:
    return left.first <= right.last and left.last >= right.first
