"""The composition root: wires the parts of one entry instance."""

import typing
import uuid

import aiosonic
import result
from aiosonic import connectors, pools

from bilberryglade._admin import application as admin
from bilberryglade._callers import application as callers
from bilberryglade._delivery import (
    at_most_once,
    crash_watch,
    delivery,
    dispatcher,
    peer_handlers,
    tenures,
)
from bilberryglade._http import resolver
from bilberryglade._instance import duties, list_watch, observation, stopping
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
    holdings_tracker,
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


class Parts:
    """All parts of one entry instance, wired to one another."""

    def __init__(self, config: settings.InstanceSettings) -> None:
        """Wires the parts; nothing runs yet."""
        self.config = config
        self.name = config['instance']
        self.boot = uuid.uuid4().hex
        self.stopper = stopping.Stopper()
        self._wire_log()
        self._wire_targets()
        self._wire_peers()
        self._wire_ownership()
        self._wire_dispatch()
        self._wire_delivery()
        self._wire_relay()
        self._wire_duties()
        self._wire_limits()
        self._wire_fronts()

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

    async def join(self) -> None:
        """Appends the join until it is accepted, or a stop is asked for."""
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

    def _wire_log(self) -> None:
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
        platform = self.config['platform']
        self.log = log_client.LogClient(platform['log_url'], self.http)
        self.listing = list_client.ListClient(platform['list_url'], self.http)
        self.reader = follower.Follower(
            self.log,
            self.config['timings']['log_wait_ms'],
        )
        self.writer = recorder.Recorder(self.log, self.reader)

    def _wire_targets(self) -> None:
        self.targets = client.TargetClient(
            client.Limits(
                connections=CONNECTIONS_TO_TARGETS,
                answer_bytes=self.config['limits']['body_bytes'],
            ),
        )

    def _wire_peers(self) -> None:
        self.peers = network.PeerNetwork(
            self.config['listen']['peers'],
            self.config['peers'],
            self.config['limits']['peer_queue_length'],
        )
        self.heartbeats = heartbeats.Heartbeats(
            self.name,
            self.boot,
            self.reader,
            self.peers,
            self.config['timings'],
        )

    def _wire_ownership(self) -> None:
        self.keeper = holdings_tracker.HoldingsTracker(
            self.reader, self.heartbeats
        )
        self.prober = probes.Prober(self.targets.sender)
        self.granter = leases.LeaseGranter(
            self.keeper, self.targets, self.prober
        )
        self.releases = releases.ReleaseExchange(
            self.keeper,
            self.granter,
            self.peers,
        )
        self.reader.listeners.append(self.keeper.handle_state)

    def _wire_dispatch(self) -> None:
        self.dispatcher = dispatcher.Dispatcher(
            self.targets,
            self.granter.dispatch_fence,
            self.config['limits']['queue_length'],
        )
        self.granter.running_slots = self.dispatcher.running_slots
        self.reader.listeners.append(self.dispatcher.observe)

    def _wire_delivery(self) -> None:
        self.named = at_most_once.AtMostOnceExecutor(
            self.name,
            self.log,
            tenures.Tenures(self.name, self.reader, self.granter),
        )
        self.reader.listeners.append(self.named.observe)
        self.watch = crash_watch.CrashWatch(
            self.name,
            self.reader,
            self.writer,
            self.targets,
            self.peers,
        )
        self.reader.listeners.append(self.watch.observe)
        self.delivery = delivery.Delivery(
            self.name,
            self.reader,
            self.granter,
            self.dispatcher,
            self.peers,
            self.named,
            self.watch,
        )
        self.reader.listeners.append(self.delivery.forwarder.observe)

    def _wire_relay(self) -> None:
        timings = self.config['timings']
        self.relay = relay.Relay(
            self.name,
            self.config['listen']['peers'],
            self.reader,
            self.peers,
            timings['drift_permille'],
        )
        self.heartbeats.listeners.append(self.relay.hear)
        self.knowledge = knowledge.Knowledge(
            self.name,
            self.reader,
            self.heartbeats,
            timings,
        )
        self.snapshot_writer = log_duties.SnapshotWriter(
            self.name,
            self.reader,
        )
        self.cold_start = log_duties.ColdStart(
            self.name,
            self.reader,
            self.listing,
            self.relay,
        )

    def _wire_duties(self) -> None:
        watcher = expulsion.Expulsion(
            self.keeper.facts,
            self.heartbeats,
            self.writer,
            self.join,
        )
        self.duties = duties.Duties(
            self.config['failure_domain'],
            self.keeper,
            self.prober,
            self.writer,
            self.listing,
            watcher,
        )
        self.list_watch = list_watch.ListWatch(
            self.config['failure_domain'],
            self.heartbeats,
            self.writer,
            self.listing,
        )

    def _wire_limits(self) -> None:
        timings = self.config['timings']
        self.confirmed = authority.ConfirmedAuthority(
            self.knowledge,
            timings['authority_ms'],
        )
        self.quotas = quotas.Quotas(
            policies.Fleet(
                instance=self.name,
                boot=self.boot,
                reader=self.reader,
                peers=self.peers,
                timings=timings,
                authority=self.confirmed,
            ),
        )
        self.reader.listeners.append(self.quotas.follow)

    def _wire_fronts(self) -> None:
        self.observation = observation.Observation(
            readings.Parts(
                self.name,
                self.reader,
                self.dispatcher,
                self.delivery,
                self.peers,
                self.is_ready,
                self.log_case,
            ),
        )
        self.front = callers.CallerFront(
            self.reader,
            self.delivery,
            self.quotas,
            self.confirmed,
            self.config,
        )
        self.admin_front = admin.AdminFront(
            self.operations_context(),
            admin.Probes(self.is_ready, self.observation.metrics.scrape),
        )
