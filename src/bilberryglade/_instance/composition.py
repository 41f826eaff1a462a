"""The composition root: wires the parts of one entry instance."""

import asyncio
import contextlib
import signal
import typing
import uuid
from collections import abc

import aiosonic
import loguru
import result
import uvicorn
from aiosonic import connectors, pools
from starlette import applications

from bilberryglade._callers import application as callers
from bilberryglade._delivery import delivery, dispatcher, peer_handlers
from bilberryglade._instance import duties
from bilberryglade._listing import list_client
from bilberryglade._log import (
    follower,
    knowledge,
    log_client,
    log_duties,
    peer_handlers as log_handlers,
    recorder,
    relay,
    snapshots,
)
from bilberryglade._membership import (
    heartbeats,
    peer_handlers as membership_handlers,
)
from bilberryglade._ownership import leases
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
    log_handlers,
)


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> abc.Iterator[None]:
        yield


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
            connectors.TCPConnector(pool_configs={':default': pool}),
        )
        platform = config['platform']
        timings = config['timings']
        self.log = log_client.LogClient(platform['log_url'], self.http)
        self.snapshots = snapshots.SnapshotStream(self.log, name)
        self.reader = follower.Follower(
            self.log,
            timings['log_wait_ms'],
            self.snapshots,
        )
        self.writer = recorder.Recorder(self.log, self.reader)
        self.targets = client.TargetClient(
            client.Limits(
                connections=CONNECTIONS_TO_TARGETS,
                answer_bytes=config['limits']['body_bytes'],
            ),
        )
        self.granter = leases.Leases(
            name,
            self.reader,
            self.targets,
            timings,
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
        self.dispatcher = dispatcher.Dispatcher(
            self.targets,
            self.granter.may_dispatch,
            config['limits']['queue_length'],
        )
        self.reader.listeners.append(self.dispatcher.observe)
        self.delivery = delivery.Delivery(
            name,
            self.reader,
            self.granter,
            self.dispatcher,
            self.peers,
        )
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
        self.snapshot_writer = log_duties.SnapshotWriter(
            name,
            self.reader,
            self.snapshots,
        )
        listing = list_client.ListClient(platform['list_url'], self.http)
        self.cold_start = log_duties.ColdStart(
            name,
            self.reader,
            listing,
            self.relay,
        )
        self.duties = duties.Duties(
            name,
            config['failure_domain'],
            self.reader,
            self.writer,
            listing,
        )
        self.front = callers.CallerFront(self.reader, self.delivery, config)
        self.rejected_messages = 0

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT."""
        self.peers.open()
        background = [
            asyncio.create_task(loop)
            for loop in (
                self.reader.follow(),
                self.granter.renew(),
                self.duties.perform(),
                self.heartbeats.beat(),
                self.snapshot_writer.perform(),
                self._receive(),
                self._join(),
            )
        ]
        await self.cold_start.wait_until_ready()
        server = _server(
            callers.application(self.front),
            self.config['listen']['callers'],
        )
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, _stop, server)
        await server.serve()
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        self.peers.close()
        await self.targets.close()

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
        joined = await self.writer.commit(record, JOIN_SECONDS)
        while isinstance(joined, result.Err):
            joined = await self.writer.commit(record, JOIN_SECONDS)
        self.reader.require(joined.ok_value.offset)
        loguru.logger.info('joined: {}', joined)

    async def _receive(self) -> None:
        while True:
            received = await self.peers.receive()
            if isinstance(received, result.Err):
                self.rejected_messages += 1
                continue
            received.ok_value.handler.handle(self, received.ok_value.message)


def _stop(server: uvicorn.Server) -> None:
    server.should_exit = True


def _server(
    application: applications.Starlette,
    address: str,
) -> uvicorn.Server:
    host, port = address.split(':')
    config = uvicorn.Config(
        application,
        host=host,
        port=int(port),
        log_level='error',
        access_log=False,
        lifespan='off',
    )
    return _Server(config)
