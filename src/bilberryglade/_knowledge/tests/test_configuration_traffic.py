"""What a change of a large configuration costs a fleet in messages."""

import asyncio
import collections
import types
import typing
import unittest
from unittest import mock

import result

from bilberryglade._codec import codec
from bilberryglade._knowledge import (
    operators,
    peer_handlers,
    reading,
)
from bilberryglade._membership import candidacy, fleet
from bilberryglade._peers import handlers
from bilberryglade._values import clock, stored
from bilberryglade.platform import folds
from bilberryglade.platform.tests import samples

REGISTERED: typing.Final = (folds, peer_handlers)
INSTANCES: typing.Final = 24
LEADER: typing.Final = 'i0'
LEAD_SECONDS: typing.Final = 0.5
#: Seconds within which a configuration is to be in force after its
#: acknowledgement.
IN_FORCE_SECONDS: typing.Final = 2.0
#: Bytes that make a configuration large.
ROOM: typing.Final = 100_000


def configuration(version: int) -> bytes:
    """Returns a large configuration."""
    routes = samples.configuration(version)
    return routes[:-1] + b',"filler":"%s"}' % (b'x' * ROOM)


class Store:
    """A store's topic of operators, as one instance reaches it."""

    def __init__(self, log: list[stored.Record]) -> None:
        """Answers at once."""
        self.log = log
        #: Seconds by which each answer comes late.
        self.late_seconds: float = 0
        self.is_refusing = False

    async def newest(self, _: str) -> typing.Any:
        """Returns the newest record."""
        if self.is_refusing:
            return result.Err(stored.Failure.refused)
        await asyncio.sleep(self.late_seconds)
        return result.Ok(
            stored.Batch(
                tuple(self.log[-1:]), self.log[-1].offset + 1, is_whole=True
            )
        )

    async def read(self, _: str, start: int, wait_ms: int) -> typing.Any:
        """Returns the records from `start`, or none after the wait."""
        if self.is_refusing:
            return result.Err(stored.Failure.refused)
        until = clock.now() + wait_ms / 1000
        while self.log[-1].offset < start and clock.now() < until:
            await asyncio.sleep(0.02)
        await asyncio.sleep(self.late_seconds)
        news = tuple(one for one in self.log if one.offset >= start)
        end = max(start, self.log[-1].offset + 1)
        return result.Ok(stored.Batch(news, end, is_whole=False))


class Bus:
    """Carries messages between the parts of instances, and counts them."""

    def __init__(self) -> None:
        """Carries nothing yet."""
        self.parts: dict[str, types.SimpleNamespace] = {}
        #: Bytes by the instance that sent them.
        self.sent: collections.Counter[str] = collections.Counter()

    def network_of(self, name: str) -> mock.Mock:
        """Returns the network of an instance; addresses are names."""

        def send(address: str, message: typing.Any) -> bool:  # noqa: WPS430
            raw = codec.encode_packed(message)
            self.sent[name] += len(raw)
            asyncio.get_running_loop().call_later(
                0.01, self.deliver, address, message
            )
            return True

        def send_all(  # noqa: WPS430
            addresses: typing.Iterable[str], message: typing.Any
        ) -> None:
            for address in addresses:
                send(address, message)

        return mock.Mock(send=send, send_all=send_all)

    def deliver(self, name: str, message: typing.Any) -> None:
        """Hands a message to its handler at an instance."""
        handler = handlers.handlers.find(message['kind'])
        assert handler is not None
        parts = self.parts[name]
        parts.fleet.hear(message['sender'])
        handler.handle(parts, message)


class TrafficTests(unittest.IsolatedAsyncioTestCase):
    """A fleet whose operators publish a large configuration."""

    async def asyncSetUp(self) -> None:
        """Starts a fleet that has the first version in force."""
        self.log = [stored.Record('config', 0, configuration(1))]
        self.stores: dict[str, Store] = {}
        self.bus = Bus()
        for number in range(INSTANCES):
            self.add(f'i{number}')
        for parts in self.bus.parts.values():
            for other in self.bus.parts.values():
                parts.fleet.take(other.fleet.own)
            running = asyncio.create_task(parts.operators.follow())
            self.addCleanup(running.cancel)
        leading = asyncio.create_task(self.lead())
        self.addCleanup(leading.cancel)
        await self.in_force(1)

    def add(self, name: str) -> None:
        """Adds an instance to the fleet; the first one coordinates."""
        self.stores[name] = Store(self.log)
        own = fleet.Member(name, 'b', name, 'x')
        members = fleet.Fleet(own, self.bus.network_of(name))
        lease = mock.Mock(
            spec=candidacy.Candidacy, holds=name == LEADER, coordinator=LEADER
        )
        reader = reading.Reader(
            members, typing.cast(typing.Any, self.stores[name]), lease, 2.0
        )
        self.bus.parts[name] = types.SimpleNamespace(
            fleet=members,
            reader=reader,
            candidacy=lease,
            steward=mock.Mock(),
            operators=operators.Operators(reader),
            crashes=mock.Mock(),
        )

    async def lead(self) -> None:
        """Sends the coordinator's signs of life; all catch up meanwhile."""
        leader = self.bus.parts[LEADER]
        while True:
            mark = leader.operators.mark()
            leader.fleet.send_all(
                {
                    'kind': 'lead',
                    'sender': LEADER,
                    'term': 0,
                    'claim': 0,
                    'tables_version': 0,
                    'tables_change': 0,
                    'operator_offset': mark.newest,
                    'operator_total': mark.total,
                    'operator_age_ms': leader.operators.age_ms(),
                }
            )
            for _ in range(2):
                await asyncio.sleep(LEAD_SECONDS / 2)
                for parts in self.bus.parts.values():
                    parts.operators.catch_up()

    async def in_force(self, version: int) -> float:
        """Waits for a version at all instances; returns the seconds."""
        began = clock.now()
        async with asyncio.timeout(IN_FORCE_SECONDS * 2):
            while self.versions() != {version}:
                await asyncio.sleep(0.02)
        return clock.now() - began

    def versions(self) -> set[int]:
        """Returns the versions in force."""
        known = [
            parts.reader.known.catalogue for parts in self.bus.parts.values()
        ]
        return {one.version if one else 0 for one in known}

    async def publish(self) -> float:
        """Publishes the second version; returns the seconds until in force.

        Waits as long as it may take, so that all that it costs is counted.
        """
        self.bus.sent.clear()
        self.log.append(stored.Record('config', 1, configuration(2)))
        seconds = await self.in_force(2)
        await asyncio.sleep(IN_FORCE_SECONDS - seconds)
        return seconds

    async def test_what_all_have_read_is_sent_to_nobody(self) -> None:
        """While the store answers everybody, no message holds it."""
        self.assertLess(await self.publish(), IN_FORCE_SECONDS)
        self.assertLess(self.bus.sent.total(), ROOM)

    async def test_late_coordinator_is_not_flooded(self) -> None:
        """It reads late what all others have; that costs two copies at most."""
        self.stores[LEADER].late_seconds = 1.2
        self.assertLess(await self.publish(), IN_FORCE_SECONDS)
        self.assertLess(self.bus.sent.total(), 3 * ROOM)

    async def test_change_without_a_coordinator_costs_no_square(self) -> None:
        """Nobody sends it who reads it while no coordinator is known."""
        for parts in self.bus.parts.values():
            parts.candidacy.coordinator = ''
            parts.candidacy.holds = False
        self.assertLess(await self.publish(), IN_FORCE_SECONDS)
        self.assertLess(self.bus.sent.total(), ROOM)

    async def test_refused_instances_get_it_in_time_from_many(self) -> None:
        """A third cannot read the store; no instance serves them all."""
        refused = list(self.stores)[1::3]
        for name in refused:
            self.stores[name].is_refusing = True
        self.assertLess(await self.publish(), IN_FORCE_SECONDS)
        self.assertLess(self.bus.sent.total(), 3 * len(refused) * ROOM)
        self.assertLess(max(self.bus.sent.values()), len(refused) * ROOM)
