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

ALREADY_ENDED: typing.Final = endings.NEVER
UNKNOWN: typing.Final = endings.UNKNOWN
#: Offset that stands for "still the leader".
STILL_LEADS: typing.Final = sys.maxsize


class Slot(typing.NamedTuple):
    """A slot of a service."""

    service: str
    number: int


class SlotFence(typing.NamedTuple):
    """A slot and the fence of its newest assignment."""

    slot: Slot
    fence: int


class Predecessor(typing.NamedTuple):
    """A process that may still act for a target, and up to which offset."""

    instance: str
    joined_at: int
    #: Its authority ends with states older than this offset.
    until_offset: int


class Release(typing.NamedTuple):
    """What a process said it no longer acts for."""

    joined_at: int
    #: Target, or slot with the fence that it was released for.
    subject: str


class HandoverState(typing.NamedTuple):
    """What an instance knows besides the folded state."""

    #: By group of voters.
    endings: abc.Mapping[str, endings.Endings]
    #: Newest offset of each release.
    releases: immutables.Map[Release, int]
    #: Subjects of slots whose earlier owner was told of the newer fence, or
    #: could not be reached.
    fenced_off: frozenset[str]


class Inputs(typing.NamedTuple):
    """An instance at one moment."""

    facts: authority.Facts
    handover: HandoverState
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
    target_state = view.targets.get(target)
    if target_state is None:
        return []
    group = authority.group_of_service(
        view, target_state.service, target_state.failure_domain
    )
    settled_offset = view.ended.get(group, 0)
    by_boot: dict[str, Predecessor] = {}
    for epoch in _unsettled_epochs(view, settled_offset):
        name = roles.leader_among(
            epoch.members,
            target,
            target_state.failure_domain,
        )
        leader = epoch.members.get(name)
        if leader is not None and leader.boot != boot:
            by_boot[leader.boot] = Predecessor(
                leader.instance,
                leader.joined_at,
                epoch.ended_at,
            )
    return list(by_boot.values())


def earlier_leaders_have_stopped(inputs: Inputs, target: str) -> bool:
    """Tells whether every earlier leader of `target` has stopped."""
    view = inputs.facts.view
    group_endings = _endings_of(inputs, target)
    return all(
        _has_released(inputs, predecessor, target, predecessor.until_offset)
        or endings.ended_at(group_endings, view, predecessor.until_offset)
        <= inputs.now
        for predecessor in predecessors(view, target, inputs.facts.boot)
        if predecessor.until_offset != STILL_LEADS
    )


def earlier_owners_have_stopped(
    inputs: Inputs,
    slot: Slot,
    owner: state.SlotOwner,
) -> bool:
    """Tells whether nothing can run at the slot's earlier owners any more.

    A leader that has folded the move may let requests in flight finish, and
    does so at most until the request limit or the end of its own authority.
    """
    view = inputs.facts.view
    if not owner.previous_target:
        return True
    subject = slot_subject(slot, owner.fence)
    if subject in inputs.handover.fenced_off:
        residual_seconds = residual_work_seconds(inputs.facts, slot.service)
    else:
        residual_seconds = UNKNOWN
    group_endings = _endings_of(inputs, owner.previous_target)
    drain_seconds = inputs.facts.bounds.waited(
        inputs.facts.bounds.request_limit
    )
    move_effective_at = endings.ended_at(group_endings, view, owner.fence)
    if (
        move_effective_at == ALREADY_ENDED
        or move_effective_at + drain_seconds + residual_seconds <= inputs.now
    ):
        return True
    earlier_leaders = predecessors(view, owner.previous_target, '')
    if not any(
        predecessor.until_offset >= owner.fence
        for predecessor in earlier_leaders
    ):
        return False
    return all(
        _has_released(inputs, predecessor, subject, owner.fence)
        or endings.ended_at(group_endings, view, predecessor.until_offset)
        + residual_seconds
        <= inputs.now
        for predecessor in earlier_leaders
    )


def residual_work_seconds(facts: authority.Facts, service: str) -> float:
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


def longest_residual_work_seconds(facts: authority.Facts) -> float:
    """Returns how long work goes on at most once authority has ended."""
    services = {target.service for target in facts.view.targets.values()}
    longest = max(
        (residual_work_seconds(facts, service) for service in services),
        default=0,
    )
    return longest + facts.bounds.waited(facts.bounds.request_limit)


def earlier_grants_have_expired(inputs: Inputs, target: str) -> bool:
    """Tells whether the grants of every earlier leader have lapsed.

    A leader that never granted may then release slots of `target`.
    """
    view = inputs.facts.view
    target_state = view.targets[target]
    group_endings = _endings_of(inputs, target)
    residual_seconds = residual_work_seconds(inputs.facts, target_state.service)
    return all(
        endings.ended_at(group_endings, view, predecessor.until_offset)
        + residual_seconds
        <= inputs.now
        for predecessor in predecessors(view, target, inputs.facts.boot)
    )


def group_of_target(view: state.ClusterState, target: str) -> str:
    """Returns the group whose votes give authority over `target`."""
    target_state = view.targets.get(target)
    if target_state is None:
        return authority.GROUP_OF_ALL
    return authority.group_of_service(
        view, target_state.service, target_state.failure_domain
    )


def _unsettled_epochs(
    view: state.ClusterState,
    settled_offset: int,
) -> abc.Iterator[state.Epoch]:
    for epoch in view.epochs:
        if epoch.ended_at > settled_offset:
            yield epoch
    yield state.Epoch(view.members_changed_at, STILL_LEADS, view.members)


def _endings_of(inputs: Inputs, target: str) -> endings.Endings:
    group = group_of_target(inputs.facts.view, target)
    group_endings = inputs.handover.endings.get(group)
    return group_endings or endings.Endings(group)


def _has_released(
    inputs: Inputs,
    predecessor: Predecessor,
    subject: str,
    offset: int,
) -> bool:
    release = Release(predecessor.joined_at, subject)
    return inputs.handover.releases.get(release, 0) >= offset
