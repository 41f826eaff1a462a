"""Decides when a leader may act for a target, and for one of its slots.

All functions are pure. They depend on the cluster state folded from the log,
on the releases that earlier leaders have reported, and on the times at which
authority over earlier states has ended.
"""

import sys
import typing
from collections import abc

import immutables

from bilberryglade._membership import authority, endings
from bilberryglade._routing import roles
from bilberryglade._state import state

#: End of an authority that the cluster state records as ended.
ALREADY_ENDED: typing.Final = endings.NEVER
#: End of an authority, or of work, for which no bound is known yet.
UNKNOWN: typing.Final = endings.UNKNOWN
#: Offset that stands for the end of the current leader's term.
STILL_LEADS: typing.Final = sys.maxsize


class Slot(typing.NamedTuple):
    """A numbered slot of a service."""

    service: str
    number: int


class SlotFence(typing.NamedTuple):
    """A slot and the fence of its newest assignment."""

    slot: Slot
    fence: int


class Predecessor(typing.NamedTuple):
    """A process that may still act for a target because it led it earlier."""

    instance: str
    #: Offset of the process's join, which identifies the process.
    joined_at: int
    #: It stops when authority over states older than this offset ends.
    until_offset: int


class Release(typing.NamedTuple):
    """A target or slot for which a process reports that it no longer acts."""

    #: Offset of the process's join, which identifies the process.
    joined_at: int
    #: Name of a target, or the `slot_subject` of a slot.
    subject: str


class HandoverState(typing.NamedTuple):
    """What an instance has learned about earlier leaders and owners."""

    #: When authority over earlier states ended, by group of voters.
    endings: abc.Mapping[str, endings.Endings]
    #: Newest offset at which each release was reported.
    releases: immutables.Map[Release, int]
    #: Subjects of slots whose earlier owner was sent the newer fence, or
    #: could not be reached.
    fenced_off: frozenset[str]


class Inputs(typing.NamedTuple):
    """What the ownership decisions of one instance depend on at one time."""

    facts: authority.Facts
    handover: HandoverState
    #: Current time in monotonic seconds.
    now: float


def slot_subject(slot: Slot, fence: int) -> str:
    """Returns the subject of a release of `slot` to the owner with `fence`."""
    return f'{slot.service}|{slot.number}|{fence}'


def predecessors(
    view: state.ClusterState,
    target: str,
    boot: str,
) -> list[Predecessor]:
    """Returns the processes other than `boot` that may still lead `target`.

    The current leader is one of them, with the offset `STILL_LEADS`.
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
    """Returns whether every earlier leader of `target` no longer acts for it."""
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
    """Returns whether no request can run at the slot's earlier owner any more.

    A leader that has folded the move may let requests in flight finish, but
    at most until the request limit or the end of its own authority.
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
    """Returns how long requests may run at a target after its leader stopped.

    At fenced targets they end with the grant, at others at the request limit.
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
    """Returns the longest time for which requests run after authority ended."""
    services = {target.service for target in facts.view.targets.values()}
    longest = max(
        (residual_work_seconds(facts, service) for service in services),
        default=0,
    )
    return longest + facts.bounds.waited(facts.bounds.request_limit)


def earlier_grants_have_expired(inputs: Inputs, target: str) -> bool:
    """Returns whether the grants of every earlier leader have expired.

    A new leader that has granted nothing itself may then release slots of
    `target`.
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
    """Yields the current epoch and earlier ones whose authority may last."""
    for epoch in view.epochs:
        if epoch.ended_at > settled_offset:
            yield epoch
    yield state.Epoch(view.members_changed_at, STILL_LEADS, view.members)


def _endings_of(inputs: Inputs, target: str) -> endings.Endings:
    """Returns when authority over earlier states of `target` ended."""
    group = group_of_target(inputs.facts.view, target)
    group_endings = inputs.handover.endings.get(group)
    return group_endings or endings.Endings(group)


def _has_released(
    inputs: Inputs,
    predecessor: Predecessor,
    subject: str,
    offset: int,
) -> bool:
    """Returns whether a release was reported at `offset` or later."""
    release = Release(predecessor.joined_at, subject)
    return inputs.handover.releases.get(release, 0) >= offset
