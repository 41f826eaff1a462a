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
    lessor,
    owners,
    planning,
    ranges,
    table_record,
    table_updates,
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
HOT_KEY_CHECK_SECONDS: typing.Final = 0.4
#: Seconds between two plans that even out the load.
BALANCE_SECONDS: typing.Final = 0.8
#: Seconds after the start of a term before load is evened out.
SETTLE_SECONDS: typing.Final = 1.0

ServiceTables: typing.TypeAlias = dict[str, ranges.Table]


class TableManager:
    """Owns the tables while this instance coordinates, else follows them."""

    def __init__(
        self,
        members: fleet.Fleet,
        lease: candidacy.Candidacy,
        client: store.StoreClient,
        reader: reading.Reader,
        leasing: lessor.Lessor,
        load_sum: key_loads.LoadSum,
    ) -> None:
        """`load_sum` has the load on keys and the speed of targets."""
        self.members = members
        self.lease = lease
        self.client = client
        self.reader = reader
        self.lease_manager = leasing
        self.load_sum = load_sum
        self.candidates = candidates.Candidates(reader, leasing, load_sum)
        self.granted = asyncio.Event()
        leasing.on_first_grant = self.granted.set
        #: Targets for which each service's table was planned last.
        self.planned_candidates: dict[str, frozenset[ranges.Owner]] = {}
        self.tables = owners.Tables()
        #: Earlier owners by the record that was read last.
        self.former_tables: dict[str, messages.FormerTable] = {}
        #: Addresses of the owners in that record.
        self.addresses: owners.Addresses = owners.NO_ADDRESSES
        #: Term of the tables; -1 if they were not taken over in this term.
        self.term = -1
        #: Epoch under which this process wrote last, and its count of writes.
        self.epoch = -1
        self.sequence = 0
        self.started_at: float = 0
        self.balanced_at: float = 0
        self.checked_at: float = 0
        self.updates = table_updates.TableUpdates(members)

    async def run(self) -> None:
        """Runs until it is cancelled."""
        while True:
            if not self.lease.holds:
                self._step_down()
            elif self.term != self.lease.term:
                await self._take_over()
            else:
                await self._round()
            await self._wait_for_next_round()

    async def read_tables(self) -> result.Result[int, stored.Failure]:
        """Reads the newest tables; returns the end of their topic."""
        newest = await self.client.newest(TOPIC)
        if isinstance(newest, result.Err):
            return newest
        for record in newest.ok_value.records:
            if record.key == KEY and record.payload is not None:
                self._apply_record(record.payload, record.offset)
        return result.Ok(newest.ok_value.end)

    def handle_assignment(self, message: messages.Assignment) -> None:
        """Takes in the tables of the coordinator."""
        if self.lease.holds:
            return
        self.tables = self.updates.handle_assignment(self.tables, message)

    def handle_lead(self, lead: messages.Lead) -> None:
        """Asks for the tables if some were missed."""
        announced = owners.Tables(lead['tables_version'], lead['tables_change'])
        if not owners.is_newer(announced, self.tables):
            return
        self.updates.request_full_tables(lead['sender'])

    def assignment_message(self) -> messages.Assignment:
        """Returns the tables as a message."""
        return owners.to_message(self.tables, self.members.own.name)

    def _apply_record(self, payload: bytes, offset: int) -> None:
        decoded = codec.decode_packed(payload, messages.Assignment).and_then(
            owners.validate
        )
        if isinstance(decoded, result.Err):
            loguru.logger.error('tables at offset {} unreadable', offset)
            return
        read_tables = owners.from_message(decoded.ok_value, offset)
        self.tables = owners.newer(self.tables, read_tables)
        self.former_tables = decoded.ok_value.get('former', {})
        self.addresses = owners.addresses_of(decoded.ok_value)

    async def _wait_for_next_round(self) -> None:
        """Waits for the next round, which the grant of a range brings on."""
        try:
            async with asyncio.timeout(TICK_SECONDS):
                await self.granted.wait()
        except TimeoutError:
            # Nothing new; the round looks for what time has changed.
            return
        self.granted.clear()

    def _step_down(self) -> None:
        if self.term >= 0:
            self.term = -1
            self.lease_manager.stop()

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
        self.former_tables = {}
        end = await self.read_tables()
        if isinstance(end, result.Err) or end.ok_value < fenced.ok_value:
            await asyncio.sleep(RETRY_SECONDS)
            return
        if term != self.lease.term:
            # Others may have written since then.
            return
        longest_seconds = (
            self.lease_manager.longest_lease + orders.GRANT_SECONDS
        )
        self.lease_manager.begin(
            {
                service: (
                    *(
                        _as_former_owner(owned, longest_seconds)
                        for owned in entries
                    ),
                    *owners.from_former_table(self.former_tables.get(service)),
                )
                for service, entries in self.tables.services.items()
            },
            self.addresses,
        )
        self.sequence = 0
        self.updates.begin_term()
        self.planned_candidates.clear()
        self.started_at = clock.now()
        self.term = term
        self._increment_change()
        loguru.logger.info(
            'tables taken over: term {} version {}', term, self.tables.version
        )

    async def _round(self) -> None:
        self.lease_manager.forget_ended()
        new_tables = self._plan_tables(clock.now())
        if new_tables is not None and not await self._publish(new_tables):
            return
        self.lease_manager.start_orders(self._configured_tables())
        self.lease_manager.reach.look(
            self.lease_manager.target_of, self.candidates.health_path
        )
        self._mark_granted(clock.now())
        self.updates.announce(self.tables)

    def _configured_tables(self) -> owners.Tables:
        """Returns the tables of services whose keys have owners now."""
        services = {
            service: self.tables.services[service]
            for service in self.candidates.services()
            if service in self.tables.services
        }
        return self.tables._replace(services=services)

    def _plan_tables(self, now: float) -> ServiceTables | None:
        """Returns the tables that are wanted, or None if these are."""
        is_balance_due = (
            now - self.started_at > SETTLE_SECONDS
            and now - self.balanced_at > BALANCE_SECONDS
        )
        if is_balance_due:
            self.balanced_at = now
        is_check_due = (
            is_balance_due or now - self.checked_at > HOT_KEY_CHECK_SECONDS
        )
        if is_check_due:
            self.checked_at = now
        # A record without a service would hide who may hold its keys.
        planned: ServiceTables = {
            service: self._with_reset_fences(service)
            for service in self.tables.services
        }
        is_changed = bool(self.lease_manager.fenced)
        for service in self.candidates.services():
            targets = self.candidates.targets(
                service, owners.owners_of(self.tables, service), now
            )
            incarnations = candidates.incarnations_of(targets)
            if not is_check_due and incarnations == self.planned_candidates.get(
                service
            ):
                continue
            self.planned_candidates[service] = incarnations
            service_plan = self._plan_service(
                service, targets, may_balance=is_balance_due
            )
            planned[service] = service_plan.table
            is_changed = is_changed or service_plan.is_changed
        return planned if is_changed else None

    def _plan_service(
        self,
        service: str,
        targets: abc.Sequence[directory.Target],
        *,
        may_balance: bool,
    ) -> planning.Plan:
        loads = self.load_sum.loads(service)
        weighted = self.candidates.weigh(targets, loads, clock.now())
        before = self._with_reset_fences(service)
        planned = planning.plan(
            before,
            weighted,
            loads,
            may_balance=may_balance,
            moving=owners.moving_ranges(self.tables, service),
        )
        if planned.is_changed:
            _log_plan(service, before, planned.table, weighted, loads)
        return planned

    def _with_reset_fences(self, service: str) -> ranges.Table:
        owned = self.tables.services.get(service, ())
        return tuple(
            entry.entry._replace(fence=ranges.NEW_FENCE)
            if (service, entry.entry) in self.lease_manager.fenced
            else entry.entry
            for entry in owned
        )

    async def _publish(self, new_tables: ServiceTables) -> bool:
        """Appends the tables; returns whether they stand in the store.

        Ranges that they end are ordered no more before the record is made: it
        tells a successor who may hold what.
        """
        self.lease_manager.keep_only(
            frozenset(
                (service, entry)
                for service, table in new_tables.items()
                for entry in table
            )
        )
        message = self._build_record(new_tables)
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

    def _build_record(self, new_tables: ServiceTables) -> messages.Assignment:
        former = {
            service: self.lease_manager.former(service, table)
            for service, table in new_tables.items()
        }
        return table_record.written(
            new_tables,
            self.tables,
            former,
            self.lease_manager.addresses.all(),
            self.members.own.name,
        )

    def _put_in_force(self, message: messages.Assignment, offset: int) -> None:
        before = owners.service_ranges(self.tables)
        self.tables = owners.from_message(message, offset)
        after = owners.service_ranges(self.tables)
        self.lease_manager.keep_only(after)
        for service, entry in sorted(after - before):
            loguru.logger.info(
                'keys {}-{} of {} to {} fence {}',
                entry.first,
                entry.last,
                service,
                entry.owner.target,
                entry.fence,
            )
        self._increment_change()

    def _mark_granted(self, now: float) -> None:
        """Tells routing which ranges were granted."""
        services = {
            service: tuple(
                owned._replace(
                    is_moving=owned.is_moving
                    and not self.lease_manager.is_granted(
                        (service, owned.entry), now
                    )
                )
                for owned in entries
            )
            for service, entries in self.tables.services.items()
        }
        if services != self.tables.services:
            self.tables = self.tables._replace(services=services)
            self._increment_change()

    def _increment_change(self) -> None:
        self.tables = self.tables._replace(change=self.tables.change + 1)


def _as_former_owner(
    owned: owners.OwnedRange, longest_seconds: float
) -> owners.FormerOwner:
    """Returns an owner, whose last renewal may still be on its way."""
    return owners.FormerOwner(owned.entry, longest_seconds)


def _log_plan(
    service: str,
    before: ranges.Table,
    after: ranges.Table,
    weighted: abc.Sequence[ranges.Candidate],
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
        len(weighted),
        sum(loads.values()),
        sum(candidate.rate for candidate in weighted),
    )
