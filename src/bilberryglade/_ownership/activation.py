"""When a leader may act for a target and for a slot that it was given.

Everything is derived from the folded state, from what earlier leaders said
they released, and from when authority over earlier states has ended.
"""

import sys
import typing
from collections import abc

import immutables

from bilberryglade._membership import authority, endings
from bilberryglade._routing import roles
from bilberryglade._state import state

NEVER: typing.Final = endings.NEVER
UNKNOWN: typing.Final = endings.UNKNOWN
#: Offset that stands for "still the leader".
STILL_LEADS: typing.Final = sys.maxsize


class Slot(typing.NamedTuple):
    """A slot of a service."""

    service: str
    number: int


class Change(typing.NamedTuple):
    """A slot and the fence of its newest assignment."""

    slot: Slot
    fence: int


class Predecessor(typing.NamedTuple):
    """A process that may still act for a target, and up to which offset."""

    instance: str
    joined_at: int
    #: Its authority ends with states older than this offset.
    until: int


class Release(typing.NamedTuple):
    """What a process said it no longer acts for."""

    joined_at: int
    #: Target, or slot with the fence that it was released for.
    subject: str


class Knowledge(typing.NamedTuple):
    """What an instance knows besides the folded state."""

    #: By group of voters.
    endings: abc.Mapping[str, endings.Endings]
    #: Newest offset of each release.
    releases: immutables.Map[Release, int]
    #: Subjects of slots whose earlier owner was told of the newer fence, or
    #: could not be reached.
    fenced_off: frozenset[str]


class Situation(typing.NamedTuple):
    """An instance at one moment."""

    facts: authority.Facts
    knowledge: Knowledge
    #: Monotonic seconds.
    now: float


def slot_subject(slot: Slot, fence: int) -> str:
    """Returns the subject of a release of `slot` in favour of `fence`."""
    return f'{slot.service}|{slot.number}|{fence}'


def predecessors(
    view: state.ClusterState,
    target: str,
    boot: str,
) -> list[Predecessor]:
    """Returns processes other than `boot` that may still lead `target`.

    The current leader comes with `STILL_LEADS`.
    """
    known = view.targets.get(target)
    if known is None:
        return []
    group = authority.group_of_service(
        view, known.service, known.failure_domain
    )
    settled = view.ended.get(group, 0)
    latest: dict[str, Predecessor] = {}
    for epoch in _memberships(view, settled):
        name = roles.leader_among(
            epoch.members,
            target,
            known.failure_domain,
        )
        leader = epoch.members.get(name)
        if leader is not None and leader.boot != boot:
            latest[leader.boot] = Predecessor(
                leader.instance,
                leader.joined_at,
                epoch.ended_at,
            )
    return list(latest.values())


def leadership_is_clear(situation: Situation, target: str) -> bool:
    """Tells whether every earlier leader of `target` has stopped."""
    view = situation.facts.view
    ended = _endings_of(situation, target)
    return all(
        _has_released(situation, row, target, row.until)
        or endings.ended_at(ended, view, row.until) <= situation.now
        for row in predecessors(view, target, situation.facts.boot)
        if row.until != STILL_LEADS
    )


def slot_is_clear(
    situation: Situation,
    slot: Slot,
    owner: state.SlotOwner,
) -> bool:
    """Tells whether nothing can run at the slot's earlier owners any more.

    A leader that has folded the move may let requests in flight finish, and
    does so at most until the request limit or the end of its own authority.
    """
    view = situation.facts.view
    if not owner.previous_target:
        return True
    subject = slot_subject(slot, owner.fence)
    if subject in situation.knowledge.fenced_off:
        lapse = lapse_seconds(situation.facts, slot.service)
    else:
        lapse = UNKNOWN
    ended = _endings_of(situation, owner.previous_target)
    drain = situation.facts.bounds.waited(situation.facts.bounds.request_limit)
    moved_at = endings.ended_at(ended, view, owner.fence)
    if moved_at == NEVER or moved_at + drain + lapse <= situation.now:
        return True
    earlier = predecessors(view, owner.previous_target, '')
    if not any(row.until >= owner.fence for row in earlier):
        return False
    return all(
        _has_released(situation, row, subject, owner.fence)
        or endings.ended_at(ended, view, row.until) + lapse <= situation.now
        for row in earlier
    )


def lapse_seconds(facts: authority.Facts, service: str) -> float:
    """Returns how long work may go on at a target without a leader.

    At fenced targets it ends with the grant, at others with the request.
    """
    bounds = facts.bounds
    fenced = all(
        target.fenced
        for target in facts.view.targets.values()
        if target.service == service
    )
    if fenced:
        return bounds.waited(bounds.lease)
    return bounds.waited(bounds.request_limit)


def longest_lapse(facts: authority.Facts) -> float:
    """Returns how long work goes on at most once authority has ended."""
    services = {target.service for target in facts.view.targets.values()}
    longest = max(
        (lapse_seconds(facts, service) for service in services),
        default=0,
    )
    return longest + facts.bounds.waited(facts.bounds.request_limit)


def previous_has_lapsed(situation: Situation, target: str) -> bool:
    """Tells whether the grants of every earlier leader have lapsed.

    A leader that never granted may then release slots of `target`.
    """
    view = situation.facts.view
    known = view.targets[target]
    ended = _endings_of(situation, target)
    lapse = lapse_seconds(situation.facts, known.service)
    return all(
        endings.ended_at(ended, view, row.until) + lapse <= situation.now
        for row in predecessors(view, target, situation.facts.boot)
    )


def group_of_target(view: state.ClusterState, target: str) -> str:
    """Returns the group whose votes give authority over `target`."""
    known = view.targets.get(target)
    if known is None:
        return authority.GROUP_OF_ALL
    return authority.group_of_service(view, known.service, known.failure_domain)


def _memberships(
    view: state.ClusterState,
    settled: int,
) -> abc.Iterator[state.Epoch]:
    for epoch in view.epochs:
        if epoch.ended_at > settled:
            yield epoch
    yield state.Epoch(view.members_changed_at, STILL_LEADS, view.members)


def _endings_of(situation: Situation, target: str) -> endings.Endings:
    group = group_of_target(situation.facts.view, target)
    known = situation.knowledge.endings.get(group)
    return known or endings.Endings(group)


def _has_released(
    situation: Situation,
    predecessor: Predecessor,
    subject: str,
    offset: int,
) -> bool:
    release = Release(predecessor.joined_at, subject)
    return situation.knowledge.releases.get(release, 0) >= offset
