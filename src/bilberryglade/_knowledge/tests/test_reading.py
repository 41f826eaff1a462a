"""Knowledge of the store: read here, relayed from others, never going back."""

import asyncio
import typing
import unittest
from unittest import mock

import result

from bilberryglade._knowledge import knowledge, reading, topics
from bilberryglade._membership import candidacy, fleet
from bilberryglade._values import clock, stored
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
        *,
        is_after_silence: bool = False,
    ) -> knowledge.Knowledge:
        """Reads a record at a moment."""
        batch = stored.Batch((record,), record.offset + 1, is_whole=False)
        origin = knowledge.Origin(at, 'b', is_after_silence)
        return knowledge.learn(known, topics.TARGETS, batch, origin)

    def test_lapse_and_return(self) -> None:
        """A drop is doubted after a gap in which the store was silent."""
        entry = stored.Record('t', 0, samples.entry())
        dropped = stored.Record('t', 1, None)
        known = self.learn(knowledge.Knowledge(), 10, entry)
        cases = (
            (0.5, False, False),
            (0.5, True, False),
            (5.0, True, True),
            (5.0, False, False),
        )
        for gap, is_silent, is_kept in cases:
            with self.subTest(gap=gap, is_silent=is_silent):
                after = self.learn(
                    known, 10 + gap, dropped, is_after_silence=is_silent
                )
                self.assertEqual('t' in after.directory.targets, is_kept)

    def test_drop_is_believed_though_nobody_read_for_a_while(self) -> None:
        """Guards against a lost coordinator that counts as a lost store."""
        refused = result.Err(stored.Failure.refused)
        dropped = stored.Batch(
            (stored.Record('t', 1, None),), 2, is_whole=False
        )
        whole = stored.Batch((), 2, is_whole=True)
        cases = (
            ('answered at once', [result.Ok(dropped)], False),
            ('refused before', [refused, result.Ok(whole)], True),
        )
        for name, answers, is_kept in cases:
            with self.subTest(name=name):
                client = mock.AsyncMock()
                reader = self.reader_after_relay(client)
                client.read.side_effect = answers
                client.newest.side_effect = answers[1:]
                later = clock.now() + 3
                with mock.patch.object(clock, 'now', return_value=later):
                    asyncio.run(self.read(reader, len(answers)))
                known = reader.known.directory.targets
                self.assertEqual('t' in known, is_kept)

    def reader_after_relay(self, client: mock.AsyncMock) -> reading.Reader:
        """Returns a reader that a coordinator has told of a target."""
        own = fleet.Member('b', 'b1', '127.0.0.1:1', 'x')
        members = fleet.Fleet(own, mock.Mock())
        reader = reading.Reader(members, client, mock.Mock(), 2.0)
        told = relay(topics.TARGETS, 0, 1, listed('t', 0), is_whole=True)
        reader.hear(told)
        reader.is_answered[topics.TARGETS] = True
        return reader

    async def read(self, reader: reading.Reader, times: int) -> None:
        """Reads the targets so many times."""
        for _ in range(times):
            await reader.read_targets()

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
