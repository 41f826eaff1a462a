"""Odd records are counted, and fill no log."""

import itertools
import unittest

import loguru

from bilberryglade._knowledge import knowledge, left_out, topics
from bilberryglade._values import stored
from bilberryglade.platform import folds
from bilberryglade.platform.tests import samples

REGISTERED = (folds,)


class LeftOutTests(unittest.TestCase):
    """Lines about the entries of another writer."""

    def setUp(self) -> None:
        """Nothing was left out."""
        self.known = knowledge.Knowledge()
        self.offsets = itertools.count()
        self.lines: list[str] = []
        sink = loguru.logger.add(self.lines.append, format='{message}')
        self.addCleanup(loguru.logger.remove, sink)

    def read(self, key: str, entry: bytes) -> None:
        """Reads one entry."""
        offset = next(self.offsets)
        records = (stored.Record(key, offset, entry),)
        batch = stored.Batch(records, offset + 1, is_whole=False)
        origin = knowledge.Origin(offset)
        self.known = knowledge.learn(self.known, topics.TARGETS, batch, origin)

    def test_repeats_are_told_once(self) -> None:
        """An odd entry comes with each sign of life of its writer."""
        for sequence in range(50):
            self.read('odd', samples.entry(slots=0, seq=sequence))
            self.read('odd', samples.entry(state='asleep', seq=sequence))
        self.assertEqual(len(self.lines), 2)
        self.assertEqual(self.known.omitted.counts[topics.TARGETS], 100)

    def test_causes_that_differ_each_time(self) -> None:
        """What an entry says gets into its cause; lines have an end."""
        for number in range(2 * left_out.MOST_TOLD):
            self.read('odd', samples.entry(state=f'asleep-{number}'))
        self.assertEqual(len(self.lines), left_out.MOST_TOLD)

    def test_long_causes(self) -> None:
        """A line has an end as well."""
        record = stored.Record('odd', 1, b'')
        left_out.note(self.known.omitted, topics.TARGETS, record, 'x' * 9999)
        self.assertLess(len(self.lines[0]), 2 * left_out.CAUSE_CHARACTERS)

    def test_other_entries_are_told_of(self) -> None:
        """One writer's lines keep back nobody else's."""
        for key in ('odd', 'other'):
            self.read(key, samples.entry(slots=0))
        self.assertEqual(len(self.lines), 2)
