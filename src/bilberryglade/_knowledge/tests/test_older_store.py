"""What an instance knows when the store has come back older."""

import typing
import unittest
from unittest import mock

from bilberryglade._knowledge import (
    knowledge,
    news,
    operators,
    reading,
    topics,
)
from bilberryglade._membership import candidacy, fleet
from bilberryglade._targets import directory
from bilberryglade._values import clock, stored
from bilberryglade.platform import folds
from bilberryglade.platform.tests import samples
from bilberryglade_schema import fleet as messages

REGISTERED: typing.Final = (folds,)


def at(era: int, offset: int) -> int:
    """Returns a packed position."""
    return stored.Position(era, offset).packed


def configuration(version: int, era: int, offset: int) -> stored.Record:
    """Returns the record of a version."""
    return stored.Record(
        'config', at(era, offset), samples.configuration(version)
    )


class Instance:
    """An instance with its knowledge, and what it sends."""

    def __init__(self, name: str) -> None:
        """Knows nothing."""
        self.peers = mock.Mock()
        own = fleet.Member(name, f'{name}1', f'{name}:1', 'x')
        members = fleet.Fleet(own, self.peers)
        for other in ('a', 'b'):
            members.take(fleet.Member(other, f'{other}1', f'{other}:1', 'x'))
        client = mock.Mock()
        self.reader = reading.Reader(
            members, client, candidacy.Candidacy(members, client), 2.0
        )
        self.operators = operators.Operators(self.reader)

    def learn(
        self, topic: str, end: int, *records: stored.Record, whole: bool = True
    ) -> None:
        """Takes in what it has read of a topic."""
        batch = stored.Batch(records, end, whole)
        self.reader.learn(topic, batch, knowledge.Origin(clock.now()))

    def version(self) -> int:
        """Returns the version in force."""
        known = self.reader.known.catalogue
        return 0 if known is None else known.version

    def config_offset(self) -> int:
        """Returns the offset of the configuration that it tells others."""
        kept = self.reader.newest[topics.OPERATOR]
        return kept['config'].offset

    def sent(self, kind: str) -> list[typing.Any]:
        """Returns the messages of a kind that it has sent."""
        calls = self.peers.send.call_args_list
        return [call.args[1] for call in calls if call.args[1]['kind'] == kind]


class ConfigurationTests(unittest.TestCase):
    """Version 9 is in force, and the store has come back with version 7."""

    def setUp(self) -> None:
        """Reads both; the store has two more records of operators."""
        self.instance = Instance('a')
        self.instance.learn(topics.OPERATOR, at(0, 51), configuration(9, 0, 50))
        self.restored = configuration(7, 1, 40)
        self.instance.learn(topics.OPERATOR, at(1, 41), self.restored)

    def test_older_configuration(self) -> None:
        """It does not come into force again, nor the keys withdrawn since."""
        self.assertEqual(self.instance.version(), 9)
        self.instance.learn(topics.OPERATOR, at(1, 41), self.restored)
        self.assertEqual(self.instance.version(), 9)

    def test_configurations_written_again_in_turn(self) -> None:
        """Those below the one in force change nothing; the next one does."""
        for version, offset, in_force in ((8, 41, 9), (9, 42, 9), (10, 43, 10)):
            self.instance.learn(
                topics.OPERATOR,
                at(1, offset + 1),
                configuration(version, 1, offset),
                whole=False,
            )
            self.assertEqual(self.instance.version(), in_force)
        self.assertEqual(self.instance.config_offset(), at(1, 43))

    def test_store_without_any_configuration(self) -> None:
        """The one in force stays, and others can be told of it."""
        self.instance.learn(topics.OPERATOR, at(2, 0))
        self.assertEqual(self.instance.version(), 9)
        self.assertEqual(self.instance.config_offset(), at(0, 50))

    def test_instance_that_has_started_since(self) -> None:
        """It gets the newest one from the others, and both agree then."""
        started = Instance('b')
        started.learn(topics.OPERATOR, at(1, 41), self.restored)
        self.assertFalse(started.operators.is_settled())
        self.exchange_marks(self.instance, started)
        later = clock.now() + 1
        with mock.patch.object(clock, 'now', return_value=later):
            started.operators.catch_up()
        ask = started.sent('relay_ask')[-1]
        self.instance.operators.answer(ask)
        started.reader.hear(self.instance.sent('relay')[-1])
        self.assertEqual(started.version(), 9)
        self.assertEqual(
            started.operators.mark(), self.instance.operators.mark()
        )
        self.exchange_marks(self.instance, started)
        self.assertTrue(started.operators.is_settled())

    def test_instance_that_nobody_answers(self) -> None:
        """It serves after a while with what the store holds."""
        started = Instance('b')
        started.learn(topics.OPERATOR, at(1, 41), self.restored)
        later = clock.now() + operators.SETTLE_SECONDS + 0.1
        with mock.patch.object(clock, 'now', return_value=later):
            self.assertTrue(started.operators.is_settled())

    def exchange_marks(self, teller: Instance, hearer: Instance) -> None:
        """Lets one hear what the other knows."""
        mark = teller.operators.mark()
        message: messages.OperatorMark = {
            'kind': 'operator_mark',
            'sender': teller.reader.members.own.name,
            'operator_offset': mark.newest,
            'operator_total': mark.total,
            'operator_age_ms': 1,
        }
        hearer.operators.hear_mark(message)


class TargetTests(unittest.TestCase):
    """A target's entry that the store has lost."""

    def setUp(self) -> None:
        """Targets t and u are listed, at 4 and 8; the copy has only t."""
        self.instance = Instance('a')
        self.listed = [
            stored.Record(name, at(0, offset), samples.entry(seq=offset))
            for name, offset in (('t', 4), ('u', 8))
        ]
        self.instance.learn(topics.TARGETS, at(0, 9), *self.listed)
        self.reader = self.instance.reader

    def names(self) -> set[str]:
        """Returns the targets that are known."""
        return set(self.reader.known.directory.targets)

    def test_entry_that_is_missing(self) -> None:
        """The target gets the time to write it again, and no more."""
        restored = self.listed[0]._replace(offset=at(1, 4))
        self.instance.learn(topics.TARGETS, at(1, 5), restored)
        self.assertEqual(self.names(), {'t', 'u'})
        later = clock.now() + directory.RETURN_SECONDS + 0.1
        with mock.patch.object(clock, 'now', return_value=later):
            self.reader.expire()
        self.assertEqual(self.names(), {'t'})

    def test_entry_that_is_back(self) -> None:
        """Others have lost it as well, so it is told though it is known here."""
        self.instance.learn(topics.TARGETS, at(1, 0))
        before = self.reader.known.directory
        back = self.listed[1]._replace(offset=at(1, 0))
        self.instance.learn(topics.TARGETS, at(1, 1), back, whole=False)
        after = self.reader.known.directory
        read = stored.Batch((back,), at(1, 1), is_whole=False)
        self.assertEqual(news.changing(read, before, after).records, (back,))
        self.assertNotIn('u', after.lapsed)

    def test_relay_of_the_new_era(self) -> None:
        """Nothing is dropped by it: a reading of one's own is due."""
        relay: messages.Relay = {
            'kind': 'relay',
            'sender': 'b',
            'topic': topics.TARGETS,
            'start': at(0, 9),
            'end': at(1, 6),
            'age_ms': 1,
            'is_whole': False,
            'records': [{'key': 'u', 'offset': at(1, 5), 'value': None}],
        }
        self.reader.hear(relay)
        self.assertEqual(self.names(), {'t', 'u'})
        self.assertIn(topics.TARGETS, self.reader.missed)

    def test_relay_of_the_era_before(self) -> None:
        """What another instance still knows of it is not believed."""
        self.instance.learn(topics.TARGETS, at(1, 0))
        read_at = self.reader.known.read_at[topics.TARGETS]
        relay: messages.Relay = {
            'kind': 'relay',
            'sender': 'b',
            'topic': topics.TARGETS,
            'start': at(0, 9),
            'end': at(0, 12),
            'age_ms': 0,
            'is_whole': False,
            'records': [
                {'key': 'v', 'offset': at(0, 11), 'value': samples.entry()}
            ],
        }
        self.reader.hear(relay)
        self.assertNotIn('v', self.names())
        self.assertEqual(self.reader.known.read_at[topics.TARGETS], read_at)

    def test_restored_entry_is_older(self) -> None:
        """A target that leaves is not taken for one that stays."""
        leaving = stored.Record(
            't', at(0, 9), samples.entry(seq=9, state='draining')
        )
        self.instance.learn(topics.TARGETS, at(0, 10), leaving, whole=False)
        restored = self.listed[0]._replace(offset=at(1, 4))
        self.instance.learn(topics.TARGETS, at(1, 5), restored)
        listed = self.reader.known.directory
        self.assertTrue(listed.targets['t'].is_draining)
