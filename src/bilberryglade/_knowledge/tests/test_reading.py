"""Knowledge of the store: read here, relayed from others, never going back."""

import asyncio
import typing
import unittest
from unittest import mock

import result

from bilberryglade._knowledge import knowledge, reading, topics
from bilberryglade._membership import candidacy, fleet
from bilberryglade._values import stored
from bilberryglade.platform import folds
from bilberryglade.platform.tests import samples
from bilberryglade_schema import fleet as messages

REGISTERED: typing.Final = (folds,)


def relay(
    topic: str,
    start: int,
    end: int,
    *records: messages.RelayedRecord,
    is_whole: bool = False,
) -> messages.Relay:
    """Returns a message of another instance."""
    return {
        'kind': 'relay',
        'sender': 'a',
        'topic': topic,
        'start': start,
        'end': end,
        'age_ms': 10,
        'is_whole': is_whole,
        'records': list(records),
    }


def listed(name: str, offset: int) -> messages.RelayedRecord:
    """Returns a target's entry."""
    return {
        'key': name,
        'offset': offset,
        'value': samples.entry(seq=offset),
    }


class RelayTests(unittest.TestCase):
    """What a relayed record changes."""

    def setUp(self) -> None:
        """Nothing is known."""
        own = fleet.Member('b', 'b1', '127.0.0.1:1', 'x')
        members = fleet.Fleet(own, mock.Mock())
        client = mock.Mock()
        self.reader = reading.Reader(
            members, client, candidacy.Candidacy(members, client), 2.0
        )

    def names(self) -> set[str]:
        """Returns the targets that are known."""
        return set(self.reader.known.directory.targets)

    def test_following(self) -> None:
        """Relays in a row are taken in without a read of one's own."""
        first = relay(topics.TARGETS, 0, 5, listed('t', 4), is_whole=True)
        self.reader.hear(first)
        self.reader.hear(relay(topics.TARGETS, 5, 9, listed('u', 8)))
        self.assertEqual(self.names(), {'t', 'u'})
        self.assertEqual(self.reader.known.ends[topics.TARGETS], 9)

    def test_missed_relay(self) -> None:
        """After a gap the next reading of one's own is a whole one."""
        first = relay(topics.TARGETS, 0, 5, listed('t', 4), is_whole=True)
        self.reader.hear(first)
        self.reader.is_answered[topics.TARGETS] = True
        self.reader.hear(relay(topics.TARGETS, 7, 9, listed('u', 8)))
        self.assertEqual(self.reader.known.ends[topics.TARGETS], 5)
        whole = stored.Batch((), 9, is_whole=True)
        client = mock.AsyncMock()
        client.newest.return_value = result.Ok(whole)
        self.reader.client = client
        self.assertTrue(asyncio.run(self.reader.read_targets()))
        client.newest.assert_awaited_once_with(topics.TARGETS)

    def test_relay_before_the_first_reading(self) -> None:
        """A part of what there is does not stand for the whole."""
        self.reader.hear(relay(topics.TARGETS, 7, 9, listed('u', 8)))
        self.assertEqual(self.names(), set())
        self.assertNotIn(topics.TARGETS, self.reader.known.read_at)

    def test_stale_whole_reading(self) -> None:
        """An old reading of everything takes nothing back."""
        new = relay(topics.TARGETS, 0, 9, listed('t', 8), is_whole=True)
        old = relay(topics.TARGETS, 0, 5, is_whole=True)
        self.reader.hear(new)
        self.reader.hear(old)
        self.assertEqual(self.names(), {'t'})

    def test_configuration_never_goes_back(self) -> None:
        """An earlier configuration changes nothing, by whatever way."""
        for version, offset in ((9, 20), (8, 10)):
            record: messages.RelayedRecord = {
                'key': 'config',
                'offset': offset,
                'value': samples.configuration(version),
            }
            self.reader.hear(relay(topics.OPERATOR, 0, offset + 1, record))
        known = self.reader.known.catalogue
        assert known is not None
        self.assertEqual(known.version, 9)

    def test_restored_failure_domain_is_not_told_as_taken_out(self) -> None:
        """What a whole reading does not name any more is passed to nobody."""
        out: messages.RelayedRecord = {
            'key': 'evacuate/a',
            'offset': 3,
            'value': b'{}',
        }
        self.reader.hear(relay(topics.OPERATOR, 0, 4, out, is_whole=True))
        self.reader.hear(relay(topics.OPERATOR, 4, 9, is_whole=True))
        told = self.reader.whole(topics.OPERATOR)
        assert told is not None
        self.assertEqual(told['records'], [])

    def test_unknown_topic(self) -> None:
        """A message on another topic is left out."""
        self.reader.hear(relay('other', 0, 1, listed('t', 0)))
        self.assertEqual(self.names(), set())


class OutageTests(unittest.TestCase):
    """Entries that lapse while the store is away."""

    def learn(
        self,
        known: knowledge.Knowledge,
        at: float,
        record: stored.Record,
    ) -> knowledge.Knowledge:
        """Reads a record at a moment."""
        batch = stored.Batch((record,), record.offset + 1, is_whole=False)
        origin = knowledge.Origin(at, 'b')
        return knowledge.learn(known, topics.TARGETS, batch, origin)

    def test_lapse_and_return(self) -> None:
        """Only a drop that is read after a gap is doubted."""
        entry = stored.Record('t', 0, samples.entry())
        dropped = stored.Record('t', 1, None)
        known = self.learn(knowledge.Knowledge(), 10, entry)
        for gap, is_kept in ((0.5, False), (5.0, True)):
            with self.subTest(gap=gap):
                after = self.learn(known, 10 + gap, dropped)
                self.assertEqual('t' in after.directory.targets, is_kept)

    def test_taken_out(self) -> None:
        """Operators take a failure domain out and restore it."""
        out = stored.Record('evacuate/a', 1, b'{}')
        back = stored.Record('evacuate/a', 2, None)
        known = knowledge.Knowledge()
        for record, is_out in ((out, True), (back, False), (out, False)):
            batch = stored.Batch((record,), record.offset + 1, is_whole=False)
            known = knowledge.learn(
                known, topics.OPERATOR, batch, knowledge.Origin(10)
            )
            self.assertEqual(known.is_out('a'), is_out)
