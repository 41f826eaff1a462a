"""How often an instance asks the store, and whom it tells of itself."""

import typing
import unittest
from unittest import mock

import result

from bilberryglade._codec import codec
from bilberryglade._membership import candidacy, enrolment, fleet
from bilberryglade._values import clock, stored
from bilberryglade_schema import fleet as messages

SIZE: typing.Final = 60


def member(name: str) -> fleet.Member:
    """Returns an instance."""
    return fleet.Member(name, f'{name}-1', f'{name}:1', 'a')


class StopError(Exception):
    """Ends a loop of the code under test."""


class Pauses:
    """Takes the place of pauses; ends after so many."""

    def __init__(self, most: int) -> None:
        """Ends the loop after `most` pauses."""
        self.most = most
        self.seconds: list[float] = []

    async def sleep(self, seconds: float) -> None:
        """Notes a pause."""
        self.seconds.append(seconds)
        if len(self.seconds) == self.most:
            raise StopError


class EnrolmentTests(unittest.IsolatedAsyncioTestCase):
    """One instance of many."""

    def setUp(self) -> None:
        """Knows all others, and none has been heard."""
        self.network = mock.Mock()
        self.members = fleet.Fleet(member('e0'), self.network)
        for number in range(1, SIZE):
            self.members.take(member(f'e{number}'))
        self.client = mock.AsyncMock()
        self.lease = candidacy.Candidacy(self.members, self.client)
        self.enrolment = enrolment.Enrolment(
            self.members, self.client, self.lease
        )

    def told(self) -> list[str]:
        """Returns the addresses to which something was sent."""
        return [call.args[0] for call in self.network.send.call_args_list]

    async def follow(self, pauses: Pauses) -> None:
        """Runs the loop until the pauses end."""
        with mock.patch('asyncio.sleep', pauses.sleep):
            with self.assertRaises(StopError):
                await self.enrolment.follow()

    async def test_pauses_while_refused(self) -> None:
        """They grow, so that hundreds of instances do not press the store."""
        self.client.append.return_value = result.Ok(1)
        refused = result.Err(stored.Failure.refused)
        self.client.newest.return_value = refused
        pauses = Pauses(8)
        await self.follow(pauses)
        self.assertLess(pauses.seconds[0], 0.6)
        self.assertGreater(min(pauses.seconds[4:]), 2)
        self.assertLess(max(pauses.seconds), 4)

    async def test_news_are_read_together(self) -> None:
        """Each read is followed by a pause, however many instances start."""
        self.client.append.return_value = result.Ok(1)
        entry: messages.Member = {
            'boot': 'x',
            'address': '127.0.0.1:80',
            'failure_domain': 'a',
        }
        record = stored.Record('e0', 1, codec.encode_packed(entry))
        batch = stored.Batch((record,), 2, is_whole=True)
        self.client.newest.return_value = result.Ok(batch)
        self.client.read.return_value = result.Ok(
            batch._replace(is_whole=False)
        )
        pauses = Pauses(5)
        await self.follow(pauses)
        self.assertGreaterEqual(min(pauses.seconds), 0.6)
        self.assertEqual(self.client.read.await_count, 4)

    async def test_greeting(self) -> None:
        """It goes to the coordinator alone, and not again at once."""
        self.lease.coordinator = 'e7'
        for _ in range(3):
            self.enrolment.greet(self.lease.holder)
        self.assertEqual(self.told(), ['e7:1'])

    async def test_leave(self) -> None:
        """The coordinator is told, and who had to do with this instance."""
        self.lease.coordinator = 'e7'
        self.members.hear('e3')
        self.members.heard['e4'] = clock.now() - 20
        self.enrolment.take_leave()
        self.assertEqual(sorted(self.told()), ['e3:1', 'e7:1'])
