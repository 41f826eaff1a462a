"""Leases that targets may hold, derived from the orders sent to them.

A lease is outstanding until the target confirms its release, or until its full
time has passed since the latest point at which an order for it can arrive. A
restart of the target does not end it: the new incarnation may have accepted the
order.
"""

import typing
from collections import abc

from bilberryglade._ownership import ranges
from bilberryglade._values import leases

#: Fraction by which a target's clock may run slow while it measures a lease.
TARGET_DRIFT_FRACTION: typing.Final = 0.02
#: Allowance at the end of a lease for requests still in flight.
LEASE_MARGIN_SECONDS: typing.Final = 0.2


class OutstandingLease(typing.NamedTuple):
    """A key range that a target may hold because of the orders sent to it."""

    first: int
    last: int
    owner: ranges.Owner
    fence: int
    #: Monotonic seconds at which the last lease ordered has certainly ended.
    until: float
    #: Monotonic seconds at which leases of unanswered orders have certainly
    #: ended: the target may carry out such an order after a release.
    unanswered_until: float = 0
    is_released: bool = False
    #: Token from the target's answer to the release, with which the next owner
    #: takes over warm state; empty if there is none.
    handover: str = ''


class PendingOrder(typing.NamedTuple):
    """A grant order, recorded before it is sent."""

    #: Outstanding leases of the service before this order.
    leases_before: tuple[OutstandingLease, ...]
    #: Monotonic seconds by which the order has arrived or was given up.
    arrives_by: float
    #: Duration of the lease.
    seconds: float

    @property
    def until(self) -> float:
        """Monotonic seconds at which the ordered lease has certainly ended."""
        return lease_end(self.arrives_by, self.seconds)


def lease_end(starts_at: float, seconds: float) -> float:
    """Returns when a lease that starts at `starts_at` has certainly ended.

    It allows for a slow clock of the target and for requests in flight.
    """
    return (
        starts_at + seconds * (1 + TARGET_DRIFT_FRACTION) + LEASE_MARGIN_SECONDS
    )


def record_order(
    outstanding: tuple[OutstandingLease, ...],
    entry: ranges.Range,
    until: float,
) -> tuple[OutstandingLease, ...]:
    """Returns the leases including that of a grant order about to be sent.

    `until` is the time at which the ordered lease has certainly ended.
    """
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
    """Returns the leases after a target confirmed the grant of a range.

    Only orders before that grant can remain unanswered; their leases have ended
    by `earlier_unanswered_until`.
    """
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
    """Returns the leases after an order; `failure` is None if it was confirmed.

    An order that ended after `order.arrives_by` may have arrived that late: a
    stalled event loop also delays the timeout that bounds the arrival. The
    lease is then counted from `now`.
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
    """Returns the leases without an order of which no byte was sent.

    `leases_before` are the leases before the order, and `until` is the end of
    the ordered lease. A release may have split the range since then.
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
    """Returns the leases after a target confirmed the release of keys.

    Leases with the fence of the release or a higher one remain: the answer to
    the release may be late, and they were granted after it was sent.
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
    """Returns the leases of other targets that overlap a range at `now`.

    A lease of an earlier incarnation of the range's owner does not conflict.
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
    """Returns the monotonic seconds from which the target can hold no keys."""
    return lease.unanswered_until if lease.is_released else lease.until


def drop_ended(
    outstanding: tuple[OutstandingLease, ...],
    now: float,
) -> tuple[OutstandingLease, ...]:
    """Returns the leases that have not certainly ended at `now`."""
    return tuple(lease for lease in outstanding if now < end_of(lease))


def unanswered_orders_end(
    outstanding: tuple[OutstandingLease, ...], entry: ranges.Range
) -> float:
    """Returns when the leases of unanswered orders to a range's owner end.

    Returns 0 if there are none.
    """
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
    """Returns the handover token of the one owner that released a whole range.

    Returns '' if there is no such owner, or more than one.
    """
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
    """Splits a lease into pieces and marks the released keys."""
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
    """Returns whether a lease is within `whole`, with its owner and fence."""
    return (
        (lease.owner, lease.fence) == (whole.owner, whole.fence)
        and lease.first >= whole.first
        and lease.last <= whole.last
    )


def _is_for_range(lease: OutstandingLease, entry: ranges.Range) -> bool:
    """Returns whether a lease has the same keys, owner and fence."""
    return (lease.first, lease.last, lease.owner, lease.fence) == (
        entry.first,
        entry.last,
        entry.owner,
        entry.fence,
    )
