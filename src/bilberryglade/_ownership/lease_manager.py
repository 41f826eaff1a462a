"""Grants, renews and releases leases on key ranges as the owner tables require.

Each order is recorded before it is sent, so that the leases that a target may
hold are never underestimated, even if the answer is lost.
"""

import asyncio
import functools
import typing
from collections import abc

import result

from bilberryglade._knowledge import reading
from bilberryglade._membership import candidacy
from bilberryglade._ownership import (
    former_leases,
    lease_times,
    order_addresses,
    order_log,
    outstanding_leases,
    owners,
    ranges,
    reachability,
)
from bilberryglade._targets import directory
from bilberryglade._values import clock, leases
from bilberryglade.platform import orders

#: Limits on the grants and releases in flight at the same time: more of them
#: would delay the renewal of the coordinator's own lease until it ends.
MAX_CONCURRENT_GRANTS: typing.Final = 24
MAX_CONCURRENT_RELEASES: typing.Final = 64
#: Longest wait for a target to finish its work on released keys.
RELEASE_TIMEOUT_SECONDS: typing.Final = 1.5
RETRY_DELAY_SECONDS: typing.Final = 0.3

#: A service and one range of its keys.
ServiceRange: typing.TypeAlias = tuple[str, ranges.Range]


class GrantState(typing.NamedTuple):
    """Progress of the grants of one key range to its owner."""

    #: Monotonic seconds at which the confirmed lease ends; 0 if the target has
    #: confirmed none.
    confirmed_until: float = 0
    #: Monotonic seconds at which the next order is due.
    next_order_at: float = 0


class LeaseManager:
    """Sends grants and releases to targets while this instance coordinates."""

    def __init__(
        self,
        coordinator_lease: candidacy.Candidacy,
        target_orders: orders.Orders,
        reader: reading.Reader,
        max_lease_seconds: float,
    ) -> None:
        """Starts without leases; call `start_term` before sending any order."""
        self.coordinator_lease = coordinator_lease
        self.orders = target_orders
        self.reader = reader
        self.max_lease_seconds = max_lease_seconds
        #: Term of the coordinator's lease in which the tables were taken over.
        self.term = -1
        #: Leases that targets may hold, by service.
        self.outstanding: dict[
            str, tuple[outstanding_leases.OutstandingLease, ...]
        ] = {}
        #: Leases that may be held of any service's keys, by unknown targets.
        self.unlisted: tuple[outstanding_leases.OutstandingLease, ...] = ()
        self.grants: dict[ServiceRange, GrantState] = {}
        self.order_tasks: dict[ServiceRange, asyncio.Task[None]] = {}
        self.log = order_log.OrderLog()
        self.grant_semaphore = asyncio.Semaphore(MAX_CONCURRENT_GRANTS)
        self.release_semaphore = asyncio.Semaphore(MAX_CONCURRENT_RELEASES)
        self.renewal_interval_seconds = lease_times.RENEWAL_INTERVAL_SECONDS
        #: Ranges whose fence must be replaced: the owner may have started
        #: again, or has refused the fence because it has seen a higher one.
        self.stale_fences: set[ServiceRange] = set()
        self.addresses = order_addresses.OrderAddresses(reader)
        self.reachability = reachability.Reachability(
            target_orders, self._mark_stale_fences
        )
        #: Called when an owner has confirmed the first grant of a range.
        self.on_first_grant: abc.Callable[[], None] = _do_nothing

    def start_term(
        self,
        earlier_leases: abc.Mapping[str, abc.Iterable[owners.FormerOwner]],
        addresses: owners.Addresses,
    ) -> None:
        """Starts a term of the coordinator.

        `earlier_leases` are, by service, the leases that targets may still hold
        from earlier terms; `addresses` are those of their owners.
        """
        self.stop()
        self.term = self.coordinator_lease.term
        now = clock.now()
        self.addresses.add(addresses)
        self.outstanding = {
            service: tuple(
                former_leases.to_lease(former, now) for former in former_owners
            )
            for service, former_owners in earlier_leases.items()
        }
        self.stale_fences.clear()
        self.unlisted = ()

    def stop(self) -> None:
        """Cancels all orders in flight and forgets their progress."""
        for task in self.order_tasks.values():
            task.cancel()
        self.order_tasks.clear()
        self.reachability.reset()
        self.grants.clear()

    def target_of(self, owner: ranges.Owner) -> directory.Target | None:
        """Returns the target of an owner; None if that incarnation is not listed."""
        listed = self.reader.known.directory
        target = listed.targets.get(owner.target)
        if target is None or target.born != owner.born:
            return None
        return target

    def drop_ended_leases(self) -> None:
        """Drops leases that have certainly ended, and addresses without a lease."""
        now = clock.now()
        self.outstanding = {
            service: outstanding_leases.drop_ended(outstanding, now)
            for service, outstanding in self.outstanding.items()
        }
        holders = {
            lease.owner
            for outstanding in self.outstanding.values()
            for lease in outstanding
        }
        self.addresses.retain_owners(holders)

    def retain_ranges(self, service_ranges: abc.Set[ServiceRange]) -> None:
        """Forgets the grants and stale fences of all ranges but these."""
        self.stale_fences.intersection_update(service_ranges)
        self.grants = {
            service_range: grant
            for service_range, grant in self.grants.items()
            if service_range in service_ranges
        }

    def is_granted(self, service_range: ServiceRange, now: float) -> bool:
        """Returns whether the owner of a range has a confirmed lease at `now`."""
        return (
            self.grants.get(service_range, GrantState()).confirmed_until > now
        )

    def start_orders(self, tables: owners.Tables) -> None:
        """Starts a grant or renewal of each range in `tables` for which it is due."""
        now = clock.now()
        self.renewal_interval_seconds = lease_times.renewal_interval_seconds(
            sum(map(len, tables.services.values()))
        )
        for service, entries in tables.services.items():
            for owned in entries:
                service_range = (service, owned.entry)
                is_due = (
                    self.grants.get(service_range, GrantState()).next_order_at
                    <= now
                )
                if is_due and service_range not in self.order_tasks:
                    self._start_order(service_range)

    def blocking_leases(
        self,
        service: str,
        entry: ranges.Range,
    ) -> tuple[outstanding_leases.OutstandingLease, ...]:
        """Returns the leases of other targets that prevent a grant of the range."""
        return outstanding_leases.find_conflicting(
            (*self.outstanding.get(service, ()), *self.unlisted),
            entry,
            clock.now(),
        )

    def former_owners(
        self,
        service: str,
        table: ranges.Table,
    ) -> list[owners.FormerOwner]:
        """Returns the earlier owners that may still hold keys of the table."""
        now = clock.now()
        blocking = {
            lease
            for entry in table
            for lease in self.blocking_leases(service, entry)
        }
        return [
            former_leases.to_former_owner(lease, now)
            for lease in sorted(blocking)
        ]

    def _start_order(self, service_range: ServiceRange) -> None:
        self.grants[service_range] = self.grants.get(
            service_range, GrantState()
        )._replace(next_order_at=clock.now() + RETRY_DELAY_SECONDS)
        task = asyncio.create_task(self._release_and_grant(*service_range))
        self.order_tasks[service_range] = task
        task.add_done_callback(
            functools.partial(self._remove_task, service_range)
        )

    def _remove_task(
        self, service_range: ServiceRange, task: asyncio.Task[None]
    ) -> None:
        if self.order_tasks.get(service_range) is task:
            self.order_tasks.pop(service_range)
        if not task.cancelled():
            task.result()

    def _mark_stale_fences(self, owner: ranges.Owner) -> None:
        """Marks all ranges of an owner that answers again for new fences.

        The target may have started again while it did not answer.
        """
        self.stale_fences.update(
            service_range
            for service_range in self.grants
            if service_range[1].owner == owner
        )

    async def _release_and_grant(
        self, service: str, entry: ranges.Range
    ) -> None:
        """Releases the range from earlier owners, then grants or renews its lease."""
        if not self._is_current(service, entry):
            return
        await asyncio.gather(
            *(
                self._release(service, lease, entry)
                for lease in self.blocking_leases(service, entry)
            )
        )
        async with self.grant_semaphore:
            target = self._grantable_target(service, entry)
            if target is not None:
                await self._grant(service, entry, target)

    def _is_current(self, service: str, entry: ranges.Range) -> bool:
        """Returns whether a range is still in force and the term unchanged.

        Holding the coordinator's lease is not enough: another instance may
        have been coordinator between two terms of this one.
        """
        is_same_term = (
            self.coordinator_lease.holds
            and self.coordinator_lease.term == self.term
        )
        return is_same_term and (service, entry) in self.grants

    def _grantable_target(
        self,
        service: str,
        entry: ranges.Range,
    ) -> directory.Target | None:
        """Returns the target to which a range may be granted now, or None.

        Tables, leases and targets may have changed while the order waited for
        its turn.
        """
        if not self._is_current(service, entry):
            return None
        if self.reachability.is_failing(entry.owner):
            return None
        if self.blocking_leases(service, entry):
            return None
        return self.target_of(entry.owner)

    async def _release(
        self,
        service: str,
        blocking_lease: outstanding_leases.OutstandingLease,
        entry: ranges.Range,
    ) -> None:
        address = self.addresses.release_address(blocking_lease.owner)
        if blocking_lease.is_released or not address:
            return
        lease = leases.Lease(
            first=max(blocking_lease.first, entry.first),
            last=min(blocking_lease.last, entry.last),
            fence=ranges.release_fence(entry),
        )
        async with self.release_semaphore:
            if not self._is_current(service, entry):
                return
            answer = await self.orders.release(
                leases.Holder(blocking_lease.owner.target, address),
                lease,
                RELEASE_TIMEOUT_SECONDS,
            )
        if isinstance(answer, result.Err):
            self.log.record_failure(
                'release', entry, blocking_lease.owner, answer.err_value
            )
            return
        self.log.record_release(entry, blocking_lease.owner, lease)
        self.outstanding[service] = outstanding_leases.record_release(
            self.outstanding.get(service, ()),
            blocking_lease.owner.target,
            lease,
            answer.ok_value,
        )

    async def _grant(
        self,
        service: str,
        entry: ranges.Range,
        target: directory.Target,
    ) -> None:
        self.addresses.record(entry.owner, target.address)
        store_silence = clock.now() - self.coordinator_lease.confirmed_at
        seconds = lease_times.lease_seconds(
            store_silence, self.max_lease_seconds
        )
        sent_at = clock.now()
        leases_before = self.outstanding.get(service, ())
        order = outstanding_leases.PendingOrder(
            leases_before, sent_at + orders.GRANT_SECONDS, seconds
        )
        self.outstanding[service] = outstanding_leases.record_order(
            leases_before, entry, order.until
        )
        lease = leases.Lease(
            entry.first,
            entry.last,
            entry.fence,
            seconds,
            outstanding_leases.handover(leases_before, entry),
            is_renewal=self.is_granted((service, entry), sent_at),
        )
        answer = await self.orders.grant(
            leases.Holder(target.name, target.address), lease
        )
        self._record_outcome((service, entry), order, answer)
        if isinstance(answer, result.Err) or not self._is_current(
            service, entry
        ):
            return
        is_first = not self.grants.get(
            (service, entry), GrantState()
        ).confirmed_until
        self.log.record_grant(entry, is_first=is_first)
        self.grants[service, entry] = GrantState(
            sent_at + seconds, sent_at + self.renewal_interval_seconds
        )
        if is_first:
            self.on_first_grant()

    def _record_outcome(
        self,
        service_range: ServiceRange,
        order: outstanding_leases.PendingOrder,
        answer: result.Result[None, leases.Failure],
    ) -> None:
        """Updates the outstanding leases with the outcome of a grant."""
        service, entry = service_range
        failure = None if isinstance(answer, result.Ok) else answer.err_value
        self.outstanding[service] = outstanding_leases.record_outcome(
            self.outstanding[service], entry, order, failure, clock.now()
        )
        if failure is not None:
            self._record_failure(service_range, failure)

    def _record_failure(
        self, service_range: ServiceRange, failure: leases.Failure
    ) -> None:
        entry = service_range[1]
        if failure is leases.Failure.fenced:
            self.stale_fences.update({service_range} & self.grants.keys())
        else:
            self.reachability.record_failure(entry.owner)
        self.log.record_failure('grant', entry, entry.owner, failure)


def _do_nothing() -> None:
    """Default for `on_first_grant`."""
