"""Which grants a target is to be given: pure."""

import typing
from collections import abc

from bilberryglade._ownership import activation, holdings
from bilberryglade._state import state
from bilberryglade_schema import platform


class Revocation(typing.NamedTuple):
    """A fence that a target must know of, so that it refuses older grants."""

    slot: int
    fence: int


class Batch(typing.NamedTuple):
    """Grants due to one target."""

    #: Fence by slot, for slots that the target serves.
    served: dict[int, int]
    #: Old fence by slot, for slots that still have requests in flight.
    draining: dict[int, int]
    revocations: frozenset[Revocation]


def batch_for(
    view: state.ClusterState,
    target: str,
    held: holdings.Holdings,
    running: abc.Container[int],
    now: float,
) -> Batch:
    """Returns the grants due to `target`; `running` are slots in flight."""
    served = {
        slot.number: holding.fence
        for slot, holding in held.held.items()
        if holding.target == target
    }
    draining = {
        slot.number: row.old_fence
        for slot, row in held.leaving.items()
        if row.target == target
        and slot.number in running
        and now < row.drain_until
    }
    revocations = frozenset(
        Revocation(row.slot.number, row.owner.fence)
        for row in lost_slots(view, target)
        if row.slot.number not in draining
    )
    return Batch(served, draining, revocations)


def lost_slots(
    view: state.ClusterState,
    target: str,
) -> abc.Iterator[holdings.Owned]:
    """Yields slots whose owner before the present one was `target`."""
    known = view.targets[target]
    service = view.services.get(known.service, state.ServiceSlots())
    for number, owner in service.owners.items():
        if owner.previous_target == target and owner.target != target:
            yield holdings.Owned(
                activation.Slot(known.service, number),
                owner,
            )


def messages_of(
    batch: Batch,
    skipped: abc.Container[Revocation],
    lease_ms: int,
) -> list[platform.Grant]:
    """Returns the grants of `batch` without revocations known already."""
    held = [*batch.served.items(), *batch.draining.items()]
    grants: list[platform.Grant] = [
        {'slot': slot, 'fence': fence, 'lease_ms': lease_ms}
        for slot, fence in held
    ]
    grants.extend(
        {'slot': row.slot, 'fence': row.fence, 'lease_ms': 0}
        for row in batch.revocations
        if row not in skipped
    )
    return grants
