"""Parts of a state: the same everywhere, whole or not taken."""

import types
import unittest

import hypothesis

from bilberryglade._log import chunks
from bilberryglade._state import folding, state
from bilberryglade._state.tests import test_folding

RULES_RECORD = types.MappingProxyType(
    {
        'id': 'rules-1',
        'kind': 'rules_published',
        'by': 'office',
        'based_on': 0,
        'text': test_folding.RULES,
    }
)
PART_BYTES = 32


def small_state() -> state.ClusterState:
    """Returns a state with rules, keys and a failure domain."""
    return test_folding.fold_all(
        [
            dict(RULES_RECORD),
            test_folding.key_issued('a'),
            test_folding.domain_changed('north', 0, 'first'),
        ],
    )


class ChunksTest(unittest.TestCase):
    """Cutting and joining."""

    def test_whole_state_returns(self) -> None:
        """All parts in any order give the state, its rule book included."""
        view = small_state()
        parts = chunks.split(view, PART_BYTES)
        self.assertGreater(len(parts), 3)
        self.assertEqual(chunks.newest_whole(reversed(parts)), view)
        self.assertEqual(len(view.rules.book.services), 1)

    def test_incomplete_newest_falls_back(self) -> None:
        """A snapshot with a part missing or damaged gives way to an older."""
        older = small_state()
        newer = folding.fold(older, 4, test_folding.key_issued('b')).state
        old_parts = chunks.split(older, PART_BYTES)
        parts = chunks.split(newer, PART_BYTES)
        damaged = parts[0]._replace(body=b'x' * PART_BYTES)
        other_format = [part._replace(format=99) for part in parts]
        for name, newest in {
            'first part missing': parts[1:],
            'last part missing': parts[:-1],
            'damaged': [damaged, *parts[1:]],
            'other format': other_format,
            'wrong count': [part._replace(parts=1) for part in parts],
        }.items():
            with self.subTest(name):
                found = chunks.newest_whole([*old_parts, *newest])
                self.assertEqual(found, older)
        self.assertIsNone(chunks.newest_whole(parts[1:]))

    def test_two_writers_complete_each_other(self) -> None:
        """Parts of two writers at one offset fit together."""
        one = chunks.split(small_state(), PART_BYTES)
        other = chunks.split(small_state(), PART_BYTES)
        middle = len(one) // 2
        mixed = [*one[:middle], *other[middle:]]
        self.assertEqual(chunks.newest_whole(mixed), small_state())

    def test_record_keeps_a_part(self) -> None:
        """A part returns from its record; a malformed record gives none."""
        part = chunks.split(small_state())[0]
        record = chunks.record_of(part, 'entry-0', 'record-1')
        self.assertEqual(chunks.part_of(record), part)
        self.assertIsNone(chunks.part_of({**record, 'body': '%'}))
        self.assertIsNone(chunks.part_of({'id': 'record-1'}))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(test_folding.COPIED)
    def test_snapshot_and_tail_equal_the_fold(
        self,
        records: list[folding.Record],
    ) -> None:
        """A snapshot at any offset and the records after it are the fold."""
        whole = test_folding.fold_all(records)
        for cut in range(0, len(records) + 1, 3):
            stored = chunks.newest_whole(
                chunks.split(test_folding.fold_all(records[:cut])),
            )
            self.assertIsNotNone(stored)
            view = stored or state.ClusterState()
            for offset, record in enumerate(records[cut:], cut + 1):
                view = folding.fold(view, offset, record).state
            self.assertEqual(view, whole)
