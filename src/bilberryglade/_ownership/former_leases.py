"""Leases of earlier owners: as they count here, and as others are told of them."""

from collections import abc

from bilberryglade._ownership import outstanding_leases, owners, ranges

#: By service.
Outstanding = abc.Mapping[str, tuple[outstanding_leases.OutstandingLease, ...]]


def to_former_owner(
    lease: outstanding_leases.OutstandingLease, now: float
) -> owners.FormerOwner:
    """Returns a lease with the seconds that it may last from `now` on."""
    return owners.FormerOwner(
        ranges.Range(lease.first, lease.last, lease.owner, lease.fence),
        outstanding_leases.end_of(lease) - now,
    )


def to_lease(
    former: owners.FormerOwner, now: float
) -> outstanding_leases.OutstandingLease:
    """Returns the lease that an earlier owner may hold, as known at `now`."""
    entry = former.entry
    until = outstanding_leases.lease_end(now, former.seconds)
    return outstanding_leases.OutstandingLease(
        entry.first,
        entry.last,
        entry.owner,
        entry.fence,
        until,
    )


def held(
    outstanding: Outstanding, now: float
) -> dict[str, list[owners.FormerOwner]]:
    """Returns by service all leases that targets may hold at `now`."""
    return {
        service: [
            to_former_owner(lease, now)
            for lease in outstanding_leases.drop_ended(known, now)
        ]
        for service, known in outstanding.items()
    }
