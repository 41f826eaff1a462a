"""Entry instances with a store and targets, in one process on loopback."""

import asyncio
import copy
import itertools
import json
import os
import time
import typing

from bilberryglade._instance import entry
from bilberryglade._membership import enrolment
from bilberryglade._targets import directory, sender
from bilberryglade._values import outcomes
from bilberryglade.platform import headers, node_file, store
from bilberryglade.platform.tests import samples, servers
from bilberryglade_stand_ins import owning_target

BEAT_SECONDS: typing.Final = 0.3
#: Each deployment has addresses of its own on loopback, and so has each test
#: run on a machine: ports are the same on all instances.
NETWORKS: typing.Final = itertools.count(1)
RUN: typing.Final = 10 + os.getpid() % 200
WAIT_SECONDS: typing.Final = 10.0
CALLERS_PORT: typing.Final = 28_388
CONFIGURATION: typing.Final = samples.configuration()


class Listed(typing.NamedTuple):
    """A running target and what it writes of itself."""

    target: owning_target.OwningTarget
    running: servers.Running
    service: str
    born: int


class Deployment:
    """A store, targets and instances."""

    def __init__(self) -> None:
        """Nothing runs."""
        self.listed: dict[str, Listed] = {}
        #: Versions of targets, where they are not the first.
        self.target_versions: dict[str, str] = {}
        #: What the settings of each instance ask for.
        self.contracts: list[str] = []
        self.entries: list[entry.Entry] = []
        self.network = next(NETWORKS)
        self.tasks: list[asyncio.Task[None]] = []
        self.sequence = 0
        self.requests = 0
        self.http = sender.Sender(32, 1_000_000)

    async def start(
        self, instances: int, configuration: bytes = CONFIGURATION
    ) -> None:
        """Starts the store with a configuration, targets and instances."""
        self.store = await servers.start_store()
        self.write('keyed.op', 'config', configuration)
        for name in ('l1', 'l2'):
            await self.add_target(name, 'ledger')
        await self.add_target('c1', 'claims')
        self.tasks.append(asyncio.create_task(self._beat()))
        for number in range(instances):
            await self.add_instance(number)
        await self.until(self.is_settled)

    async def stop(self) -> None:
        """Ends everything."""
        for running in self.entries:
            running.parts.stopping.set()
        ended = await asyncio.gather(*self.tasks[1:], return_exceptions=True)
        self.tasks[0].cancel()
        for listed in self.listed.values():
            await listed.running.stop()
        await self.http.close()
        await self.store.stop()
        # An instance that broke leaves its sockets open, and their collection
        # would block whatever test runs then.
        broken = [one for one in ended if isinstance(one, BaseException)]
        assert not broken, broken

    async def add_target(self, name: str, service: str, born: int = 1) -> None:
        """Starts a target, or another life of it."""
        target = owning_target.OwningTarget(
            name, is_partitioned=service == 'ledger'
        )
        running = await servers.start(target.application())
        self.listed[name] = Listed(target, running, service, born)
        self.write_entry(name)

    async def add_instance(self, number: int) -> None:
        """Starts an instance at an address of its own."""
        ip = self.address(number)
        node: dict[str, typing.Any] = copy.deepcopy(samples.NODE_FILE)
        node['self'].update(node=f'edge-{number}', ip=ip)
        node['network']['listen'] = {
            'front': f'{ip}:{CALLERS_PORT}',
            'ready': f'{ip}:{CALLERS_PORT + 1}',
        }
        node['terms']['contracts'] = self.contracts
        store_table = node['provider']['provider']
        store_table['address'] = self.store.running.address
        place = node_file.read(json.dumps(node).encode()).unwrap()
        client = store.StoreClient(
            place.store_address, sender.Sender(8, 1_000_000)
        )
        known = await enrolment.read_fleet(client)
        running = entry.Entry(entry.Parts(place, known, client))
        self.entries.append(running)
        self.tasks.append(asyncio.create_task(running.run()))

    def address(self, number: int) -> str:
        """Returns the IP number of an instance."""
        return f'127.{RUN}.{self.network}.{number + 1}'

    def parts(self, number: int) -> entry.Parts:
        """Returns the parts of an instance."""
        return self.entries[number].parts

    def target(self, name: str) -> owning_target.OwningTarget:
        """Returns a target."""
        return self.listed[name].target

    def targets_known(self, number: int) -> directory.Directory:
        """Returns the targets as an instance knows them."""
        return self.parts(number).reader.known.directory

    def leading(self) -> int:
        """Returns the number of the instance that coordinates."""
        return next(
            number
            for number in range(len(self.entries))
            if self.parts(number).candidacy.holds
        )

    def runs(self, name: str) -> list[owning_target.Run]:
        """Returns the requests that a target has begun."""
        return self.listed[name].target.runs

    def versions(self) -> set[int]:
        """Returns the configurations in force at the instances."""
        known = [
            running.parts.reader.known.catalogue for running in self.entries
        ]
        return {one.version if one else 0 for one in known}

    def write(self, topic: str, key: str, payload: bytes) -> None:
        """Writes as an operator or a target does."""
        self.store.service.model.write(topic, key, payload)

    def write_entry(self, name: str, **changes: typing.Any) -> None:
        """Writes a target's entry."""
        listed = self.listed[name]
        self.sequence += 1
        fields = {
            'service': listed.service,
            'address': listed.running.address,
            'seq': self.sequence,
            'born': listed.born,
            'config_version': self.target_versions.get(name, 'v1'),
            **changes,
        }
        self.write('keyed.servers', name, samples.entry(**fields))

    def is_settled(self) -> bool:
        """Tells whether all keys are granted, and all instances know it."""
        for running in self.entries:
            tables = running.parts.steward.tables.services
            owned = tables.get('ledger', ())
            moving = any(one.is_moving for one in owned)
            if not running.parts.is_ready() or not owned or moving:
                return False
        return True

    async def until(self, condition: typing.Callable[[], bool]) -> float:
        """Waits for a condition; returns the seconds that took."""
        began = time.monotonic()
        async with asyncio.timeout(WAIT_SECONDS):
            while not condition():
                await asyncio.sleep(0.02)
        return time.monotonic() - began

    async def ask(
        self,
        path: str,
        *,
        instance: int = 0,
        method: str = 'GET',
        **named: str,
    ) -> outcomes.Answered:
        """Sends a caller's request and returns its answer."""
        self.requests += 1
        given = {
            'host': 'host.example',
            headers.REQUEST_ID: f'r-{self.requests}',
            headers.DEADLINE: '2000',
            headers.API_KEY: 'key-1',
        }
        given.update(named)
        call = sender.Call(
            f'{self.address(instance)}:{CALLERS_PORT}',
            method,
            path,
            {name.replace('_', '-'): text for name, text in given.items()},
            b'',
            seconds=3,
        )
        outcome = await self.http.send(call, on_fresh=True)
        assert isinstance(outcome, outcomes.Answered), outcome
        return outcome

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            for name in list(self.listed):
                self.write_entry(name)
