"""Gives, renews and takes back leases, as the tables want them.

Each order is noted before it is sent, so that what a target may hold is never
underestimated, whatever becomes of the answer.
"""

import asyncio
import functools
import typing
from collections import abc

import result

from bilberryglade._knowledge import reading
from bilberryglade._membership import candidacy
from bilberryglade._ownership import (
    holds as leased,
    lease_times,
    order_addresses,
    order_log,
    owners,
    ranges,
    reachability,
)
from bilberryglade._targets import directory
from bilberryglade._values import clock, leases
from bilberryglade.platform import orders

#: Orders on their way at a time, each of grants and of releases: more would
#: hold up the coordinator's claim, and its lease would end.
MOST_GRANTS: typing.Final = 24
MOST_RELEASES: typing.Final = 64
#: Longest wait for the end of the work on released keys.
RELEASE_SECONDS: typing.Final = 1.5
RETRY_SECONDS: typing.Final = 0.3

Slot: typing.TypeAlias = tuple[str, ranges.Range]


class Grant(typing.NamedTuple):
    """How far a range's lease is."""

    #: Seconds until which a confirmed lease holds; 0 if none was confirmed.
    until: float = 0
    #: Seconds at which the next order is due.
    due: float = 0


class Lessor:
    """Orders leases while this instance coordinates."""

    def __init__(
        self,
        lease: candidacy.Candidacy,
        target_orders: orders.Orders,
        reader: reading.Reader,
        longest_lease: float,
    ) -> None:
        """Has ordered nothing; `longest_lease` is in seconds."""
        self.lease = lease
        self.orders = target_orders
        self.reader = reader
        self.longest_lease = longest_lease
        #: Term of the lease in which the tables were taken over.
        self.term = -1
        self.holds: dict[str, tuple[leased.Hold, ...]] = {}
        self.grants: dict[Slot, Grant] = {}
        self.busy: dict[Slot, asyncio.Task[None]] = {}
        self.log = order_log.OrderLog()
        self.grant_places = asyncio.Semaphore(MOST_GRANTS)
        self.release_places = asyncio.Semaphore(MOST_RELEASES)
        self.renewal_seconds = lease_times.RENEWAL_SECONDS
        #: Ranges that need a new fence, since a target saw a higher one.
        self.fenced: set[Slot] = set()
        self.addresses = order_addresses.OrderAddresses(reader)
        self.reach = reachability.Reachability(target_orders, self._refence)
        #: Called when a range was granted to its owner for the first time.
        self.on_first_grant: abc.Callable[[], None] = _nothing

    def begin(
        self,
        held: abc.Mapping[str, abc.Iterable[owners.FormerOwner]],
        addresses: owners.Addresses,
    ) -> None:
        """Starts a term: each range of `held` may be leased to its owner."""
        self.stop()
        self.term = self.lease.term
        now = clock.now()
        self.addresses.learn(addresses)
        self.holds = {
            service: tuple(_held(former, now) for former in found)
            for service, found in held.items()
        }
        self.fenced.clear()

    def stop(self) -> None:
        """Ends all orders on their way."""
        for task in self.busy.values():
            task.cancel()
        self.busy.clear()
        self.reach.forget()
        self.grants.clear()

    def target_of(self, owner: ranges.Owner) -> directory.Target | None:
        """Returns the listed target of a life; None if there is none."""
        listed = self.reader.known.directory
        target = listed.targets.get(owner.target)
        if target is None or target.born != owner.born:
            return None
        return target

    def forget_ended(self) -> None:
        """Drops leases that no target can hold any more."""
        now = clock.now()
        self.holds = {
            service: leased.without_ended(known, now)
            for service, known in self.holds.items()
        }
        holders = {
            hold.owner for known in self.holds.values() for hold in known
        }
        self.addresses.keep_only(holders)

    def keep_only(self, slots: abc.Set[Slot]) -> None:
        """Forgets the progress of ranges that are not wanted any more."""
        self.fenced.intersection_update(slots)
        self.grants = {
            slot: grant for slot, grant in self.grants.items() if slot in slots
        }

    def is_granted(self, slot: Slot, now: float) -> bool:
        """Tells whether the owner of a range has confirmed a lease."""
        return self.grants.get(slot, Grant()).until > now

    def start_orders(self, tables: owners.Tables) -> None:
        """Starts the orders that are due."""
        now = clock.now()
        self.renewal_seconds = lease_times.renewal_seconds(
            sum(map(len, tables.services.values()))
        )
        for service, entries in tables.services.items():
            for owned in entries:
                slot = (service, owned.entry)
                is_due = self.grants.get(slot, Grant()).due <= now
                if is_due and slot not in self.busy:
                    self._start(slot)

    def blocking(
        self,
        service: str,
        entry: ranges.Range,
    ) -> tuple[leased.Hold, ...]:
        """Returns the leases that keep a range from its owner."""
        return leased.in_the_way(
            self.holds.get(service, ()), entry, clock.now()
        )

    def former(
        self,
        service: str,
        table: ranges.Table,
    ) -> list[owners.FormerOwner]:
        """Returns earlier owners that may still hold keys of a table."""
        now = clock.now()
        held = {
            hold for entry in table for hold in self.blocking(service, entry)
        }
        return [
            owners.FormerOwner(
                ranges.Range(hold.first, hold.last, hold.owner, hold.fence),
                leased.end_of(hold) - now,
            )
            for hold in sorted(held)
        ]

    def _start(self, slot: Slot) -> None:
        self.grants[slot] = self.grants.get(slot, Grant())._replace(
            due=clock.now() + RETRY_SECONDS
        )
        task = asyncio.create_task(self._serve(*slot))
        self.busy[slot] = task
        task.add_done_callback(functools.partial(self._end, slot))

    def _end(self, slot: Slot, task: asyncio.Task[None]) -> None:
        if self.busy.get(slot) is task:
            self.busy.pop(slot)
        if not task.cancelled():
            task.result()

    def _refence(self, owner: ranges.Owner) -> None:
        """Asks for new fences: an owner that is back may be a new life."""
        self.fenced.update(
            slot for slot in self.grants if slot[1].owner == owner
        )

    async def _serve(self, service: str, entry: ranges.Range) -> None:
        """Clears a range of other holders, then grants or renews it."""
        if not self._is_wanted(service, entry):
            return
        await asyncio.gather(
            *(
                self._release(service, hold, entry)
                for hold in self.blocking(service, entry)
            )
        )
        async with self.grant_places:
            target = self._free_owner(service, entry)
            if target is not None:
                await self._grant(service, entry, target)

    def _is_wanted(self, service: str, entry: ranges.Range) -> bool:
        """Tells whether this instance still gives a range to its owner.

        Others may have coordinated between two terms of its own.
        """
        is_same_term = self.lease.holds and self.lease.term == self.term
        return is_same_term and (service, entry) in self.grants

    def _free_owner(
        self,
        service: str,
        entry: ranges.Range,
    ) -> directory.Target | None:
        """Returns the owner of a range if it may be granted now.

        Tables, leases and targets may have changed while the order waited.
        """
        if not self._is_wanted(service, entry):
            return None
        if self.reach.is_failing(entry.owner):
            return None
        if self.blocking(service, entry):
            return None
        return self.target_of(entry.owner)

    async def _release(
        self,
        service: str,
        hold: leased.Hold,
        entry: ranges.Range,
    ) -> None:
        address = self.addresses.to_release(hold.owner)
        if hold.is_released or not address:
            return
        lease = leases.Lease(
            first=max(hold.first, entry.first),
            last=min(hold.last, entry.last),
            fence=ranges.release_fence(entry),
        )
        async with self.release_places:
            if not self._is_wanted(service, entry):
                return
            answer = await self.orders.release(
                leases.Holder(hold.owner.target, address),
                lease,
                RELEASE_SECONDS,
            )
        if isinstance(answer, result.Err):
            self.log.failed('release', entry, hold.owner, answer.err_value)
            return
        self.log.release(entry, hold.owner, lease)
        self.holds[service] = leased.released(
            self.holds.get(service, ()),
            hold.owner.target,
            lease,
            answer.ok_value,
        )

    async def _grant(
        self,
        service: str,
        entry: ranges.Range,
        target: directory.Target,
    ) -> None:
        self.addresses.note(entry.owner, target.address)
        silence = clock.now() - self.lease.confirmed_at
        seconds = lease_times.lease_seconds(silence, self.longest_lease)
        sent_at = clock.now()
        before = self.holds.get(service, ())
        noted = leased.Noted(before, sent_at + orders.GRANT_SECONDS, seconds)
        self.holds[service] = leased.ordered(before, entry, noted.until)
        lease = leases.Lease(
            entry.first,
            entry.last,
            entry.fence,
            seconds,
            leased.handover(before, entry),
        )
        answer = await self.orders.grant(
            leases.Holder(target.name, target.address), lease
        )
        self._take_answer((service, entry), noted, answer)
        if isinstance(answer, result.Err) or not self._is_wanted(
            service, entry
        ):
            return
        is_first = not self.grants.get((service, entry), Grant()).until
        self.log.grant(entry, is_first=is_first)
        self.grants[service, entry] = Grant(
            sent_at + seconds, sent_at + self.renewal_seconds
        )
        if is_first:
            self.on_first_grant()

    def _take_answer(
        self,
        slot: Slot,
        noted: leased.Noted,
        answer: result.Result[None, leases.Failure],
    ) -> None:
        """Takes in what came of an order, or that nothing did."""
        service, entry = slot
        failure = None if isinstance(answer, result.Ok) else answer.err_value
        self.holds[service] = leased.settled(
            self.holds[service], entry, noted, failure, clock.now()
        )
        if failure is not None:
            self._take_failure(slot, failure)

    def _take_failure(self, slot: Slot, failure: leases.Failure) -> None:
        entry = slot[1]
        if failure is leases.Failure.fenced:
            self.fenced.update({slot} & self.grants.keys())
        else:
            self.reach.note_failure(entry.owner)
        self.log.failed('grant', entry, entry.owner, failure)


def _nothing() -> None:
    """Stands for nobody who listens."""


def _held(former: owners.FormerOwner, now: float) -> leased.Hold:
    entry = former.entry
    until = leased.lease_end(now, former.seconds)
    return leased.Hold(
        entry.first,
        entry.last,
        entry.owner,
        entry.fence,
        until,
    )
