"""The coordinator's work on keys: plans, moves and renews leases.

Every step is repeatable: a lost answer, a lost coordinator or a frozen target
leaves records and holds from which the next round goes on.
"""

import asyncio
import functools
import typing
from collections import abc

import loguru
import result

from bilberryglade._codec import codec
from bilberryglade._knowledge import reading
from bilberryglade._membership import candidacy, fleet
from bilberryglade._ownership import holds as leased, owners, planning, ranges
from bilberryglade._targets import directory
from bilberryglade._values import clock, leases, stored
from bilberryglade.platform import orders, store
from bilberryglade_schema import fleet as messages

TOPIC: typing.Final = 'keyed.assignment'
KEY: typing.Final = 'tables'
WRITER: typing.Final = 'coordinator'
#: Seconds of a usual lease: a lost coordinator is replaced, and its leases
#: are renewed, before they end.
LEASE_SECONDS: typing.Final = 4.5
RENEWAL_SECONDS: typing.Final = 1.0
#: Seconds without the store's word from which leases are made as long as
#: targets accept, so that they outlast an outage.
STORE_SILENCE_SECONDS: typing.Final = 1.2
#: Longest wait for the end of the work on released keys.
RELEASE_SECONDS: typing.Final = 1.5
RETRY_SECONDS: typing.Final = 0.3
TICK_SECONDS: typing.Final = 0.1
#: Seconds between two plans that even out the load.
BALANCE_SECONDS: typing.Final = 1.0
#: Seconds after the start of a term before load is evened out.
SETTLE_SECONDS: typing.Final = 2.0
#: Seconds between messages that repeat the tables.
REPEAT_SECONDS: typing.Final = 2.0
#: Seconds without any confirmed order after which a target is passed over.
UNREACHABLE_SECONDS: typing.Final = 1.5
#: Seconds after which such a target is tried again.
PASSED_OVER_SECONDS: typing.Final = 6.0

Slot: typing.TypeAlias = tuple[str, ranges.Range]


class Grant(typing.NamedTuple):
    """How far a range's lease is."""

    #: Seconds until which a confirmed lease holds; 0 if none was confirmed.
    until: float = 0
    #: Seconds at which the next order is due.
    due: float = 0


class Steward:
    """Owns the tables while this instance coordinates."""

    def __init__(
        self,
        members: fleet.Fleet,
        lease: candidacy.Candidacy,
        client: store.StoreClient,
        target_orders: orders.Orders,
        reader: reading.Reader,
        longest_lease: float,
    ) -> None:
        """Knows no tables."""
        self.members = members
        self.lease = lease
        self.client = client
        self.orders = target_orders
        self.reader = reader
        self.longest_lease = longest_lease
        self.tables = owners.Tables()
        self.holds: dict[str, tuple[leased.Hold, ...]] = {}
        self.grants: dict[Slot, Grant] = {}
        self.busy: dict[Slot, asyncio.Task[None]] = {}
        #: Requests a second by service and block, from all instances.
        self.loads: abc.Callable[[str], ranges.Loads] = lambda service: {}
        #: Ranges that need a new fence, since a target saw a higher one.
        self.fenced: set[Slot] = set()
        #: Where each life of a target was reached last.
        self.addresses: dict[ranges.Owner, str] = {}
        #: Earlier owners by the record that was read last.
        self.former: dict[str, list[messages.OwnedRange]] = {}
        #: Seconds from which no order to a life of a target was confirmed.
        self.failing_since: dict[ranges.Owner, float] = {}
        #: Term of the tables; -1 if they were not taken over in this term.
        self.term = -1
        self.sequence = 0
        self.started_at = 0.0
        self.balanced_at = 0.0
        self.told_at = 0.0
        self.is_told = True
        self.moves = 0

    async def keep(self) -> None:
        """Runs until it is cancelled."""
        while True:
            if not self.lease.holds:
                self._pause()
            elif self.term != self.lease.term:
                await self._take_over()
            else:
                await self._round()
            await asyncio.sleep(TICK_SECONDS)

    async def read_tables(self) -> result.Result[int, stored.Failure]:
        """Reads the newest tables; returns the end of their topic."""
        newest = await self.client.newest(TOPIC)
        if isinstance(newest, result.Err):
            return newest
        for record in newest.ok_value.records:
            if record.key != KEY or record.payload is None:
                continue
            decoded = codec.decode_packed(record.payload, messages.Assignment)
            if isinstance(decoded, result.Err):
                loguru.logger.error('tables at {} unreadable', record.offset)
                continue
            read = owners.from_message(decoded.ok_value, record.offset)
            self.tables = owners.newer(self.tables, read)
            self.former = decoded.ok_value.get('former', {})
        return result.Ok(newest.ok_value.end)

    def hear(self, message: messages.Assignment) -> None:
        """Takes in the tables of the coordinator."""
        if self.lease.holds:
            return
        heard = owners.from_message(message, message['version'])
        self.tables = owners.newer(self.tables, heard)

    def message(self) -> messages.Assignment:
        """Returns the tables as a message."""
        return owners.to_message(self.tables, self.members.own.name)

    def _pause(self) -> None:
        if self.term < 0:
            return
        self.term = -1
        for task in self.busy.values():
            task.cancel()
        self.busy.clear()
        self.grants.clear()

    async def _take_over(self) -> None:
        """Fences off earlier coordinators, then reads what they wrote."""
        term = self.lease.term
        fenced = await self.client.fence(TOPIC, WRITER, term + 1)
        if isinstance(fenced, result.Err):
            await asyncio.sleep(RETRY_SECONDS)
            return
        self.former = {}
        end = await self.read_tables()
        if isinstance(end, result.Err) or end.ok_value < fenced.ok_value:
            await asyncio.sleep(RETRY_SECONDS)
            return
        now = clock.now()
        until = leased.lease_end(now, self.longest_lease)
        self.holds = {
            service: (
                *(_held(owned.entry, until) for owned in entries),
                *(
                    _held(former, until)
                    for former in _former(self.former.get(service, []))
                ),
            )
            for service, entries in self.tables.services.items()
        }
        self.grants.clear()
        self.fenced.clear()
        self.failing_since.clear()
        self.sequence = 0
        self.started_at = now
        self.term = term
        self._change_told()
        loguru.logger.info(
            'tables taken over: term {} version {}', term, self.tables.version
        )

    async def _round(self) -> None:
        services = self._services()
        now = clock.now()
        self._forget_ended(now)
        wanted = self._wanted(services, now)
        if wanted is not None and not await self._publish(wanted):
            return
        self._start_orders()
        self._mark_active(clock.now())
        if not self.is_told or now - self.told_at > REPEAT_SECONDS:
            self.told_at = now
            self.is_told = True
            self.members.send_all(self.message())

    def _services(self) -> list[str]:
        catalogue = self.reader.known.catalogue
        if catalogue is None:
            return []
        return [
            service.name
            for service in catalogue.services.values()
            if service.is_partitioned
        ]

    def _lives(self) -> dict[str, int]:
        targets = self.reader.known.directory.targets
        return {target.name: target.born for target in targets.values()}

    def _candidates(self, service: str) -> list[ranges.Candidate]:
        known = self.reader.known
        now = clock.now()
        chosen = [
            target
            for target in known.directory.targets.values()
            if target.service == service
            and not target.is_draining
            and not known.is_out(target.failure_domain)
            and not self._is_unreachable(target, now)
        ]
        return [
            ranges.Candidate(owner_of(target), float(target.places))
            for target in sorted(chosen, key=_place)
        ]

    def _is_unreachable(self, target: directory.Target, now: float) -> bool:
        owner = owner_of(target)
        since = self.failing_since.get(owner)
        if since is None or now - since <= UNREACHABLE_SECONDS:
            return False
        if now - since > PASSED_OVER_SECONDS:
            self.failing_since.pop(owner)
            return False
        return True

    def _wanted(
        self,
        services: list[str],
        now: float,
    ) -> dict[str, ranges.Table] | None:
        """Returns the tables that are wanted, or None if these are."""
        balances = (
            now - self.started_at > SETTLE_SECONDS
            and now - self.balanced_at > BALANCE_SECONDS
            and not self._is_moving()
        )
        if balances:
            self.balanced_at = now
        wanted: dict[str, ranges.Table] = {}
        is_changed = bool(self.fenced)
        for service in services:
            planned = planning.plan(
                self._refenced(service),
                self._candidates(service),
                self.loads(service),
                may_balance=balances,
            )
            wanted[service] = planned.table
            is_changed = is_changed or planned.is_changed
        return wanted if is_changed else None

    def _refenced(self, service: str) -> ranges.Table:
        owned = self.tables.services.get(service, ())
        return tuple(
            entry.entry._replace(fence=ranges.NEW_FENCE)
            if (service, entry.entry) in self.fenced
            else entry.entry
            for entry in owned
        )

    def _is_moving(self) -> bool:
        return any(
            owned.is_moving
            for entries in self.tables.services.values()
            for owned in entries
        )

    async def _publish(self, wanted: dict[str, ranges.Table]) -> bool:
        """Appends the tables; returns whether they stand in the store."""
        known = {
            (service, owned.entry): owned.is_moving
            for service, entries in self.tables.services.items()
            for owned in entries
        }
        message = owners.to_message(
            owners.Tables(
                version=0,
                change=0,
                services={
                    service: tuple(
                        owners.Owned(
                            entry,
                            known.get((service, entry), _is_new(entry)),
                        )
                        for entry in table
                    )
                    for service, table in wanted.items()
                },
            ),
            self.members.own.name,
        )
        message['former'] = self._former_of(wanted)
        self.sequence += 1
        payload = codec.encode_packed(message)
        while self.lease.holds:
            appended = await self.client.append(
                TOPIC,
                KEY,
                payload,
                stored.Condition(
                    writer=WRITER, epoch=self.term + 1, sequence=self.sequence
                ),
            )
            if isinstance(appended, result.Ok):
                self._put_in_force(message, appended.ok_value)
                return True
            if appended.err_value is stored.Failure.conflict:
                self.term = -1
                return False
            # The same number again: the store carries it out once.
            await asyncio.sleep(RETRY_SECONDS)
        return False

    def _put_in_force(self, message: messages.Assignment, offset: int) -> None:
        before = {
            (service, owned.entry)
            for service, entries in self.tables.services.items()
            for owned in entries
        }
        self.tables = owners.from_message(message, offset)
        after = {
            (service, owned.entry)
            for service, entries in self.tables.services.items()
            for owned in entries
        }
        self.fenced.clear()
        self.grants = {
            slot: grant for slot, grant in self.grants.items() if slot in after
        }
        for service, entry in sorted(after - before):
            self.moves += 1
            loguru.logger.info(
                'keys {}-{} of {} to {} fence {}',
                entry.first,
                entry.last,
                service,
                entry.owner.target,
                entry.fence,
            )
        self._change_told()

    def _former_of(
        self,
        wanted: dict[str, ranges.Table],
    ) -> dict[str, list[messages.OwnedRange]]:
        now = clock.now()
        lives = self._lives()
        former: dict[str, list[messages.OwnedRange]] = {}
        for service, table in wanted.items():
            known = self.holds.get(service, ())
            blocking = {
                hold
                for entry in table
                for hold in leased.in_the_way(known, entry, lives, now)
            }
            former[service] = [
                {
                    'first': hold.first,
                    'last': hold.last,
                    'target': hold.owner.target,
                    'born': hold.owner.born,
                    'fence': hold.fence,
                }
                for hold in blocking
            ]
        return former

    def _forget_ended(self, now: float) -> None:
        lives = self._lives()
        self.holds = {
            service: leased.without_ended(known, lives, now)
            for service, known in self.holds.items()
        }

    def _start_orders(self) -> None:
        now = clock.now()
        for service, entries in self.tables.services.items():
            for owned in entries:
                slot = (service, owned.entry)
                grant = self.grants.get(slot, Grant())
                if slot in self.busy or grant.due > now:
                    continue
                task = asyncio.create_task(self._serve(service, owned.entry))
                self.busy[slot] = task
                task.add_done_callback(functools.partial(self._end, slot))

    def _end(self, slot: Slot, task: asyncio.Task[None]) -> None:
        if self.busy.get(slot) is task:
            self.busy.pop(slot)
        if not task.cancelled():
            task.result()

    async def _serve(self, service: str, entry: ranges.Range) -> None:
        """Clears a range of other holders, then grants or renews it."""
        slot = (service, entry)
        self.grants[slot] = self.grants.get(slot, Grant())._replace(
            due=clock.now() + RETRY_SECONDS
        )
        target = self._target_of(entry.owner)
        blocking = leased.in_the_way(
            self.holds.get(service, ()), entry, self._lives(), clock.now()
        )
        if blocking:
            await asyncio.gather(
                *(self._release(service, hold, entry) for hold in blocking)
            )
            blocking = leased.in_the_way(
                self.holds.get(service, ()), entry, self._lives(), clock.now()
            )
        if blocking or target is None or not self.lease.holds:
            return
        await self._grant(service, entry, target.address)

    async def _release(
        self,
        service: str,
        hold: leased.Hold,
        entry: ranges.Range,
    ) -> None:
        if hold.is_released:
            return
        target = self._target_of(hold.owner)
        address = self.addresses.get(hold.owner)
        if target is not None:
            address = target.address
        if address is None:
            return
        lease = leases.Lease(
            first=max(hold.first, entry.first),
            last=min(hold.last, entry.last),
            fence=entry.fence,
        )
        answer = await self.orders.release(address, lease, RELEASE_SECONDS)
        if isinstance(answer, result.Err):
            loguru.logger.info(
                'release of {}-{} by {} not confirmed: {}',
                lease.first,
                lease.last,
                hold.owner.target,
                answer.err_value,
            )
            return
        known = self.holds.get(service, ())
        current = _current(known, hold)
        if current is not None:
            self.holds[service] = leased.released(
                known, current, entry, answer.ok_value
            )

    async def _grant(
        self,
        service: str,
        entry: ranges.Range,
        address: str,
    ) -> None:
        slot = (service, entry)
        self.addresses[entry.owner] = address
        seconds = self._lease_seconds()
        sent_at = clock.now()
        known = self.holds.get(service, ())
        self.holds[service] = leased.ordered(
            known, entry, leased.lease_end(sent_at, seconds)
        )
        lease = leases.Lease(
            entry.first,
            entry.last,
            entry.fence,
            seconds,
            self._handover(service, entry),
        )
        answer = await self.orders.grant(address, lease)
        if isinstance(answer, result.Ok):
            self.holds[service] = leased.confirmed(
                self.holds[service], entry, _doubt(known, entry)
            )
            self.failing_since.pop(entry.owner, None)
            self.grants[slot] = Grant(
                sent_at + seconds, sent_at + RENEWAL_SECONDS
            )
            return
        self.failing_since.setdefault(entry.owner, sent_at)
        if answer.err_value is leases.Failure.unreachable:
            self.holds[service] = leased.withdrawn(
                self.holds[service], known, entry
            )
        if answer.err_value is leases.Failure.fenced:
            self.fenced.add(slot)
        loguru.logger.info(
            'grant of {}-{} to {} not confirmed: {}',
            entry.first,
            entry.last,
            entry.owner.target,
            answer.err_value,
        )

    def _lease_seconds(self) -> float:
        """Returns a longer lease while the store does not answer."""
        silence = clock.now() - self.lease.confirmed_at
        if silence > STORE_SILENCE_SECONDS:
            return self.longest_lease
        return LEASE_SECONDS

    def _handover(self, service: str, entry: ranges.Range) -> str:
        """Returns the word of the one owner that released these keys."""
        words = {
            hold.handover
            for hold in self.holds.get(service, ())
            if hold.is_released
            and hold.first <= entry.first
            and hold.last >= entry.last
        }
        return words.pop() if len(words) == 1 else ''

    def _target_of(self, owner: ranges.Owner) -> directory.Target | None:
        target = self.reader.known.directory.targets.get(owner.target)
        if target is None or target.born != owner.born:
            return None
        return target

    def _mark_active(self, now: float) -> None:
        """Tells routing which ranges were granted."""
        services = {
            service: tuple(
                owned._replace(
                    is_moving=owned.is_moving
                    and self.grants.get((service, owned.entry), Grant()).until
                    <= now
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
        self.is_told = False


def owner_of(target: directory.Target) -> ranges.Owner:
    """Returns the life of a target that may own keys."""
    return ranges.Owner(target.name, target.born)


def _place(target: directory.Target) -> tuple[str, str]:
    return (target.failure_domain, target.name)


def _is_new(entry: ranges.Range) -> bool:
    return entry.fence == ranges.NEW_FENCE


def _held(entry: ranges.Range, until: float) -> leased.Hold:
    return leased.Hold(
        entry.first, entry.last, entry.owner, entry.fence, until
    )


def _former(entries: list[messages.OwnedRange]) -> list[ranges.Range]:
    return [
        ranges.Range(
            entry['first'],
            entry['last'],
            ranges.Owner(entry['target'], entry['born']),
            entry['fence'],
        )
        for entry in entries
    ]


def _doubt(known: tuple[leased.Hold, ...], entry: ranges.Range) -> float:
    """Returns until when unanswered orders before this one may count."""
    return max(
        (
            hold.unanswered_until
            for hold in known
            if hold.owner == entry.owner
            and hold.first <= entry.last
            and hold.last >= entry.first
        ),
        default=0.0,
    )


def _current(
    known: tuple[leased.Hold, ...],
    hold: leased.Hold,
) -> leased.Hold | None:
    """Returns what became of `hold` while its release was on its way."""
    for other in known:
        same_keys = (other.first, other.last) == (hold.first, hold.last)
        if same_keys and other.owner == hold.owner and not other.is_released:
            return other
    return None
