"""Computes which slots an instance holds, hands over and waits for."""

import typing
from collections import abc

import immutables

from bilberryglade._membership import authority
from bilberryglade._ownership import activation
from bilberryglade._routing import roles
from bilberryglade._state import state

SlotFences: typing.TypeAlias = frozenset[activation.SlotFence]


class HeldSlot(typing.NamedTuple):
    """The target that serves a held slot, and the fence of its assignment."""

    target: str
    fence: int


class LeavingSlot(typing.NamedTuple):
    """A slot that was held and is now assigned to another target."""

    target: str
    #: Fence under which it was held.
    old_fence: int
    #: Fence of the assignment that takes it away.
    fence: int
    #: Monotonic seconds until which its requests in flight may run.
    drain_until: float


class AwaitedReleases(typing.NamedTuple):
    """The targets and slots that an earlier leader still has to release."""

    targets: frozenset[str] = frozenset()
    slots: SlotFences = frozenset()


class Holdings(typing.NamedTuple):
    """What an instance holds as of one cluster state."""

    #: Targets that it leads, whether or not their earlier leaders have stopped.
    led: frozenset[str] = frozenset()
    #: Led targets whose earlier leaders have stopped.
    active: frozenset[str] = frozenset()
    #: Slots of led targets whose earlier owners have stopped.
    held: immutables.Map[activation.Slot, HeldSlot] = immutables.Map()
    #: Slots that led targets held and that are assigned elsewhere now.
    leaving: immutables.Map[activation.Slot, LeavingSlot] = immutables.Map()
    #: Releases that it waits for, by the instance that may still act.
    awaited: immutables.Map[str, AwaitedReleases] = immutables.Map()
    #: Whether it may hold more later without a change of state.
    is_waiting: bool = False
    #: Slots that may still run at their earlier owner, by that target.
    blocked: immutables.Map[str, SlotFences] = immutables.Map()


class OwnedSlot(typing.NamedTuple):
    """A slot and its owner in the cluster state."""

    slot: activation.Slot
    owner: state.SlotOwner


def compute_holdings(
    inputs: activation.Inputs,
    previous: Holdings,
    authority_ends_at: abc.Mapping[str, float],
) -> Holdings:
    """Returns what this instance holds, given `inputs`.

    `authority_ends_at` has the end of the instance's authority by target, in
    monotonic seconds, as computed together with `previous`.
    """
    view = inputs.facts.view
    led = frozenset(_led_targets(inputs.facts))
    active = frozenset(
        target
        for target in led
        if activation.earlier_leaders_have_stopped(inputs, target)
    )
    owned = [row for row in owned_slots(view) if row.owner.target in led]
    held: dict[activation.Slot, HeldSlot] = {}
    blocked: list[OwnedSlot] = []
    for row in owned:
        held_slot = HeldSlot(row.owner.target, row.owner.fence)
        is_held = previous.held.get(row.slot) == held_slot
        if is_held or activation.earlier_owners_have_stopped(inputs, *row):
            held[row.slot] = held_slot
        else:
            blocked.append(row)
    return Holdings(
        led=led,
        active=active,
        held=immutables.Map(held),
        leaving=_leaving_slots(inputs, previous, led, authority_ends_at),
        awaited=_awaited_releases(inputs, led - active, blocked),
        is_waiting=bool(blocked) or led != active,
        blocked=_by_earlier_owner(blocked),
    )


def owned_slots(view: state.ClusterState) -> abc.Iterator[OwnedSlot]:
    """Yields every slot that has an owner."""
    for service, slots in view.services.items():
        for number, owner in slots.owners.items():
            yield OwnedSlot(activation.Slot(service, number), owner)


def _led_targets(facts: authority.Facts) -> abc.Iterator[str]:
    """Yields the targets that this instance leads, if it is a member."""
    if authority.own_member(facts) is None:
        return
    for target in facts.view.targets:
        if roles.leader_of_target(facts.view, target) == facts.instance:
            yield target


def _leaving_slots(
    inputs: activation.Inputs,
    previous: Holdings,
    led: frozenset[str],
    authority_ends_at: abc.Mapping[str, float],
) -> immutables.Map[activation.Slot, LeavingSlot]:
    """Returns the slots that led targets have lost to other assignments.

    Requests in flight may run on if the instance has authority when it folds
    the new assignment.
    """
    view = inputs.facts.view
    now = inputs.now
    leaving = {
        slot: row
        for slot, row in previous.leaving.items()
        if row.target in led and _fence_of(view, slot) == row.fence
    }
    for slot, held_slot in previous.held.items():
        fence = _fence_of(view, slot)
        if fence == held_slot.fence or held_slot.target not in led:
            continue
        may_drain = now < authority_ends_at.get(held_slot.target, 0)
        drain_seconds = inputs.facts.bounds.request_limit if may_drain else 0
        leaving[slot] = LeavingSlot(
            held_slot.target, held_slot.fence, fence, now + drain_seconds
        )
    return immutables.Map(leaving)


def _fence_of(view: state.ClusterState, slot: activation.Slot) -> int:
    """Returns the fence of the slot's newest assignment, or 0 if it has none."""
    owner = view.services[slot.service].owners.get(slot.number)
    return owner.fence if owner else 0


def _by_earlier_owner(
    blocked: list[OwnedSlot],
) -> immutables.Map[str, SlotFences]:
    """Returns the blocked slots by the target that owned them before."""
    by_owner: dict[str, SlotFences] = {}
    for slot, owner in blocked:
        earlier = by_owner.get(owner.previous_target, frozenset())
        by_owner[owner.previous_target] = earlier | {
            activation.SlotFence(slot, owner.fence)
        }
    return immutables.Map(by_owner)


def _awaited_releases(
    inputs: activation.Inputs,
    inactive: frozenset[str],
    blocked: list[OwnedSlot],
) -> immutables.Map[str, AwaitedReleases]:
    """Returns the releases to ask for, by instance that may still act."""
    awaited: dict[str, AwaitedReleases] = {}
    boot = inputs.facts.boot
    view = inputs.facts.view
    for target in inactive:
        for predecessor in activation.predecessors(view, target, boot):
            earlier = awaited.get(predecessor.instance, AwaitedReleases())
            awaited[predecessor.instance] = earlier._replace(
                targets=earlier.targets | {target},
            )
    for owned in blocked:
        previous_target = owned.owner.previous_target
        for predecessor in activation.predecessors(view, previous_target, boot):
            earlier = awaited.get(predecessor.instance, AwaitedReleases())
            slot_fence = activation.SlotFence(owned.slot, owned.owner.fence)
            awaited[predecessor.instance] = earlier._replace(
                slots=earlier.slots | {slot_fence}
            )
    return immutables.Map(awaited)
