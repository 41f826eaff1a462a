"""The coordinator's work on the tables: takes over, plans, publishes, tells.

Every step is repeatable: a lost answer, a lost coordinator or a frozen target
leaves records and holds from which the next round goes on.
"""

import asyncio
import typing
from collections import abc

import loguru
import result

from bilberryglade._codec import codec
from bilberryglade._knowledge import reading
from bilberryglade._membership import candidacy, fleet
from bilberryglade._ownership import (
    candidates,
    key_loads,
    lease_manager,
    owners,
    planning,
    ranges,
    table_news,
    table_record,
)
from bilberryglade._targets import directory
from bilberryglade._values import clock, stored
from bilberryglade.platform import orders, store
from bilberryglade_schema import fleet as messages

TOPIC: typing.Final = 'assignment'
KEY: typing.Final = 'tables'
WRITER: typing.Final = 'coordinator'
RETRY_SECONDS: typing.Final = 0.3
TICK_SECONDS: typing.Final = 0.1
#: Seconds between two looks for a key that has turned hot.
LOOK_SECONDS: typing.Final = 0.4
#: Seconds between two plans that even out the load.
BALANCE_SECONDS: typing.Final = 0.8
#: Seconds after the start of a term before load is evened out.
SETTLE_SECONDS: typing.Final = 1.0

Wanted: typing.TypeAlias = dict[str, ranges.Table]


class Steward:
    """Owns the tables while this instance coordinates, else follows them."""

    def __init__(
        self,
        members: fleet.Fleet,
        lease: candidacy.Candidacy,
        client: store.StoreClient,
        reader: reading.Reader,
        leasing: lease_manager.LeaseManager,
        load_sum: key_loads.LoadSum,
    ) -> None:
        """`load_sum` has the load on keys and the speed of targets."""
        self.members = members
        self.lease = lease
        self.client = client
        self.reader = reader
        self.lessor = leasing
        self.load_sum = load_sum
        self.candidates = candidates.Candidates(reader, leasing, load_sum)
        self.granted = asyncio.Event()
        leasing.on_first_grant = self.granted.set
        #: Targets for which each service's table was planned last.
        self.planned: dict[str, frozenset[ranges.Owner]] = {}
        self.tables = owners.Tables()
        #: Earlier owners by the record that was read last.
        self.former: dict[str, messages.FormerTable] = {}
        #: Addresses of the owners in that record.
        self.addresses: owners.Addresses = owners.NO_ADDRESSES
        #: Term of the tables; -1 if they were not taken over in this term.
        self.term = -1
        #: Epoch under which this process wrote last, and its count of writes.
        self.epoch = -1
        self.sequence = 0
        self.started_at: float = 0
        self.balanced_at: float = 0
        self.looked_at: float = 0
        self.news = table_news.TableNews(members)

    async def keep(self) -> None:
        """Runs until it is cancelled."""
        while True:
            if not self.lease.holds:
                self._pause()
            elif self.term != self.lease.term:
                await self._take_over()
            else:
                await self._round()
            await self._wait_for_news()

    async def read_tables(self) -> result.Result[int, stored.Failure]:
        """Reads the newest tables; returns the end of their topic."""
        newest = await self.client.newest(TOPIC)
        if isinstance(newest, result.Err):
            return newest
        for record in newest.ok_value.records:
            if record.key == KEY and record.payload is not None:
                self._take_record(record.payload, record.offset)
        return result.Ok(newest.ok_value.end)

    def hear(self, message: messages.Assignment) -> None:
        """Takes in the tables of the coordinator."""
        if self.lease.holds:
            return
        self.tables = self.news.take(self.tables, message)

    def hear_lead(self, lead: messages.Lead) -> None:
        """Asks for the tables if some were missed."""
        told = owners.Tables(lead['tables_version'], lead['tables_change'])
        if not owners.is_newer(told, self.tables):
            return
        self.news.ask(lead['sender'])

    def message(self) -> messages.Assignment:
        """Returns the tables as a message."""
        return owners.to_message(self.tables, self.members.own.name)

    def _take_record(self, payload: bytes, offset: int) -> None:
        decoded = codec.decode_packed(payload, messages.Assignment).and_then(
            owners.sound
        )
        if isinstance(decoded, result.Err):
            loguru.logger.error('tables at offset {} unreadable', offset)
            return
        read = owners.from_message(decoded.ok_value, offset)
        self.tables = owners.newer(self.tables, read)
        self.former = decoded.ok_value.get('former', {})
        self.addresses = owners.addresses_of(decoded.ok_value)

    async def _wait_for_news(self) -> None:
        """Waits for the next round, which the grant of a range brings on."""
        try:
            async with asyncio.timeout(TICK_SECONDS):
                await self.granted.wait()
        except TimeoutError:
            # Nothing new; the round looks for what time has changed.
            return
        self.granted.clear()

    def _pause(self) -> None:
        if self.term >= 0:
            self.term = -1
            self.lessor.stop()

    async def _take_over(self) -> None:
        """Fences off earlier writers, then reads what they wrote.

        Each time takes an epoch of its own, also within one term: under an
        earlier one the store would refuse the numbers that begin anew, or
        answer them as repeats without storing anything.
        """
        term = self.lease.term
        epoch = self.lease.state.newest + 1
        if epoch <= self.epoch:
            # The next renewal of the claim brings a new one.
            await asyncio.sleep(RETRY_SECONDS)
            return
        fenced = await self.client.fence(TOPIC, WRITER, epoch)
        if isinstance(fenced, result.Err):
            await asyncio.sleep(RETRY_SECONDS)
            return
        self.epoch = epoch
        self.former = {}
        end = await self.read_tables()
        if isinstance(end, result.Err) or end.ok_value < fenced.ok_value:
            await asyncio.sleep(RETRY_SECONDS)
            return
        if term != self.lease.term:
            # Others may have written since then.
            return
        longest = self.lessor.max_lease_seconds + orders.GRANT_SECONDS
        self.lessor.start_term(
            {
                service: (
                    *(_owning(owned, longest) for owned in entries),
                    *owners.former_of(self.former.get(service)),
                )
                for service, entries in self.tables.services.items()
            },
            self.addresses,
        )
        self.sequence = 0
        self.news.begin()
        self.planned.clear()
        self.started_at = clock.now()
        self.term = term
        self._change_told()
        loguru.logger.info(
            'tables taken over: term {} version {}', term, self.tables.version
        )

    async def _round(self) -> None:
        self.lessor.drop_ended_leases()
        wanted = self._wanted(clock.now())
        if wanted is not None and not await self._publish(wanted):
            return
        self.lessor.start_orders(self._configured())
        self.lessor.reachability.start_due_probes(
            self.lessor.target_of, self.candidates.health_path
        )
        self._mark_granted(clock.now())
        self.news.tell(self.tables)

    def _configured(self) -> owners.Tables:
        """Returns the tables of services whose keys have owners now."""
        services = {
            service: self.tables.services[service]
            for service in self.candidates.services()
            if service in self.tables.services
        }
        return self.tables._replace(services=services)

    def _wanted(self, now: float) -> Wanted | None:
        """Returns the tables that are wanted, or None if these are."""
        balances = (
            now - self.started_at > SETTLE_SECONDS
            and now - self.balanced_at > BALANCE_SECONDS
        )
        if balances:
            self.balanced_at = now
        looks = balances or now - self.looked_at > LOOK_SECONDS
        if looks:
            self.looked_at = now
        # A record without a service would hide who may hold its keys.
        wanted: Wanted = {
            service: self._refenced(service) for service in self.tables.services
        }
        is_changed = bool(self.lessor.stale_fences)
        for service in self.candidates.services():
            targets = self.candidates.targets(
                service, owners.owners_of(self.tables, service), now
            )
            lives = candidates.lives_of(targets)
            if not looks and lives == self.planned.get(service):
                continue
            self.planned[service] = lives
            planned = self._plan(service, targets, may_balance=balances)
            wanted[service] = planned.table
            is_changed = is_changed or planned.is_changed
        return wanted if is_changed else None

    def _plan(
        self,
        service: str,
        targets: abc.Sequence[directory.Target],
        *,
        may_balance: bool,
    ) -> planning.Plan:
        loads = self.load_sum.loads(service)
        weighed = self.candidates.weigh(targets, loads, clock.now())
        before = self._refenced(service)
        planned = planning.plan(
            before,
            weighed,
            loads,
            may_balance=may_balance,
            moving=owners.moving(self.tables, service),
        )
        if planned.is_changed:
            _note_plan(service, before, planned.table, weighed, loads)
        return planned

    def _refenced(self, service: str) -> ranges.Table:
        owned = self.tables.services.get(service, ())
        return tuple(
            entry.entry._replace(fence=ranges.NEW_FENCE)
            if (service, entry.entry) in self.lessor.stale_fences
            else entry.entry
            for entry in owned
        )

    async def _publish(self, wanted: Wanted) -> bool:
        """Appends the tables; returns whether they stand in the store.

        Ranges that they end are ordered no more before the record is made: it
        tells a successor who may hold what.
        """
        self.lessor.retain_ranges(
            frozenset(
                (service, entry)
                for service, table in wanted.items()
                for entry in table
            )
        )
        message = self._record(wanted)
        payload = codec.encode_packed(message)
        self.sequence += 1
        condition = stored.Condition(
            writer=WRITER, epoch=self.epoch, sequence=self.sequence
        )
        while self.lease.holds:
            appended = await self.client.append(TOPIC, KEY, payload, condition)
            if isinstance(appended, result.Ok):
                self._put_in_force(message, appended.ok_value)
                return True
            if appended.err_value is stored.Failure.conflict:
                self.term = -1
                return False
            # The same number again: the store carries it out once.
            await asyncio.sleep(RETRY_SECONDS)
        return False

    def _record(self, wanted: Wanted) -> messages.Assignment:
        former = {
            service: self.lessor.former_owners(service, table)
            for service, table in wanted.items()
        }
        return table_record.to_record(
            wanted,
            self.tables,
            former,
            self.lessor.addresses.all_addresses(),
            self.members.own.name,
        )

    def _put_in_force(self, message: messages.Assignment, offset: int) -> None:
        before = owners.slots(self.tables)
        self.tables = owners.from_message(message, offset)
        after = owners.slots(self.tables)
        self.lessor.retain_ranges(after)
        for service, entry in sorted(after - before):
            loguru.logger.info(
                'keys {}-{} of {} to {} fence {}',
                entry.first,
                entry.last,
                service,
                entry.owner.target,
                entry.fence,
            )
        self._change_told()

    def _mark_granted(self, now: float) -> None:
        """Tells routing which ranges were granted."""
        services = {
            service: tuple(
                owned._replace(
                    is_moving=owned.is_moving
                    and not self.lessor.is_granted((service, owned.entry), now)
                )
                for owned in entries
            )
            for service, entries in self.tables.services.items()
        }
        if services != self.tables.services:
            self.tables = self.tables._replace(services=services)
            self._change_told()

    def _change_told(self) -> None:
        self.tables = self.tables._replace(change=self.tables.change + 1)


def _owning(owned: owners.Owned, longest: float) -> owners.Former:
    """Returns an owner, whose last renewal may still be on its way."""
    return owners.Former(owned.entry, longest)


def _note_plan(
    service: str,
    before: ranges.Table,
    after: ranges.Table,
    weighed: abc.Sequence[ranges.Candidate],
    loads: ranges.Loads,
) -> None:
    """Writes what a plan changes, and the load and speeds behind it."""
    loguru.logger.info(
        'plan of {}: {} keys change hands, {} of {} owners stay, '
        '{} may own, {:.0f} requests/s of {:.0f}',
        service,
        ranges.keys_moved(before, after),
        len(ranges.owners_in(before) & ranges.owners_in(after)),
        len(ranges.owners_in(before)),
        len(weighed),
        sum(loads.values()),
        sum(candidate.rate for candidate in weighed),
    )
