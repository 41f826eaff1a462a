"""Log lines and counts of the orders to targets, for troubleshooting."""

import collections

import loguru

from bilberryglade._ownership import ranges
from bilberryglade._values import leases

CONFIRMED = 'confirmed'


class OrderLog:
    """Counts all orders; logs changes of owners and orders not confirmed."""

    def __init__(self) -> None:
        """Starts with no orders counted."""
        #: Number of orders by kind and outcome.
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def record_grant(self, entry: ranges.Range, *, is_first: bool) -> None:
        """Counts a confirmed grant; logs the first one, but not the renewals."""
        self.counts['grant', CONFIRMED] += 1
        if is_first:
            _log_keys('granted to', entry, entry.owner, entry.fence)

    def record_release(
        self,
        entry: ranges.Range,
        owner: ranges.Owner,
        lease: leases.Lease,
    ) -> None:
        """Counts and logs that `owner` released keys needed for `entry`."""
        self.counts['release', CONFIRMED] += 1
        released = entry._replace(first=lease.first, last=lease.last)
        _log_keys('given back by', released, owner, lease.fence)

    def record_failure(
        self,
        kind: str,
        entry: ranges.Range,
        owner: ranges.Owner,
        failure: leases.Failure,
    ) -> None:
        """Counts and logs an order that was not confirmed."""
        self.counts[kind, failure.value] += 1
        loguru.logger.info(
            '{} of {}-{} at {} not confirmed: {}',
            kind,
            entry.first,
            entry.last,
            owner.target,
            failure,
        )


def _log_keys(
    event: str,
    keys: ranges.Range,
    owner: ranges.Owner,
    fence: int,
) -> None:
    loguru.logger.info(
        'keys {}-{} {} {} incarnation {} fence {}',
        keys.first,
        keys.last,
        event,
        owner.target,
        owner.born,
        fence,
    )
