"""Operators' records: confirmed, evened out, and in force in time."""

import asyncio
import math
import typing
import unittest
from unittest import mock

import result

from bilberryglade._knowledge import (
    catching_up,
    knowledge,
    operators,
    reading,
    topics,
)
from bilberryglade._membership import candidacy, fleet
from bilberryglade._values import clock, stored
from bilberryglade.platform import folds
from bilberryglade.platform.tests import samples
from bilberryglade_schema import fleet as messages

REGISTERED: typing.Final = (folds,)
#: Seconds within which a configuration is to be in force after its
#: acknowledgement.
IN_FORCE_SECONDS: typing.Final = 2.0


def configuration(version: int, offset: int) -> stored.Record:
    """Returns the record of a version."""
    return stored.Record('config', offset, samples.configuration(version))


def batch(*records: stored.Record, is_whole: bool) -> typing.Any:
    """Returns an answer of the store."""
    end = max(record.offset for record in records) + 1
    return result.Ok(stored.Batch(records, end, is_whole))


class OperatorsCase(unittest.IsolatedAsyncioTestCase):
    """An instance that knows version 9, at offset 20."""

    async def asyncSetUp(self) -> None:
        """Another instance coordinates."""
        own = fleet.Member('b', 'b1', '127.0.0.1:1', 'x')
        self.peers = mock.Mock()
        members = fleet.Fleet(own, self.peers)
        members.take(fleet.Member('a', 'a1', '127.0.0.1:2', 'x'))
        self.client = mock.AsyncMock()
        self.reader = reading.Reader(
            members, self.client, candidacy.Candidacy(members, self.client), 2.0
        )
        self.operators = operators.Operators(self.reader)
        first = batch(configuration(9, 20), is_whole=True)
        self.client.newest.return_value = first
        self.reader.learn(
            topics.OPERATOR, first.ok_value, knowledge.Origin(clock.now())
        )
        self.reader.note(topics.OPERATOR, first)

    def version(self) -> int:
        """Returns the version in force."""
        assert self.reader.known.catalogue is not None
        return self.reader.known.catalogue.version

    def hear(self, offset: int, total: int = 0, age_ms: int = 1) -> None:
        """Hears a sign of life of the coordinator."""
        lead: messages.Lead = {
            'kind': 'lead',
            'sender': 'a',
            'term': 0,
            'claim': 0,
            'tables_version': 0,
            'tables_change': 0,
            'operator_offset': offset,
            'operator_total': total or offset,
            'operator_age_ms': age_ms,
        }
        self.operators.hear_lead(lead)

    def sent(self) -> list[typing.Any]:
        """Returns all messages that were sent."""
        return [call.args[1] for call in self.peers.send.call_args_list]


class LeadTests(OperatorsCase):
    """Records that one of two instances has missed."""

    def catch_up(self, seconds: float) -> None:
        """Catches up so many seconds from now."""
        later = clock.now() + seconds
        with mock.patch.object(clock, 'now', return_value=later):
            self.operators.catch_up()

    def answered(self, ask: messages.RelayAsk) -> str:
        """Returns the version at one that lacks all and gets the answer."""
        self.peers.reset_mock()
        self.operators.answer(ask)
        other = reading.Reader(mock.Mock(), mock.Mock(), mock.Mock(), 2.0)
        for told in self.sent():
            other.hear(told)
        known = other.known.catalogue
        return '' if known is None else str(known.version)

    async def test_one_that_knows_more(self) -> None:
        """It is asked for what was missed, unless the own read brings that."""
        self.hear(25)
        self.catch_up(0)
        self.assertEqual(self.sent(), [])
        self.catch_up(catching_up.FIRST_ASK_SECONDS)
        self.catch_up(catching_up.FIRST_ASK_SECONDS)
        asks = [(sent['kind'], sent['newest']) for sent in self.sent()]
        self.assertEqual(asks, [('relay_ask', 20)])
        read = batch(configuration(11, 25), is_whole=True)
        self.reader.learn(
            topics.OPERATOR, read.ok_value, knowledge.Origin(clock.now())
        )
        self.catch_up(60)
        self.assertEqual(len(self.sent()), 1)

    async def test_asks_go_in_turn_to_near_ones_and_to_who_told(self) -> None:
        """They become fewer while no answer comes."""
        self.hear(25)
        self.reader.members.take(fleet.Member('c', 'c1', '127.0.0.1:3', 'x'))
        self.reader.members.leave('a')
        for seconds in range(9):
            self.catch_up(seconds)
        asked = [call.args[0] for call in self.peers.send.call_args_list]
        near, teller = '127.0.0.1:3', '127.0.0.1:2'
        self.assertEqual(asked, [near, teller, near, teller, near])

    async def test_one_that_knows_less(self) -> None:
        """It is told so, asks, and puts that in force."""
        self.hear(3)
        mark = self.operators.mark()
        told = [(sent['kind'], sent['operator_offset']) for sent in self.sent()]
        self.assertEqual(told, [('operator_mark', mark.newest)])
        ask: messages.RelayAsk = {'kind': 'relay_ask', 'sender': 'a'}
        self.assertEqual(self.answered(ask), '9')
        ask['newest'] = 3
        self.assertEqual(self.answered(ask), '9')

    async def test_one_that_knows_another_earlier_record(self) -> None:
        """With the same newest record, each gets all that the other knows."""
        self.hear(20, total=23)
        self.catch_up(catching_up.FIRST_ASK_SECONDS)
        kinds = [sent['kind'] for sent in self.sent()]
        self.assertEqual(kinds, ['operator_mark', 'relay_ask'])
        ask: messages.RelayAsk = {'kind': 'relay_ask', 'sender': 'a'}
        ask['newest'] = 20
        ask['total'] = 23
        self.assertEqual(self.answered(ask), '9')

    async def test_one_that_lacks_it_as_well_answers_nothing(self) -> None:
        """Records that who asks has already are not sent again."""
        ask: messages.RelayAsk = {'kind': 'relay_ask', 'sender': 'a'}
        for newest in (20, 25):
            ask['newest'] = newest
            ask['total'] = newest
            with self.subTest(newest=newest):
                self.assertEqual(self.answered(ask), '')

    async def test_both_know_the_same(self) -> None:
        """Nothing is sent; what is known is confirmed with its age."""
        self.hear(20, age_ms=700)
        self.assertEqual(self.sent(), [])
        self.assertAlmostEqual(self.operators.age_ms(), 700, delta=200)

    async def test_age_of_what_was_never_confirmed(self) -> None:
        """A coordinator that has read nothing confirms nothing."""
        self.assertEqual(self.operators.age_ms(), operators.UNKNOWN_AGE_MS)
        self.hear(20, age_ms=operators.UNKNOWN_AGE_MS)
        self.assertLess(self.operators.confirmed_at, clock.now() - 1000)
        self.assertGreater(self.operators.confirmed_at, -math.inf)


class HeldUpTests(OperatorsCase):
    """A long poll whose answer does not come."""

    async def asyncSetUp(self) -> None:
        """Everything was confirmed just now; polls are held up."""
        await super().asyncSetUp()
        self.operators.confirmed_at = clock.now()
        self.client.read.side_effect = self.held_up
        self.client.newest.return_value = batch(
            configuration(11, 22), is_whole=True
        )

    async def held_up(self, *_: typing.Any) -> None:
        """Answers much too late."""
        await asyncio.sleep(3600)

    async def follow(self, seconds: float, lead_offset: int = -1) -> None:
        """Follows for a while, with signs of life of a coordinator or not."""
        following = asyncio.create_task(self.operators.follow())
        for _ in range(int(seconds / 0.2)):
            await asyncio.sleep(0.2)
            if lead_offset >= 0:
                self.hear(lead_offset)
        following.cancel()

    async def test_change_is_in_force_without_any_word_of_it(self) -> None:
        """The store is asked anew before the change is due."""
        await self.follow(IN_FORCE_SECONDS)
        self.assertEqual(self.version(), 11)

    async def test_news_reach_refused_neighbours_of_a_silent_coordinator(
        self,
    ) -> None:
        """Guards against news that only a coordinator would tell."""
        members = self.reader.members
        members.take(fleet.Member('c', 'c1', '127.0.0.1:3', 'x'))
        members.take(fleet.Member('d', 'd1', '127.0.0.1:4', 'y'))
        self.hear(20)
        self.reader.lease.coordinator = 'a'
        await self.follow(IN_FORCE_SECONDS)
        told = [
            call.args[0]
            for call in self.peers.send.call_args_list
            if call.args[1]['kind'] == 'operator_mark'
        ]
        self.assertEqual(told, ['127.0.0.1:2', '127.0.0.1:3'])

    async def test_reading_that_is_older_than_what_is_known(self) -> None:
        """It confirms nothing, and takes nothing back."""
        self.client.newest.return_value = batch(
            configuration(7, 12), is_whole=True
        )
        before = self.operators.confirmed_at
        await self.follow(IN_FORCE_SECONDS)
        self.client.newest.assert_awaited()
        self.assertEqual(self.operators.confirmed_at, before)
        self.assertEqual(self.version(), 9)

    async def test_confirmed_by_the_coordinator(self) -> None:
        """While it knows the same, no call is made."""
        await self.follow(IN_FORCE_SECONDS, lead_offset=20)
        self.client.newest.assert_not_awaited()
        self.assertEqual(self.client.read.await_count, 1)
