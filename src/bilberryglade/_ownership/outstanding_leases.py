"""What is known of the leases that targets may hold, and when a key is free.

A lease that a target may hold ends when the target confirms its release, or when
its whole time has passed since the last order that may still arrive. That the
target has started again ends nothing: its later life may have taken the order.
"""

import typing
from collections import abc

from bilberryglade._ownership import ranges
from bilberryglade._values import leases

#: A target's clock that measures a lease may run slow by this part.
TARGET_DRIFT_PART: typing.Final = 0.02
#: Seconds added to the end of a lease for work on the way.
LEASE_MARGIN_SECONDS: typing.Final = 0.2


class OutstandingLease(typing.NamedTuple):
    """Keys that a target may hold because of orders sent to it."""

    first: int
    last: int
    owner: ranges.Owner
    fence: int
    #: Seconds at which the last lease that was ordered ends for certain.
    until: float
    #: The same for orders that were not answered: they may be carried out
    #: after a release.
    unanswered_until: float = 0
    is_released: bool = False
    #: What the target said at its release.
    handover: str = ''


class PendingOrder(typing.NamedTuple):
    """An order as it was noted before it was sent."""

    #: What targets might hold before it.
    leases_before: tuple[OutstandingLease, ...]
    #: Seconds at which it has arrived, or has been given up.
    arrives_by: float
    #: Seconds of the lease.
    seconds: float

    @property
    def until(self) -> float:
        """Seconds at which its lease ends for certain."""
        return lease_end(self.arrives_by, self.seconds)


def lease_end(sent_at: float, seconds: float) -> float:
    """Returns when a lease ordered at `sent_at` has ended for certain."""
    return sent_at + seconds * (1 + TARGET_DRIFT_PART) + LEASE_MARGIN_SECONDS


def record_order(
    outstanding: tuple[OutstandingLease, ...],
    entry: ranges.Range,
    until: float,
) -> tuple[OutstandingLease, ...]:
    """Takes in that a lease is being ordered, before the order is sent."""
    updated: list[OutstandingLease] = []
    is_known = False
    for lease in outstanding:
        if _is_for_range(lease, entry):
            is_known = True
            lease = lease._replace(
                until=max(lease.until, until),
                unanswered_until=max(lease.unanswered_until, until),
                is_released=False,
            )
        updated.append(lease)
    if not is_known:
        updated.append(
            OutstandingLease(
                entry.first,
                entry.last,
                entry.owner,
                entry.fence,
                until,
                unanswered_until=until,
            ),
        )
    return tuple(updated)


def record_confirmation(
    outstanding: tuple[OutstandingLease, ...],
    entry: ranges.Range,
    earlier_unanswered_until: float,
) -> tuple[OutstandingLease, ...]:
    """Takes in the answer to an order; `before` is the end of older doubts."""
    return tuple(
        lease._replace(unanswered_until=earlier_unanswered_until)
        if _is_for_range(lease, entry)
        else lease
        for lease in outstanding
    )


def record_outcome(
    outstanding: tuple[OutstandingLease, ...],
    entry: ranges.Range,
    order: PendingOrder,
    failure: leases.Failure | None,
    now: float,
) -> tuple[OutstandingLease, ...]:
    """Takes in what came of an order by `now`; `failure` is None if it was taken.

    One that ended later than it should have may have arrived as late: the loop
    stood still, and with it what bounds an arrival.
    """
    if failure is leases.Failure.unreachable:
        return undo_order(outstanding, order.leases_before, entry, order.until)
    if now > order.arrives_by:
        outstanding = record_order(
            outstanding, entry, lease_end(now, order.seconds)
        )
    if failure is None:
        return record_confirmation(
            outstanding,
            entry,
            unanswered_orders_end(order.leases_before, entry),
        )
    return outstanding


def undo_order(
    outstanding: tuple[OutstandingLease, ...],
    leases_before: tuple[OutstandingLease, ...],
    entry: ranges.Range,
    until: float,
) -> tuple[OutstandingLease, ...]:
    """Takes back an order of which no byte was sent.

    `before` are the holds before it, and `until` is what it was noted with. The
    keys may have been cut since then.
    """
    updated: list[OutstandingLease] = []
    for lease in outstanding:
        was_extended = until in {lease.until, lease.unanswered_until}
        if not was_extended or not _is_part_of(lease, entry):
            updated.append(lease)
            continue
        updated.extend(
            earlier._replace(
                first=lease.first,
                last=lease.last,
                is_released=earlier.is_released or lease.is_released,
                handover=lease.handover or earlier.handover,
            )
            for earlier in leases_before
            if _is_part_of(lease, earlier)
        )
    return tuple(updated)


def record_release(
    outstanding: tuple[OutstandingLease, ...],
    target: str,
    released: leases.Lease,
    handover: str,
) -> tuple[OutstandingLease, ...]:
    """Takes in that a target gave back the keys in `given`.

    Leases that it was given under the fence of the release or a higher one stay:
    they came later, and an answer may be late.
    """
    updated: list[OutstandingLease] = []
    for lease in outstanding:
        is_affected = (
            lease.owner.target == target and lease.fence < released.fence
        )
        if is_affected and not lease.is_released:
            updated.extend(_split(lease, released, handover))
        else:
            updated.append(lease)
    return tuple(updated)


def find_conflicting(
    outstanding: tuple[OutstandingLease, ...],
    entry: ranges.Range,
    now: float,
) -> tuple[OutstandingLease, ...]:
    """Returns the holds of others that keep a range from its new owner.

    An earlier life of the new owner keeps nothing from it.
    """
    return tuple(
        lease
        for lease in outstanding
        if lease.owner.target != entry.owner.target
        and lease.first <= entry.last
        and lease.last >= entry.first
        and now < end_of(lease)
    )


def end_of(lease: OutstandingLease) -> float:
    """Returns when the target holds the keys no more, in seconds."""
    return lease.unanswered_until if lease.is_released else lease.until


def drop_ended(
    outstanding: tuple[OutstandingLease, ...],
    now: float,
) -> tuple[OutstandingLease, ...]:
    """Drops what no target can hold any more."""
    return tuple(lease for lease in outstanding if now < end_of(lease))


def unanswered_orders_end(
    outstanding: tuple[OutstandingLease, ...], entry: ranges.Range
) -> float:
    """Returns until when unanswered orders to a range's owner may count."""
    return max(
        (
            lease.unanswered_until
            for lease in outstanding
            if lease.owner == entry.owner
            and lease.first <= entry.last
            and lease.last >= entry.first
        ),
        default=0,
    )


def handover(
    outstanding: tuple[OutstandingLease, ...], entry: ranges.Range
) -> str:
    """Returns the word of the one owner that released a whole range."""
    handovers = {
        lease.handover
        for lease in outstanding
        if lease.is_released
        and lease.first <= entry.first
        and lease.last >= entry.last
    }
    return handovers.pop() if len(handovers) == 1 else ''


def _split(
    lease: OutstandingLease,
    released: leases.Lease,
    handover: str,
) -> abc.Iterator[OutstandingLease]:
    """Yields the pieces of a hold, of which those keys are released."""
    first = max(lease.first, released.first)
    last = min(lease.last, released.last)
    if first > last:
        yield lease
        return
    pieces = (
        lease._replace(last=first - 1),
        lease._replace(
            first=first, last=last, is_released=True, handover=handover
        ),
        lease._replace(first=last + 1),
    )
    yield from (piece for piece in pieces if piece.first <= piece.last)


def _is_part_of(
    lease: OutstandingLease, whole: OutstandingLease | ranges.Range
) -> bool:
    """Tells whether a hold is on keys of a lease, under its fence."""
    return (
        (lease.owner, lease.fence) == (whole.owner, whole.fence)
        and lease.first >= whole.first
        and lease.last <= whole.last
    )


def _is_for_range(lease: OutstandingLease, entry: ranges.Range) -> bool:
    return (lease.first, lease.last, lease.owner, lease.fence) == (
        entry.first,
        entry.last,
        entry.owner,
        entry.fence,
    )
