"""Checks that no key of the modelled targets has two owners at once.

The check follows the users' rules. It uses grants, releases and work as the
targets see them, independent of the instances that ordered them.
"""

import typing


class GrantedKeys(typing.NamedTuple):
    """A grant of the keys from `first` to `last` that a target accepted."""

    first: int
    last: int
    target: str
    fence: int


class HeldKeys(typing.NamedTuple):
    """Keys that a target holds, or on which it still works."""

    first: int
    last: int
    target: str
    #: Virtual seconds at which the lease ends.
    until: float
    #: Virtual seconds at which work on the keys ends after a release; 0 while
    #: the target holds the keys.
    work_until: float = 0


class Violation(typing.NamedTuple):
    """A grant of keys that breaks a rule because of another target."""

    #: Virtual seconds of the grant.
    at: float
    #: `held`: the other target holds the keys. `at work`: it still works on
    #: them after a release. `fence`: it got them under a fence that is not
    #: lower.
    rule: str
    first: int
    last: int
    #: Target that accepted the grant.
    receiver: str
    #: Target that had the keys before.
    other_target: str
    #: Seconds for which both would hold or work on the keys.
    seconds: float


class OwnerRules:
    """Checks the grants that targets accept and records violations."""

    def __init__(self) -> None:
        """Starts without any grant."""
        #: Distinct grants that targets have accepted.
        self.grants: list[GrantedKeys] = []
        self.violations: list[Violation] = []
        #: Number of grants that were checked.
        self.checked_grants = 0

    def check_grant(
        self,
        now: float,
        granted: GrantedKeys,
        until: float,
        other_holdings: list[HeldKeys],
    ) -> None:
        """Checks a grant, which lasts to `until`, that a target accepted.

        `other_holdings` are the keys that the other targets hold or work on.
        """
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
        """Checks a grant against keys that another target has."""
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
        """Records a grant whose fence is not above that of `earlier`."""
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
        """Records a violation if both targets have the keys after `now`."""
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
