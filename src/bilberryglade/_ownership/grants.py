"""Computes the grants that are due to a target, by pure functions."""

import typing
from collections import abc

from bilberryglade._ownership import activation, holdings
from bilberryglade._state import state
from bilberryglade_schema import platform


class Revocation(typing.NamedTuple):
    """A fence sent to a target so that it refuses grants with older fences."""

    slot: int
    fence: int


class Batch(typing.NamedTuple):
    """The grants due to one target."""

    #: Fence by slot, for slots that the target serves.
    served: dict[int, int]
    #: Old fence by slot, for slots that the target has lost but that still
    #: have requests in flight there.
    draining: dict[int, int]
    #: Newer fences of slots that the target has lost.
    revocations: frozenset[Revocation]


def batch_for(
    view: state.ClusterState,
    target: str,
    own_holdings: holdings.Holdings,
    running_slots: abc.Container[int],
    now: float,
) -> Batch:
    """Returns the grants due to `target`.

    `running_slots` are the slots with requests in flight at the target.
    """
    served = {
        slot.number: held_slot.fence
        for slot, held_slot in own_holdings.held.items()
        if held_slot.target == target
    }
    draining = {
        slot.number: leaving_slot.old_fence
        for slot, leaving_slot in own_holdings.leaving.items()
        if leaving_slot.target == target
        and slot.number in running_slots
        and now < leaving_slot.drain_until
    }
    revocations = frozenset(
        Revocation(lost_slot.slot.number, lost_slot.owner.fence)
        for lost_slot in lost_slots(view, target)
        if lost_slot.slot.number not in draining
    )
    return Batch(served, draining, revocations)


def lost_slots(
    view: state.ClusterState,
    target: str,
) -> abc.Iterator[holdings.OwnedSlot]:
    """Yields the slots that moved from `target` to their current owner."""
    target_state = view.targets[target]
    service = view.services.get(target_state.service, state.ServiceSlots())
    for number, owner in service.owners.items():
        if owner.previous_target == target and owner.target != target:
            yield holdings.OwnedSlot(
                activation.Slot(target_state.service, number),
                owner,
            )


def grants_to_send(
    batch: Batch,
    known_revocations: abc.Container[Revocation],
    lease_ms: int,
) -> list[platform.Grant]:
    """Returns the grants of `batch`, without `known_revocations`.

    A revocation is a grant whose lease has no duration.
    """
    leased = [*batch.served.items(), *batch.draining.items()]
    grants: list[platform.Grant] = [
        {'slot': slot, 'fence': fence, 'lease_ms': lease_ms}
        for slot, fence in leased
    ]
    grants.extend(
        {'slot': revocation.slot, 'fence': revocation.fence, 'lease_ms': 0}
        for revocation in batch.revocations
        if revocation not in known_revocations
    )
    return grants
