"""The composition root: wires the parts of one entry instance."""

import asyncio
import typing
import uuid

import aiosonic
import result
from aiosonic import connectors, pools

from bilberryglade._admin import application as admin
from bilberryglade._callers import application as callers
from bilberryglade._delivery import (
    crash_watch,
    delivery,
    dispatcher,
    once,
    peer_handlers,
    tenures,
)
from bilberryglade._http import resolver
from bilberryglade._instance import duties, observation, serving, stopping
from bilberryglade._limits import (
    authority,
    peer_handlers as limit_handlers,
    policies,
    quotas,
)
from bilberryglade._listing import list_client
from bilberryglade._log import (
    follower,
    knowledge,
    log_client,
    log_duties,
    peer_handlers as log_handlers,
    recorder,
    relay,
)
from bilberryglade._membership import (
    expulsion,
    heartbeats,
    peer_handlers as membership_handlers,
)
from bilberryglade._observability import readings
from bilberryglade._operations import operations
from bilberryglade._ownership import (
    holder,
    leases,
    peer_handlers as ownership_handlers,
    probes,
    releases,
)
from bilberryglade._peers import network
from bilberryglade._state import (
    folding,
    ownership_folds,
    rule_folds,
    topology_folds,
)
from bilberryglade._targets import client
from bilberryglade_schema import settings

CONNECTIONS_PER_HOST: typing.Final = 130
#: Shorter than servers usually keep idle connections.
CONNECTION_IDLE_MS: typing.Final = 1000
CONNECTIONS_TO_TARGETS: typing.Final = 1024
JOIN_SECONDS: typing.Final = 10.0
ADMIN_STOP_SECONDS: typing.Final = 1
#: A peer that hears nothing declares this instance lost.
LEAVE_SECONDS: typing.Final = 1.0
#: Peers go on forwarding until they have folded the leave.
HANDOVER_SECONDS: typing.Final = 0.3
#: Answers to peers leave the sockets' queues.
FLUSH_SECONDS: typing.Final = 0.1
REGISTERED: typing.Final = (
    ownership_folds,
    rule_folds,
    topology_folds,
    peer_handlers,
    membership_handlers,
    ownership_handlers,
    limit_handlers,
    log_handlers,
)


class Node:
    """All parts of one entry instance."""

    def __init__(self, config: settings.InstanceSettings) -> None:
        """Wires the parts; nothing runs yet."""
        self.config = config
        self.boot = uuid.uuid4().hex
        name = config['instance']
        pool = pools.PoolConfig(
            size=CONNECTIONS_PER_HOST,
            max_conn_idle_ms=CONNECTION_IDLE_MS,
        )
        self.http = aiosonic.HTTPClient(
            connectors.TCPConnector(
                pool_configs={':default': pool},
                resolver=resolver.IpResolver(),
            ),
        )
        platform = config['platform']
        timings = config['timings']
        self.log = log_client.LogClient(platform['log_url'], self.http)
        self.reader = follower.Follower(
            self.log,
            timings['log_wait_ms'],
        )
        self.writer = recorder.Recorder(self.log, self.reader)
        self.targets = client.TargetClient(
            client.Limits(
                connections=CONNECTIONS_TO_TARGETS,
                answer_bytes=config['limits']['body_bytes'],
            ),
        )
        self.peers = network.PeerNetwork(
            config['listen']['peers'],
            config['peers'],
            config['limits']['peer_queue_length'],
        )
        self.heartbeats = heartbeats.Heartbeats(
            name,
            self.boot,
            self.reader,
            self.peers,
            timings,
        )
        keeper = holder.Holder(self.reader, self.heartbeats)
        prober = probes.Prober(self.targets.fresh)
        self.granter = leases.Leases(keeper, self.targets, prober)
        self.releases = releases.Releases(
            keeper,
            self.granter,
            self.peers,
        )
        self.reader.listeners.append(keeper.take_view)
        self.dispatcher = dispatcher.Dispatcher(
            self.targets,
            self.granter.may_dispatch,
            config['limits']['queue_length'],
        )
        self.granter.running = self.dispatcher.running_slots
        self.reader.listeners.append(self.dispatcher.observe)
        self.named = once.Once(
            name,
            self.log,
            tenures.Tenures(name, self.reader, self.granter),
        )
        self.reader.listeners.append(self.named.observe)
        self.watch = crash_watch.CrashWatch(
            name,
            self.reader,
            self.writer,
            self.targets,
            self.peers,
        )
        self.reader.listeners.append(self.watch.observe)
        self.delivery = delivery.Delivery(
            name,
            self.reader,
            self.granter,
            self.dispatcher,
            self.peers,
            self.named,
            self.watch,
        )
        watcher = expulsion.Expulsion(
            keeper.facts,
            self.heartbeats,
            self.writer,
            self._join,
        )
        self.reader.listeners.append(self.delivery.forwards.observe)
        self.relay = relay.Relay(
            name,
            config['listen']['peers'],
            self.reader,
            self.peers,
            timings['drift_permille'],
        )
        self.heartbeats.listeners.append(self.relay.hear)
        self.knowledge = knowledge.Knowledge(
            name,
            self.reader,
            self.heartbeats,
            timings,
        )
        self.snapshot_writer = log_duties.SnapshotWriter(name, self.reader)
        listing = list_client.ListClient(platform['list_url'], self.http)
        self.cold_start = log_duties.ColdStart(
            name,
            self.reader,
            listing,
            self.relay,
        )
        self.duties = duties.Duties(
            config['failure_domain'],
            keeper,
            prober,
            self.writer,
            listing,
            watcher,
        )
        self.stopper = stopping.Stopper()
        self.observation = observation.Observation(
            readings.Parts(
                name,
                self.reader,
                self.dispatcher,
                self.delivery,
                self.peers,
                self.is_ready,
                self.log_case,
            ),
        )
        confirmed = authority.ConfirmedAuthority(
            self.knowledge,
            config['timings']['authority_ms'],
        )
        self.quotas = quotas.Quotas(
            policies.Fleet(
                instance=name,
                boot=self.boot,
                reader=self.reader,
                peers=self.peers,
                timings=timings,
                authority=confirmed,
            ),
        )
        self.reader.listeners.append(self.quotas.follow)
        self.front = callers.CallerFront(
            self.reader,
            self.delivery,
            self.quotas,
            confirmed,
            config,
        )
        self.admin_front = admin.AdminFront(
            self.operations_context(),
            admin.Probes(self.is_ready, self.observation.metrics.scrape),
        )

    def is_ready(self) -> bool:
        """Tells whether callers may be sent here.

        The record of the join was appended after the start and read back from
        the fold, so everything before it has been folded too. While the log
        is down, the newest state of peers takes its place. A process that
        another one of its name has replaced is not ready any more.
        """
        if self.stopper.is_requested or not self.reader.is_ready:
            return False
        if self.reader.known.ready_offset is None:
            return True
        member = self.reader.view.members.get(self.config['instance'])
        return member is not None and member.boot == self.boot

    def log_case(self) -> str:
        """Names the case that the log is in for this instance."""
        return self.knowledge.case()

    def operations_context(self) -> operations.Context:
        """Returns the parts that operators' operations act on."""
        return operations.Context(
            config=self.config,
            reader=self.reader,
            writer=self.writer,
            log=self.log,
            heartbeats=self.heartbeats,
            is_ready=self.is_ready,
            log_case=self.log_case,
        )

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then stops as planned."""
        self.stopper.install()
        self.peers.open()
        bounds = serving.bounds_of(self.config)
        admin_server = serving.server_for(
            admin.application(self.admin_front),
            self.config['listen']['admin'],
            bounds._replace(stop_seconds=ADMIN_STOP_SECONDS),
        )
        background = [
            asyncio.create_task(loop)
            for loop in (
                self.reader.follow(),
                self.granter.renew(),
                self.releases.ask(),
                self.duties.perform(),
                self.heartbeats.beat(),
                self.named.follow(),
                self.observation.watch(),
                self.quotas.keep(),
                self.snapshot_writer.perform(),
                self.cold_start.wait_until_ready(),
                self._receive(),
                self._join(),
                admin_server.serve(),
            )
        ]
        await self._serve_callers(bounds)
        await self._leave(bounds.stop_seconds)
        admin_server.should_exit = True
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        self.peers.close()
        await self.targets.close()

    async def _serve_callers(self, bounds: serving.Bounds) -> None:
        application = callers.application(
            self.front,
            self.observation.meter.take,
        )
        server = serving.server_for(
            serving.closing(application, lambda: self.stopper.is_requested),
            self.config['listen']['callers'],
            bounds,
        )
        await stopping.wait_until(self._may_listen, float('inf'))
        serve = asyncio.create_task(server.serve())
        await self.stopper.requested.wait()
        await asyncio.sleep(serving.notice_seconds(self.config))
        server.should_exit = True
        await serve

    def _may_listen(self) -> bool:
        return self.is_ready() or self.stopper.is_requested

    async def _join(self) -> None:
        listen = self.config['listen']
        record: folding.Record = {
            'id': recorder.new_record_id(),
            'kind': 'instance_joined',
            'instance': self.config['instance'],
            'boot': self.boot,
            'failure_domain': self.config['failure_domain'],
            'peer_address': listen['peers'],
            'admin_address': listen['admin'],
        }
        while not self.stopper.is_requested:
            joined = await self.writer.commit(record, JOIN_SECONDS)
            if isinstance(joined, result.Ok):
                self.reader.require(joined.ok_value.offset)
                return

    async def _leave(self, seconds: int) -> None:
        """Gives up every role, then lets forwarded requests end.

        No vote is given from before the record on, so that its readers can
        count on it; successors then have time to ask for releases.
        """
        self.heartbeats.is_silent = True
        member = self.reader.view.members.get(self.config['instance'])
        if member is not None and member.boot == self.boot:
            record = stopping.leave_record(member)
            await self.writer.commit(record, LEAVE_SECONDS)
        await asyncio.sleep(HANDOVER_SECONDS)
        await stopping.wait_until(self.dispatcher.is_idle, seconds)
        await asyncio.sleep(FLUSH_SECONDS)

    async def _receive(self) -> None:
        while True:
            received = await self.peers.receive()
            if isinstance(received, result.Err):
                self.observation.take_rejected(received.err_value.cause)
                continue
            message = received.ok_value.message
            self.observation.take_message(message['kind'])
            received.ok_value.handler.handle(self, message)
