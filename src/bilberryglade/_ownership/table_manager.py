"""Manages the tables of key owners: takeover, planning, storage, announcement.

Every step can be repeated: after a lost answer, a lost coordinator or a frozen
target, the next round continues from the stored record and the known leases.
"""

import asyncio
import typing
from collections import abc

import loguru
import result

from bilberryglade._codec import codec
from bilberryglade._era import recall
from bilberryglade._knowledge import reading
from bilberryglade._membership import candidacy, fleet
from bilberryglade._ownership import (
    candidates,
    key_loads,
    lease_manager,
    owners,
    planning,
    ranges,
    table_record,
    table_updates,
)
from bilberryglade._targets import directory
from bilberryglade._values import clock, stored
from bilberryglade.platform import store
from bilberryglade_schema import fleet as messages

TOPIC: typing.Final = 'assignment'
KEY: typing.Final = 'tables'
WRITER: typing.Final = 'coordinator'
#: Pause before a failed request to the store is repeated.
RETRY_SECONDS: typing.Final = 0.3
#: Longest pause between two rounds of the coordinator.
TICK_SECONDS: typing.Final = 0.1
#: Seconds between two checks for a key that has become hot.
HOT_KEY_CHECK_SECONDS: typing.Final = 0.4
#: Seconds between two plans that balance the load of the targets.
BALANCE_SECONDS: typing.Final = 0.8
#: Seconds after the start of a term before the load is balanced.
SETTLE_SECONDS: typing.Final = 1.0

#: Tables of key ranges by service.
ServiceTables: typing.TypeAlias = dict[str, ranges.Table]
#: Called with a service, its targets, the tables in force and its table.
PlanMove: typing.TypeAlias = abc.Callable[
    [str, abc.Sequence[directory.Target], owners.Tables, ranges.Table],
    planning.Plan | None,
]


class TableManager:
    """Manages the tables of key owners.

    While this instance is the coordinator it plans and publishes the tables;
    otherwise it follows the coordinator's.
    """

    def __init__(
        self,
        members: fleet.Fleet,
        lease: candidacy.Candidacy,
        client: store.StoreClient,
        reader: reading.Reader,
        leasing: lease_manager.LeaseManager,
        load_sum: key_loads.LoadSum,
    ) -> None:
        """`load_sum` provides the load on keys and the speed of targets."""
        self.members = members
        self.lease = lease
        self.client = client
        self.reader = reader
        self.lease_manager = leasing
        self.load_sum = load_sum
        self.candidates = candidates.Candidates(reader, leasing, load_sum)
        self.recall = recall.Recall(members, leasing)
        #: Set when a range is granted to its owner for the first time.
        self.granted = asyncio.Event()
        leasing.on_first_grant = self.granted.set
        #: Candidates for which each service's table was planned last.
        self.planned_candidates: dict[str, frozenset[ranges.Owner]] = {}
        self.tables = owners.Tables()
        #: The tables in the record read last, which may be older.
        self.stored_tables = owners.Tables()
        #: Earlier owners by service, as listed in the record read last.
        self.former_tables: dict[str, messages.FormerTable] = {}
        #: Addresses of the owners in the record read last.
        self.addresses: owners.Addresses = owners.NO_ADDRESSES
        #: Term in which the tables were taken over; -1 if a takeover is due
        #: before the next write.
        self.term = -1
        #: Epoch of this process's last takeover; all its writes carry it.
        self.epoch = -1
        #: Sequence number of the last write since the takeover.
        self.sequence = 0
        #: Tenure of the coordinator's lease in which the tables were taken over.
        self.tenure = -1
        self.started_at: float = 0
        self.balanced_at: float = 0
        self.checked_at: float = 0
        self.updates = table_updates.TableUpdates(members)
        #: Whether other keys leave the owner of a key that fills its places.
        self.relieves_hot_owners = False
        #: Plans a service whose targets are replaced by others; None if the
        #: usual plan holds.
        self.plan_move: PlanMove = lambda *_: None

    async def run(self) -> None:
        """Takes the tables over and runs rounds while coordinator, until cancelled."""
        while True:
            if not self.lease.holds:
                self._step_down()
            elif self.term != self.lease.term:
                await self._take_over()
            else:
                await self._round()
            await self._wait_for_next_round()

    async def read_tables(self) -> result.Result[int, stored.Failure]:
        """Reads the newest stored tables; returns the end offset of the topic."""
        newest = await self.client.newest(TOPIC)
        if isinstance(newest, result.Err):
            return newest
        for record in newest.ok_value.records:
            if record.key == KEY and record.payload is not None:
                self._apply_record(record.payload, record.offset)
        return result.Ok(newest.ok_value.end)

    def handle_assignment(self, message: messages.Assignment) -> None:
        """Applies tables that the coordinator sent."""
        if self.lease.holds:
            return
        self.tables = self.updates.handle_assignment(self.tables, message)

    def handle_lead(self, lead: messages.Lead) -> None:
        """Requests the full tables if the coordinator's are newer."""
        announced = owners.Tables(lead['tables_version'], lead['tables_change'])
        if not owners.is_newer(announced, self.tables):
            return
        self.updates.request_full_tables(lead['sender'])

    def assignment_message(self) -> messages.Assignment:
        """Returns the full tables as a message to another instance."""
        return owners.to_message(self.tables, self.members.own.name)

    def _apply_record(self, payload: bytes, offset: int) -> None:
        decoded = codec.decode_packed(payload, messages.Assignment).and_then(
            owners.validate
        )
        if isinstance(decoded, result.Err):
            loguru.logger.error(
                'tables at offset {} are invalid; record ignored', offset
            )
            return
        version = recall.version_of(decoded.ok_value, offset)
        self.stored_tables = owners.from_message(decoded.ok_value, version)
        self.tables = owners.newer(self.tables, self.stored_tables)
        self.former_tables = decoded.ok_value.get('former', {})
        self.addresses = owners.addresses_of(decoded.ok_value)

    async def _wait_for_next_round(self) -> None:
        """Waits for the next round; the first grant of a range starts it early."""
        try:
            async with asyncio.timeout(TICK_SECONDS):
                await self.granted.wait()
        except TimeoutError:
            # The round runs anyway: timers may be due and targets may have
            # changed.
            return
        self.granted.clear()

    def _step_down(self) -> None:
        """Stops lease orders when this instance is no longer coordinator."""
        if self.term >= 0:
            self.term = -1
            self.lease_manager.stop()

    async def _take_over(self) -> None:
        """Fences off earlier writers, then reads the tables that they wrote.

        Every takeover uses a new epoch, also within one term. Sequence numbers
        restart at each takeover; under the old epoch the store would reject
        them, or answer them as repeats without storing anything.
        """
        term = self.lease.term
        epoch = self.lease.state.newest + 1
        if epoch <= self.epoch:
            # The next renewal of the coordinator's claim provides a new epoch.
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
        remembered = await self.recall.remember(
            stored.era_of(epoch),
            (self.tables, self.stored_tables),
            # Nobody else has coordinated since this tenure began.
            is_own=self.tenure == self.lease.state.tenure,
        )
        if term != self.lease.term or not self.lease.holds:
            # Another coordinator may have written in between.
            return
        self._start_term(remembered)
        self.sequence = 0
        self.updates.begin_term()
        self.planned_candidates.clear()
        self.started_at = clock.now()
        self.term = term
        self.tenure = self.lease.state.tenure
        self.tables = table_updates.next_change(self.tables)
        loguru.logger.info(
            'tables taken over: term {} version {}', term, self.tables.version
        )

    def _start_term(self, remembered: recall.Recalled | None) -> None:
        """Starts a term with all leases that targets may hold.

        Where tables were lost, all ranges get new fences: those of this era are
        above all that were given in the one before.
        """
        seconds = recall.longest_seconds(self.lease_manager)
        earlier = [
            {
                service: [_as_former_owner(owned, seconds) for owned in entries]
                for service, entries in self.tables.services.items()
            },
            recall.former_in(self.former_tables),
        ]
        if remembered is None:
            self.lease_manager.start_term(
                recall.merged(earlier), self.addresses
            )
            return
        self.lease_manager.start_term(
            recall.merged((*earlier, remembered.former)),
            {**remembered.addresses, **self.addresses},
        )
        if not remembered.is_complete:
            self.lease_manager.unlisted = (
                recall.anybody(seconds, clock.now()),
            )
        self.tables = remembered.tables
        self.lease_manager.stale_fences = set(
            owners.service_ranges(self.tables)
        )

    async def _round(self) -> None:
        """Plans and publishes tables, orders leases and announces changes."""
        self.lease_manager.drop_ended_leases()
        new_tables = self._plan_tables(clock.now())
        if new_tables is not None and not await self._publish(new_tables):
            return
        self.lease_manager.start_orders(self._configured_tables())
        self.lease_manager.reachability.start_due_probes(
            self.lease_manager.target_of, self.candidates.health_path
        )
        self._mark_granted(clock.now())
        self.updates.announce(self.tables)

    def _configured_tables(self) -> owners.Tables:
        """Returns the tables of services that are configured with key owners."""
        services = {
            service: self.tables.services[service]
            for service in self.candidates.services()
            if service in self.tables.services
        }
        return self.tables._replace(services=services)

    def _plan_tables(self, now: float) -> ServiceTables | None:
        """Returns the new tables, or None if the current ones are to stay."""
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
        # Tables of unconfigured services stay in the record: without them a
        # later coordinator could not tell which targets may hold the keys.
        planned: ServiceTables = {
            service: self._with_reset_fences(service)
            for service in self.tables.services
        }
        is_changed = bool(self.lease_manager.stale_fences)
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
        planned = self.plan_move(
            service, targets, self.tables, before
        ) or planning.plan(
            before,
            weighted,
            loads,
            may_balance=may_balance,
            moving=owners.moving_ranges(self.tables, service),
            relieves_hot_owners=self.relieves_hot_owners,
        )
        if planned.is_changed:
            _log_plan(service, before, planned.table, weighted, loads)
        return planned

    def _with_reset_fences(self, service: str) -> ranges.Table:
        """Returns a service's table; ranges that need a new fence have none.

        They get one from the offset of the record that is written next.
        """
        owned = self.tables.services.get(service, ())
        return tuple(
            entry.entry._replace(fence=ranges.NEW_FENCE)
            if (service, entry.entry) in self.lease_manager.stale_fences
            else entry.entry
            for entry in owned
        )

    async def _publish(self, new_tables: ServiceTables) -> bool:
        """Appends the tables; returns whether the store has them.

        Orders for ranges that the new tables drop are stopped before the record
        is built: the record lists the targets that may hold keys, for a later
        coordinator, and must not miss a lease ordered after it.
        """
        self.lease_manager.retain_ranges(
            frozenset(
                (service, entry)
                for service, table in new_tables.items()
                for entry in table
            )
        )
        message = self._build_record(new_tables)
        era = stored.era_of(self.epoch)
        if era:
            message['era'] = era
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
            # Retries with the same sequence number, which the store applies
            # only once.
            await asyncio.sleep(RETRY_SECONDS)
        return False

    def _build_record(self, new_tables: ServiceTables) -> messages.Assignment:
        former = {
            service: self.lease_manager.former_owners(service, table)
            for service, table in new_tables.items()
        }
        return table_record.to_record(
            new_tables,
            self.tables,
            former,
            self.lease_manager.addresses.all_addresses(),
            self.members.own.name,
        )

    def _put_in_force(self, message: messages.Assignment, offset: int) -> None:
        """Makes stored tables the current ones; logs each new range."""
        before = owners.service_ranges(self.tables)
        self.tables = owners.from_message(message, offset)
        after = owners.service_ranges(self.tables)
        self.lease_manager.retain_ranges(after)
        for service, entry in sorted(after - before):
            loguru.logger.info(
                'keys {}-{} of {} to {} fence {}',
                entry.first,
                entry.last,
                service,
                entry.owner.target,
                entry.fence,
            )
        self.tables = table_updates.next_change(self.tables)

    def _mark_granted(self, now: float) -> None:
        """Clears `is_moving` of the ranges that their owners were granted.

        Routing reads the tables and sends requests on granted ranges.
        """
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
            self.tables = table_updates.next_change(self.tables)


def _as_former_owner(
    owned: owners.OwnedRange, longest_seconds: float
) -> owners.FormerOwner:
    """Returns an owner as a former owner; a lease renewal may be in flight."""
    return owners.FormerOwner(owned.entry, longest_seconds)


def _log_plan(
    service: str,
    before: ranges.Table,
    after: ranges.Table,
    weighted: abc.Sequence[ranges.Candidate],
    loads: ranges.Loads,
) -> None:
    """Logs what a plan changes, with the total load and speed of the targets."""
    loguru.logger.info(
        'plan of {}: {} keys change owner, {} of {} owners stay, '
        '{} candidates, load {:.0f} requests/s of capacity {:.0f}',
        service,
        ranges.keys_moved(before, after),
        len(ranges.owners_in(before) & ranges.owners_in(after)),
        len(ranges.owners_in(before)),
        len(weighted),
        sum(loads.values()),
        sum(candidate.rate for candidate in weighted),
    )
