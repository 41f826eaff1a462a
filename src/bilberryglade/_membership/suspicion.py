"""Which members are lost, by what this instance heard itself: pure.

The platform's list lags, so the instances of a failure domain watch one
another. A whole failure domain that is silent is never expelled: from outside,
its loss and its isolation look the same.
"""

import typing

import immutables

from bilberryglade._membership import authority
from bilberryglade._routing import slots
from bilberryglade._state import state


class Watch(typing.NamedTuple):
    """Since when each member has been watched, by the offset of its join."""

    since: immutables.Map[int, float] = immutables.Map()
    #: Monotonic seconds of the newest look.
    looked_at: float = 0


class Patience(typing.NamedTuple):
    """Durations in seconds."""

    #: Silence after which a member is suspected.
    suspect: float
    #: Interval between two heartbeats.
    heartbeat: float


def look(watch: Watch, facts: authority.Facts, now: float) -> Watch:
    """Returns the watch after a look at the members.

    After a pause of this process all members are given their time anew.
    """
    paused = now - watch.looked_at > facts.bounds.authority
    known: immutables.Map[int, float] = immutables.Map()
    since = known if paused else watch.since
    return Watch(
        immutables.Map(
            {
                member.joined_at: since.get(member.joined_at, now)
                for member in facts.view.members.values()
            },
        ),
        now,
    )


def silence(
    watch: Watch,
    facts: authority.Facts,
    member: state.Member,
) -> float:
    """Returns for how many seconds `member` has answered no heartbeat."""
    heard_at = watch.since.get(member.joined_at, watch.looked_at)
    sign = facts.signs.get(member.instance)
    if sign is not None and sign.joined_at == member.joined_at:
        heard_at = max(heard_at, sign.heard_at)
    return watch.looked_at - heard_at


def lost_members(
    watch: Watch,
    facts: authority.Facts,
    patience: Patience,
) -> list[state.Member]:
    """Returns the members that this instance is to expel now.

    Each survivor of the failure domain waits for a heartbeat longer than the
    one before it, so that as a rule a single one writes.
    """
    own = authority.own_member(facts)
    if own is None:
        return []
    others = [
        member
        for member in facts.view.members.values()
        if member.failure_domain == own.failure_domain
        and member.instance != own.instance
    ]
    suspected = [
        member
        for member in others
        if silence(watch, facts, member) > patience.suspect
    ]
    if _hears_too_few(watch, facts, patience):
        return []
    survivors = {member.instance for member in others}
    survivors -= {member.instance for member in suspected}
    survivors.add(own.instance)
    return [
        member
        for member in suspected
        if silence(watch, facts, member)
        > patience.suspect
        + patience.heartbeat * _rank(own.instance, member, survivors)
    ]


def silent_domains(
    watch: Watch,
    facts: authority.Facts,
    patience: Patience,
) -> frozenset[str]:
    """Returns failure domains of which no member has answered for long.

    It returns none while this instance hears fewer than a majority itself.
    """
    members = facts.view.members.values()
    heard = [
        member
        for member in members
        if member.instance == facts.instance
        or silence(watch, facts, member) <= 2 * patience.suspect
    ]
    if len(heard) < authority.majority(len(members)):
        return frozenset()
    domains = {member.failure_domain for member in members}
    return frozenset(domains - {member.failure_domain for member in heard})


def _hears_too_few(
    watch: Watch,
    facts: authority.Facts,
    patience: Patience,
) -> bool:
    """Tells whether this instance should suspect itself.

    It hears nobody although there is more than one other member.
    """
    others = [
        member
        for member in facts.view.members.values()
        if member.instance != facts.instance
    ]
    heard = sum(
        silence(watch, facts, member) <= patience.suspect for member in others
    )
    return len(others) > 1 and not heard


def _rank(own: str, lost: state.Member, survivors: set[str]) -> int:
    order = slots.ranked(f'expels|{lost.joined_at}', survivors)
    return order.index(own)
