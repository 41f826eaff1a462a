"""The parts of one entry instance on the platform, and how they run."""

import asyncio
import signal
import typing
import uuid
from collections import abc

import loguru
import result
from starlette import applications, requests, responses, routing

from bilberryglade._admission import gate
from bilberryglade._capacity import handover, learning, policies
from bilberryglade._delivery import (
    crash_records,
    crash_storage,
    permit_broker,
    permit_handlers,
    permits,
    request_sender,
    router,
)
from bilberryglade._instance import announcing, serving
from bilberryglade._knowledge import (
    departures,
    operators,
    peer_handlers,
    reading,
    topics,
)
from bilberryglade._limits import desks, pools
from bilberryglade._membership import candidacy, enrolment, fleet
from bilberryglade._observability import (
    exchange_counts,
    peer_traffic,
    periodic,
    rollout_counts,
    store_calls,
)
from bilberryglade._ownership import key_loads, lease_manager, table_manager
from bilberryglade._peers import network
from bilberryglade._rollouts import (
    exposure,
    key_plans,
    manager,
    peer_handlers as rollout_handlers,
)
from bilberryglade._routing import catalogue
from bilberryglade._targets import directory, sender
from bilberryglade._values import clock, site
from bilberryglade.platform import exchange, folds, front, orders, store

#: Connections to the store and to all targets, of each class.
STORE_CONNECTIONS: typing.Final = 16
TARGET_CONNECTIONS: typing.Final = 256
#: Connections for orders: those under way, and an idle one to each target.
ORDER_CONNECTIONS: typing.Final = 256
CALLER_CONNECTIONS: typing.Final = 3000
STORE_ANSWER_BYTES: typing.Final = 16_777_216
#: Longest answer of a target that is taken in.
ANSWER_BYTES: typing.Final = 16_777_216
#: Longest answer to an order; targets send headers alone.
ORDER_ANSWER_BYTES: typing.Final = 65_536
#: Targets of the platform close idle connections after 10 s.
TARGET_IDLE_MS: typing.Final = 7000
PEER_QUEUE: typing.Final = 2000
READY_STATUS: typing.Final = 200
UNREADY_STATUS: typing.Final = 503
METRICS_PORT: typing.Final = 9464
HOUSEKEEPING_SECONDS: typing.Final = 0.25
#: Seconds after the signal in which new requests are still taken: the
#: balancer looks once a second and needs two misses.
NOTICE_SECONDS: typing.Final = 2.6
#: Seconds before the end of the stop's time at which the last requests are
#: answered, and the most that this may be of it.
STOP_MARGIN_SECONDS: typing.Final = 0.9
STOP_MARGIN_PART: typing.Final = 0.15
#: Seconds for the last answers to go out.
FLUSH_SECONDS: typing.Final = 0.3
REGISTERED: typing.Final = (
    peer_handlers,
    permit_handlers,
    rollout_handlers,
    handover,
    learning,
    folds,
)
#: Name of the contract by which versions are looked at.
ROLLOUT: typing.Final = 'rollout'


class Parts:
    """All parts of one entry instance on the platform."""

    def __init__(
        self,
        place: site.Site,
        known: enrolment.Known,
        client: store.StoreClient,
    ) -> None:
        """Wires the parts; nothing runs yet."""
        self.place = place
        self.stopping = asyncio.Event()
        self.peers = network.PeerNetwork(
            place.peer_address,
            {
                'public_key': known.keys['public_key'],
                'secret_key': known.keys['secret_key'],
            },
            PEER_QUEUE,
        )
        own = fleet.Member(
            place.instance,
            uuid.uuid4().hex,
            place.peer_address,
            place.failure_domain,
            processor=place.processor,
            link_mbps=place.link_mbps,
        )
        self.fleet = fleet.Fleet(own, self.peers, known.members)
        self.candidacy = candidacy.Candidacy(self.fleet, client)
        self.enrolment = enrolment.Enrolment(
            self.fleet, client, self.candidacy, known.keys
        )
        self.reader = reading.Reader(
            self.fleet, client, self.candidacy, place.bounds.drain
        )
        self.operators = operators.Operators(self.reader)
        self.departures = departures.Departures(
            self.fleet, self.reader, self.candidacy, place.bounds.drain
        )
        self.targets = sender.Sender(
            TARGET_CONNECTIONS, ANSWER_BYTES, TARGET_IDLE_MS
        )
        order_sender = sender.Sender(
            ORDER_CONNECTIONS, ORDER_ANSWER_BYTES, TARGET_IDLE_MS
        )
        self.load_sum = key_loads.LoadSum()
        self.steward = table_manager.TableManager(
            self.fleet,
            self.candidacy,
            client,
            self.reader,
            lease_manager.LeaseManager(
                self.candidacy,
                orders.Orders(order_sender),
                self.reader,
                place.bounds.longest_lease,
            ),
            self.load_sum,
        )
        self.crashes = crash_records.CrashRecords(
            self.fleet,
            self.candidacy,
            crash_storage.CrashStorage(client, enrolment.KEYS_TOPIC),
            crash_storage.suspicions_in(known.records),
        )
        self.announcer = announcing.Announcer(
            self.fleet,
            self.candidacy,
            self.operators,
            self.departures,
            self.steward,
            self.crashes,
        )
        self._wire_rollouts(client)
        self._wire_requests()
        client.eras.on_rise.append(self.crashes.restore)
        self.exchanges.watch_store(client.eras)

    def instances(self) -> int:
        """Returns how many instances share limits."""
        return len(self.fleet.members)

    def organisations(self) -> dict[str, catalogue.Organisation]:
        """Returns the organisations of the configuration in force."""
        known = self.reader.known.catalogue
        return {} if known is None else known.organisations

    def caller_bounds(self) -> catalogue.CallerBounds:
        """Returns the bounds on what callers send."""
        known = self.reader.known.catalogue
        return (
            catalogue.CallerBounds() if known is None else known.caller_bounds
        )

    def cold_room(self, service: str) -> float:
        """Returns the requests a second that a cold target may get."""
        found = self.reader.known.service(service)
        if found is None or not found.cold_rate:
            return 0
        bounds = self.place.bounds
        return found.cold_rate * bounds.cold_factor + bounds.cold_slack

    def cold_spacing(self, service: str) -> float:
        """Returns the seconds between two requests to a cold target."""
        found = self.reader.known.service(service)
        if found is None or not found.cold_rate:
            return 0
        return 1 / found.cold_rate

    def targets_of(self, service: str, owner: str) -> list[directory.Target]:
        """Returns the owner named, or all targets of a service in use."""
        known = self.reader.known
        if not owner:
            return self.rollouts.exposure.targets(service, '')
        target = known.directory.targets.get(owner)
        return [target] if target and known.allows(target) else []

    def is_ready(self) -> bool:
        """Tells whether callers may be sent here."""
        known = self.reader.known
        return (
            not self.stopping.is_set()
            and known.catalogue is not None
            and topics.TARGETS in known.read_at
            and self.operators.is_settled()
        )

    def forget_gone(self) -> None:
        """Drops permits that have run out, and targets that have left."""
        listed = self.reader.known.directory
        self.dispatching.ledger.expire(clock.now(), directory.Lives(listed))
        self.load_sum.forget_unlisted(listed.targets)
        self.router.gate.forget_past(clock.now())

    def _wire_rollouts(self, client: store.StoreClient) -> None:
        own = exposure.Exposure(
            self.fleet, self.reader, self.place.bounds.rollback
        )
        self.rollouts = manager.Manager(
            self.candidacy,
            client,
            own,
            self.place.bounds,
            key_plans.Holders(self.steward),
        )
        self.announcer.on_greet.append(self.rollouts.greet)
        if ROLLOUT in self.place.contracts:
            own.start()
            plans = key_plans.KeyPlans(self.steward.candidates, self.rollouts)
            self.steward.plan_move = plans.plan

    def _wire_requests(self) -> None:
        self.pools = pools.Pools(self.fleet, self.candidacy, self.organisations)
        self.desks = desks.Desks(self.fleet, self.candidacy, self.pools)
        self.candidacy.on_start.extend((self.pools.begin, self.crashes.restore))
        capacity = policies.policy_for(self.place.contracts)
        self.steward.relieves_hot_owners = (
            policies.name_for(self.place.contracts) == policies.LEARNT
        )
        ledger = permits.PermitLedger(
            self.targets_of,
            self.cold_spacing,
            capacity,
            gate.for_contracts(self.place.contracts),
        )
        self.handover = handover.Handover(self.fleet, self.reader, capacity)
        self.dispatching = permit_broker.PermitBroker(self.fleet, ledger)
        target_exchange = exchange.TargetExchange(self.targets)
        self.sends = request_sender.RequestSender(
            self.reader,
            self.fleet,
            target_exchange,
            self.cold_room,
            self.dispatching,
            self.rollouts.exposure,
        )
        self.sends.capacity = capacity
        self.reporter = key_loads.Reporter(
            self.fleet,
            self.candidacy,
            self.load_sum.handle_report,
            ledger.work_seconds,
        )
        self.sends.on_answer_lost = self.crashes.check_target
        self.sends.on_answered = self.crashes.note_answer
        self.sends.on_leaving = self.departures.notice
        self.crashes.on_crash = self.sends.mark_doubtful
        self.router = router.Router(
            self.place,
            self.reader,
            self.steward,
            self.desks,
            self.sends,
            self.instances,
            self.crashes,
        )
        self.router.count_key = self.reporter.count
        self.exchanges = exchange_counts.Exchanges(self.reader, self.steward)
        self.exchanges.watch_peers(self.peers)
        calls = store_calls.StoreCalls(self.candidacy.client.calls_by_topic)
        self.exchanges.registry.register(calls)
        self.traffic = periodic.PeriodicLines(
            (peer_traffic.PeerTraffic(self.peers), calls)
        )
        if self.rollouts.exposure.is_on:
            counts = rollout_counts.RolloutCounts(self.rollouts)
            self.exchanges.registry.register(counts)
        self.exchanges.watch_orders(self.steward.lease_manager.log)
        self.exchanges.watch_headers(target_exchange.odd_headers)
        self.exchanges.watch_capacity(capacity)
        self.exchanges.watch_admission(ledger.gate)
        self.front = front.Front(
            self.router, self.exchanges.take, self.caller_bounds
        )


class Entry:
    """Runs the parts from start to planned stop."""

    def __init__(self, parts: Parts) -> None:
        """Takes wired parts."""
        self.parts = parts
        self.broken: list[BaseException] = []
        self.loops: set[asyncio.Task[None]] = set()
        #: Messages left out, by cause.
        self.rejected: dict[str, int] = {}

    async def run(self) -> None:
        """Runs until a signal asks for a stop."""
        parts = self.parts
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, parts.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, _note_reload)
        parts.peers.open()
        bounds = serving.Bounds(
            header_bytes=parts.caller_bounds().header_bytes,
            connections=CALLER_CONNECTIONS,
            arrival_seconds=parts.caller_bounds().idle_seconds,
            stop_seconds=int(parts.place.bounds.grace),
        )
        readiness = self._readiness(bounds)
        loops = (
            parts.candidacy.keep(),
            parts.enrolment.follow(),
            parts.enrolment.keep_copy(),
            parts.crashes.storage.run(),
            parts.enrolment.sweep(),
            parts.operators.follow(),
            parts.reader.follow_targets(),
            parts.steward.run(),
            parts.reporter.run(),
            parts.rollouts.run(),
            parts.rollouts.records.run(),
            parts.announcer.run(),
            self._keep_house(),
            self._receive(),
            self._read_tables(),
            *(server.serve() for server in readiness),
        )
        for coroutine in loops:
            self._start(coroutine)
        await self._serve_callers(bounds)
        for task in self.loops:
            task.cancel()
        await asyncio.gather(*self.loops, return_exceptions=True)
        parts.peers.close()
        loguru.logger.info('stopped')
        if self.broken:
            raise self.broken[0]

    def _start(self, coroutine: abc.Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self.loops.add(task)
        task.add_done_callback(self._check)

    def _check(self, task: asyncio.Task[None]) -> None:
        error = None if task.cancelled() else task.exception()
        if error is None:
            return
        loguru.logger.opt(exception=error).critical(
            'broken invariant: {!r}', error
        )
        self.broken.append(error)
        self.parts.stopping.set()

    def _readiness(self, bounds: serving.Bounds) -> list[serving.Server]:
        """Returns the servers of readiness and metrics."""
        place = self.parts.place
        application = applications.Starlette(
            routes=[
                routing.Route('/bilberryglade/readiness', self._tell_ready),
                routing.Route('/metrics', self._tell_metrics),
            ],
        )
        addresses = (place.readiness_address, f'{place.ip}:{METRICS_PORT}')
        quick = bounds._replace(stop_seconds=1)
        return [
            serving.server_for(application, address, quick)
            for address in addresses
        ]

    async def _tell_ready(self, _: requests.Request) -> responses.Response:
        status = READY_STATUS if self.parts.is_ready() else UNREADY_STATUS
        return responses.Response(status_code=status)

    async def _tell_metrics(self, _: requests.Request) -> responses.Response:
        return responses.Response(
            self.parts.exchanges.scrape(), media_type='text/plain'
        )

    async def _serve_callers(self, bounds: serving.Bounds) -> None:
        parts = self.parts
        application = serving.closing(
            front.application(parts.front), parts.stopping.is_set
        )
        server = serving.server_for(
            application, parts.place.callers_address, bounds
        )
        server.config.timeout_keep_alive = int(bounds.arrival_seconds)
        serve = asyncio.create_task(server.serve())
        loguru.logger.info('started at {}', parts.place.callers_address)
        await parts.stopping.wait()
        began = clock.now()
        grace = parts.place.bounds.grace
        ends_at = (
            began + grace - min(STOP_MARGIN_SECONDS, grace * STOP_MARGIN_PART)
        )
        parts.router.ends_at = ends_at
        loguru.logger.info('stopping, for {:g} s at most', ends_at - began)
        parts.fleet.send_all(parts.fleet.hello(is_leaving=True))
        parts.handover.send()
        await parts.candidacy.resign()
        noticed_at = min(began + NOTICE_SECONDS, ends_at)
        await asyncio.sleep(max(noticed_at - clock.now(), 0))
        server.should_exit = True
        await asyncio.wait((serve,), timeout=max(ends_at - clock.now(), 0))
        parts.front.ending.set_result(None)
        await asyncio.wait((serve,), timeout=FLUSH_SECONDS)

    async def _keep_house(self) -> None:
        while True:
            due_at = clock.now() + HOUSEKEEPING_SECONDS
            await asyncio.sleep(HOUSEKEEPING_SECONDS)
            now = clock.now()
            self.parts.exchanges.pace.take(now - due_at, now)
            self.parts.traffic.tell(now)
            self.parts.reader.expire()
            self.parts.operators.catch_up()
            self.parts.sends.drop_unlisted()
            self.parts.forget_gone()
            self.parts.departures.repeat()

    async def _read_tables(self) -> None:
        """Reads the owners of keys once, for a start without a coordinator."""
        while self.parts.steward.tables.version < 0:
            read = await self.parts.steward.read_tables()
            if isinstance(read, result.Ok):
                return
            await asyncio.sleep(1)

    async def _receive(self) -> None:
        while True:
            received = await self.parts.peers.receive()
            if isinstance(received, result.Err):
                self._note_rejected(received.err_value.cause)
                continue
            message = received.ok_value.message
            self.parts.fleet.hear(message['sender'])
            received.ok_value.handler.handle(self.parts, message)

    def _note_rejected(self, cause: str) -> None:
        """Writes a line for the first message that is left out by a cause."""
        if cause not in self.rejected:
            loguru.logger.warning('peer message left out: {}', cause)
        self.rejected[cause] = self.rejected.get(cause, 0) + 1


def _note_reload() -> None:
    loguru.logger.info('reload asked for; settings are read at the start')


async def run(place: site.Site) -> None:
    """Starts an instance at `place` and runs it until its planned stop."""
    http = sender.Sender(STORE_CONNECTIONS, STORE_ANSWER_BYTES)
    client = store.StoreClient(place.store_address, http)
    known = await enrolment.read_fleet(client)
    await Entry(Parts(place, known, client)).run()
