"""When the authority over earlier states has certainly ended.

A change to ownership at an offset ends the authority of every instance that
has not folded it, once enough members of each group that could still vote for
such an instance have folded it themselves, and their votes have aged out.
"""

import typing
from collections import abc

import immutables

from bilberryglade._membership import authority, signs
from bilberryglade._state import state

NEVER: typing.Final = authority.NEVER
UNKNOWN: typing.Final = float('inf')
MAX_ENDINGS: typing.Final = 64


class Ending(typing.NamedTuple):
    """Nobody acts on a state older than `offset` from the moment `at` on."""

    offset: int
    #: Monotonic seconds.
    at: float


class Endings(typing.NamedTuple):
    """Changes that wait for confirmation, and endings, of one group."""

    group: str
    #: Offsets of changes that too few members have folded so far.
    pending: tuple[int, ...] = ()
    #: Oldest first.
    known: tuple[Ending, ...] = ()


def note_change(endings: Endings, offset: int) -> Endings:
    """Returns the endings with a change that was folded just now."""
    if endings.pending and endings.pending[-1] >= offset:
        return endings
    return endings._replace(pending=(*endings.pending, offset))


def advance(endings: Endings, facts: authority.Facts, now: float) -> Endings:
    """Moves changes that enough members have folded to the known endings."""
    confirmed = [
        offset
        for offset in endings.pending
        if is_confirmed(facts, endings.group, offset)
    ]
    if not confirmed:
        return endings
    newest = max(confirmed)
    at = now + facts.bounds.waited(facts.bounds.authority)
    return endings._replace(
        pending=tuple(row for row in endings.pending if row > newest),
        known=(*endings.known, Ending(newest, at))[-MAX_ENDINGS:],
    )


def ended_at(
    endings: Endings,
    view: state.ClusterState,
    offset: int,
) -> float:
    """Returns when authority over states older than `offset` has ended."""
    if view.ended.get(endings.group, 0) >= offset:
        return NEVER
    return min(
        (row.at for row in endings.known if row.offset >= offset),
        default=UNKNOWN,
    )


def settled_offset(
    endings: Endings,
    lapse_seconds: float,
    now: float,
) -> int:
    """Returns the offset below which all work has ended too; 0 if none.

    Work goes on for at most `lapse_seconds` after authority has ended.
    """
    return max(
        (row.offset for row in endings.known if row.at + lapse_seconds <= now),
        default=0,
    )


def is_confirmed(facts: authority.Facts, group: str, offset: int) -> bool:
    """Tells whether nobody can gather votes for a state before `offset`."""
    settled = facts.view.ended.get(group, 0)
    return all(
        _is_blocked(facts, group, members, offset)
        for members in _memberships_before(facts.view, settled, offset)
    )


def _memberships_before(
    view: state.ClusterState,
    settled: int,
    offset: int,
) -> abc.Iterator[immutables.Map[str, state.Member]]:
    for epoch in view.epochs:
        if epoch.ended_at > settled and epoch.started_at < offset:
            yield epoch.members
    if view.members_changed_at < offset:
        yield view.members


def _is_blocked(
    facts: authority.Facts,
    group: str,
    members: abc.Mapping[str, state.Member],
    offset: int,
) -> bool:
    voters = authority.members_of_group(members, group)
    if len(voters) < authority.SMALLEST_QUORUM_GROUP:
        return True
    blocking = sum(_has_folded(facts, member, offset) for member in voters)
    return blocking > len(voters) - authority.majority(len(voters))


def _has_folded(
    facts: authority.Facts,
    member: state.Member,
    offset: int,
) -> bool:
    """Tells whether `member` gives no vote to a state before `offset`.

    A process that took over the member's address also shows that the member
    receives no heartbeat any more.
    """
    view = facts.view
    domain = view.failure_domains.get(member.failure_domain)
    if domain and domain.confirmed_off and domain.changed_at > member.joined_at:
        return True
    if member.joined_at in view.departed:
        return True
    if member.boot == facts.boot:
        return view.offset >= offset
    current = view.members.get(member.instance)
    if current is None or current.peer_address != member.peer_address:
        return _sign_reaches(facts.signs, member, offset)
    if current.boot == facts.boot:
        return view.offset >= offset
    return _sign_reaches(facts.signs, current, offset)


def _sign_reaches(
    heard: signs.Signs,
    member: state.Member,
    offset: int,
) -> bool:
    sign = heard.get(member.instance)
    if sign is None or sign.joined_at != member.joined_at:
        return False
    return sign.offset >= offset
