"""Whether an instance may act on the state that it has folded.

An instance acts only while it has authority, by a read of the log that began
a short while ago, or by votes of a majority of a group of members which know
of no newer change to ownership. See docs/design/ownership.md for the proof.
"""

import typing
from collections import abc

from bilberryglade._membership import signs
from bilberryglade._rules import rules
from bilberryglade._state import ownership_folds, state
from bilberryglade._values import registry
from bilberryglade_schema import settings

NEVER: typing.Final = float('-inf')
MILLISECONDS: typing.Final = 1000
#: A lone member has nobody to confirm that it was not replaced.
SMALLEST_QUORUM_GROUP: typing.Final = 2
GROUP_OF_ALL: typing.Final = ownership_folds.GROUP_OF_ALL


class Bounds(typing.NamedTuple):
    """Durations in seconds that the proof rests on."""

    #: How long a read or a vote gives authority.
    authority: float
    #: How long a grant lasts at a target.
    lease: float
    #: How long a request may run at a target that checks no fence.
    request_limit: float
    #: Bound on how much faster one clock runs than another, as a fraction.
    drift: float

    def waited(self, seconds: float) -> float:
        """Returns how long to wait so that `seconds` pass on every clock."""
        return seconds * (1 + self.drift)


class Facts(typing.NamedTuple):
    """Everything an instance knows that its authority depends on."""

    view: state.ClusterState
    instance: str
    boot: str
    #: Monotonic seconds at which the newest complete read of the log began.
    fresh_at: float
    signs: signs.Signs
    bounds: Bounds


QuorumRule: typing.TypeAlias = abc.Callable[
    [Facts, str],
    float,
]

quorum_rules: typing.Final = registry.Registry[QuorumRule]('quorum rule')


def bounds_of(timings: settings.TimingSettings) -> Bounds:
    """Returns the durations that `timings` set."""
    return Bounds(
        authority=timings['authority_ms'] / MILLISECONDS,
        lease=timings['lease_ms'] / MILLISECONDS,
        request_limit=timings['request_limit_ms'] / MILLISECONDS,
        drift=timings['drift_permille'] / MILLISECONDS,
    )


def group_of_service(
    view: state.ClusterState,
    service: str,
    failure_domain: str,
) -> str:
    """Returns the group whose votes give authority over a target.

    It is the target's own failure domain if the service keeps its keys there,
    else all instances.
    """
    for rule in view.rules.book.services:
        if rule.service == service and rule.isolation is rules.Isolation.keep:
            return failure_domain
    return GROUP_OF_ALL


def members_of_group(
    members: abc.Mapping[str, state.Member],
    group: str,
) -> list[state.Member]:
    """Returns the members that vote in `group`."""
    return [
        member
        for member in members.values()
        if group in {GROUP_OF_ALL, member.failure_domain}
    ]


def majority(count: int) -> int:
    """Returns how many votes of `count` members any two majorities share."""
    return count // 2 + 1


def own_member(facts: Facts) -> state.Member | None:
    """Returns this process among the members, or None if it is expelled."""
    member = facts.view.members.get(facts.instance)
    if member is None or member.boot != facts.boot:
        return None
    return member


def authority_until(
    facts: Facts,
    group: str,
    quorum_rule: str = 'majority',
) -> float:
    """Returns the monotonic second at which authority by `group` ends."""
    if own_member(facts) is None:
        return NEVER
    by_votes = quorum_rules.entries[quorum_rule](facts, group)
    return max(fresh_until(facts), by_votes)


def has_authority(facts: Facts, group: str, now: float) -> bool:
    """Tells whether the instance may act at `now`.

    Votes are counted only where no read is young enough.
    """
    if own_member(facts) is None:
        return False
    return now < fresh_until(facts) or now < authority_until(facts, group)


@quorum_rules.register('majority')
def majority_until(facts: Facts, group: str) -> float:
    """Returns until when a majority of `group` knows of nothing newer."""
    voters = members_of_group(facts.view.members, group)
    if len(voters) < SMALLEST_QUORUM_GROUP:
        return NEVER
    asked = sorted(
        (_vote_asked_at(facts, member) for member in voters),
        reverse=True,
    )
    weakest = asked[majority(len(voters)) - 1]
    return weakest + facts.bounds.authority


def fresh_until(facts: Facts) -> float:
    """Returns until when a read gives authority.

    A peer that knows of a newer change shows that a stale replica answered.
    """
    known = facts.view.ownership_changed_at
    if any(sign.ownership_at > known for sign in facts.signs.values()):
        return NEVER
    return facts.fresh_at + facts.bounds.authority


def _vote_asked_at(facts: Facts, member: state.Member) -> float:
    if member.instance == facts.instance:
        return float('inf')
    sign = facts.signs.get(member.instance)
    if sign is None or sign.joined_at != member.joined_at:
        return NEVER
    if sign.ownership_at > facts.view.ownership_changed_at:
        return NEVER
    return sign.asked_at
