"""Lines and counts of the orders to targets, for those who look for a cause."""

import collections

import loguru

from bilberryglade._ownership import ranges
from bilberryglade._values import leases

CONFIRMED = 'confirmed'


class OrderLog:
    """Counts every order; writes a line where keys change hands or may not."""

    def __init__(self) -> None:
        """Has seen no order."""
        #: Orders by their kind and what became of them.
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def grant(self, entry: ranges.Range, *, is_first: bool) -> None:
        """Takes in a confirmed grant; renewals are only counted."""
        self.counts['grant', CONFIRMED] += 1
        if is_first:
            _note('granted to', entry, entry.owner, entry.fence)

    def release(
        self,
        entry: ranges.Range,
        owner: ranges.Owner,
        lease: leases.Lease,
    ) -> None:
        """Takes in that `owner` gave back keys, which `entry` needs."""
        self.counts['release', CONFIRMED] += 1
        kept = entry._replace(first=lease.first, last=lease.last)
        _note('given back by', kept, owner, lease.fence)

    def failed(
        self,
        order: str,
        entry: ranges.Range,
        owner: ranges.Owner,
        failure: leases.Failure,
    ) -> None:
        """Takes in an order that was not confirmed."""
        self.counts[order, failure.value] += 1
        loguru.logger.info(
            '{} of {}-{} at {} not confirmed: {}',
            order,
            entry.first,
            entry.last,
            owner.target,
            failure,
        )


def _note(
    what: str,
    keys: ranges.Range,
    owner: ranges.Owner,
    fence: int,
) -> None:
    loguru.logger.info(
        'keys {}-{} {} {} life {} fence {}',
        keys.first,
        keys.last,
        what,
        owner.target,
        owner.born,
        fence,
    )
