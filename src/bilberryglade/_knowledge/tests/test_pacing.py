"""Reads of the store in a large fleet: few, and in force in time."""

import asyncio
import typing
import unittest
from unittest import mock

import result

from bilberryglade._knowledge import operators, pacing, reading, topics
from bilberryglade._membership import candidacy, enrolment, fleet
from bilberryglade._values import clock, stored
from bilberryglade.platform import folds
from bilberryglade.platform.tests import samples

REGISTERED: typing.Final = (folds,)
#: Instances of the fleet.
INSTANCES: typing.Final = 62
#: Records of a storm, and the seconds between two.
RECORDS: typing.Final = 16
GAP_SECONDS: typing.Final = 0.17
#: Seconds within which a configuration is to be in force.
IN_FORCE_SECONDS: typing.Final = 2.0


class Topic:
    """A topic that grows, read by long polls."""

    def __init__(self) -> None:
        """Holds nothing; counts its readers' calls."""
        self.records: list[stored.Record] = []
        self.grown = asyncio.Event()
        self.reads = 0

    def append(self, key: str, payload: bytes) -> None:
        """Adds a record and answers all polls."""
        self.records.append(stored.Record(key, len(self.records), payload))
        self.grown.set()
        self.grown = asyncio.Event()

    async def newest(self, _: str) -> typing.Any:
        """Returns the newest record of each key."""
        self.reads += 1
        newest = {record.key: record for record in self.records}
        return result.Ok(
            stored.Batch(tuple(newest.values()), len(self.records), True)
        )

    async def read(self, _: str, start: int, *wait: int) -> typing.Any:
        """Waits for a record from `start` on."""
        self.reads += 1
        while len(self.records) <= start:
            await self.grown.wait()
        batch = tuple(self.records[start:])
        return result.Ok(stored.Batch(batch, len(self.records), False))


def large_fleet() -> fleet.Fleet:
    """Returns what one instance knows of the fleet."""
    own = fleet.Member('own', 'own-boot', '127.0.0.1:1', 'x')
    others = [
        fleet.Member(f'm{place}', 'boot', f'127.0.0.1:{place + 2}', 'x')
        for place in range(INSTANCES - 1)
    ]
    return fleet.Fleet(own, mock.Mock(), others)


class StormTests(unittest.IsolatedAsyncioTestCase):
    """Records in quick succession."""

    async def asyncSetUp(self) -> None:
        """An instance of a large fleet that does not coordinate."""
        self.topic = Topic()
        self.members = large_fleet()
        client: typing.Any = self.topic
        self.lease = candidacy.Candidacy(self.members, client)
        self.lease.led_at = clock.now() + 60
        self.client = client

    def run_until_end(self, coroutine: typing.Any) -> None:
        """Runs a loop of the instance until the end of the test."""
        task = asyncio.create_task(coroutine)
        self.addAsyncCleanup(asyncio.gather, task, return_exceptions=True)
        self.addCleanup(task.cancel)

    async def test_configurations_do_not_cost_a_read_each(self) -> None:
        """Guards against reads that grow with records times instances."""
        self.topic.append('config', samples.configuration(1))
        reader = reading.Reader(self.members, self.client, self.lease, 2.0)
        reader.note(topics.OPERATOR, await self.topic.newest(''))
        following = operators.Operators(reader)
        following.confirmed_at = clock.now() + 60
        self.run_until_end(following.follow())
        for version in range(2, RECORDS + 2):
            self.topic.append('config', samples.configuration(version))
            await asyncio.sleep(GAP_SECONDS)
        async with asyncio.timeout(IN_FORCE_SECONDS):
            while reader.known.catalogue is None or (
                reader.known.catalogue.version < RECORDS + 1
            ):
                await asyncio.sleep(0.02)
        self.assertLess(self.topic.reads, RECORDS * 2 // 3)

    async def test_joins_do_not_cost_a_read_each(self) -> None:
        """Guards against starts that grow with the square of the fleet."""
        self.client = mock.Mock(
            append=mock.AsyncMock(return_value=result.Ok(0)),
            newest=self.topic.newest,
            read=self.topic.read,
        )
        enrolling = enrolment.Enrolment(self.members, self.client, self.lease)
        self.run_until_end(enrolling.follow())
        for number in range(RECORDS):
            self.topic.append(f'new-{number}', b'')
            await asyncio.sleep(GAP_SECONDS)
        self.assertLess(self.topic.reads, RECORDS // 3)


class RetryTests(unittest.TestCase):
    """Calls that the store refuses."""

    def test_who_is_told_nothing_asks_at_the_usual_pace(self) -> None:
        """Guards against old knowledge at an instance that is cut off."""
        for failures in range(1, 20):
            seconds = pacing.retry_pause(failures, is_told_otherwise=False)
            self.assertEqual(seconds, pacing.RETRY_SECONDS)

    def test_who_is_told_by_peers_asks_less_and_less(self) -> None:
        """Guards against steady calls that a store refuses one by one."""
        waited = sum(
            pacing.retry_pause(failures, is_told_otherwise=True)
            for failures in range(1, 7)
        )
        self.assertGreater(waited, 9.0)
