"""The fold bears whatever stands in the log, and is the same everywhere."""

import typing
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from bilberryglade._state import (
    folding,
    ownership_folds,
    rule_folds,
    state,
    topology_folds,
)

FOLDS = (ownership_folds, rule_folds, topology_folds)
RULES = 'service ledger path /ledger key none # asked for by accounts\n'


def key_issued(name: str, **changes: typing.Any) -> folding.Record:
    """Returns a record that issues an API key."""
    return {
        'id': f'issue-{name}',
        'kind': 'key_issued',
        'organisation': 'office',
        'key_id': name,
        'digest': name * 8,
        **changes,
    }


def key_withdrawn(name: str) -> folding.Record:
    """Returns a record that withdraws an API key."""
    return {'id': f'no-{name}', 'kind': 'key_withdrawn', 'key_id': name}


def domain_changed(name: str, based_on: int, by: str) -> folding.Record:
    """Returns a record that takes a failure domain out."""
    return {
        'id': f'{by}-{name}-{based_on}',
        'kind': 'failure_domain_changed',
        'failure_domain': name,
        'state': 'out',
        'based_on': based_on,
        'by': by,
    }


def fold_all(records: typing.Iterable[folding.Record]) -> state.ClusterState:
    """Returns the state after `records`."""
    view = state.ClusterState()
    for offset, record in enumerate(records, 1):
        view = folding.fold(view, offset, record).state
    return view


class FoldingTest(unittest.TestCase):
    """Records of any kind, good and bad."""

    def test_bad_records_change_nothing(self) -> None:
        """A bad record is rejected with a reason, and folding goes on."""
        bad: dict[str, folding.Record] = {
            'unknown record kind': {'id': 'bad-1', 'kind': 'weather'},
            'no record id': {'kind': 'key_withdrawn', 'key_id': 'a'},
            'no record': {**key_withdrawn('a'), 'id': 'x' * 65},
            'Object missing': {'id': 'bad-2', 'kind': 'key_withdrawn'},
            'Expected `str`': {**key_issued('a'), 'key_id': 7},
            'line 1': {
                'id': 'bad-3',
                'kind': 'rules_published',
                'by': 'office',
                'based_on': 0,
                'text': 'nonsense',
            },
        }
        for reason, record in bad.items():
            with self.subTest(reason=reason):
                step = folding.fold(state.ClusterState(), 1, record)
                self.assertFalse(step.verdict.accepted)
                self.assertIn(reason, step.verdict.reason)
                kept = step.state._replace(
                    verdicts=state.ClusterState().verdicts,
                )
                self.assertEqual(kept, state.ClusterState(offset=1))

    def test_failing_fold_is_rejected(self) -> None:
        """A fold that raises rejects its record and ends no process."""
        failing = folding.Fold(dict, mock.Mock(side_effect=RuntimeError))
        with mock.patch.dict(folding.folds.entries, {'failing': failing}):
            view = fold_all([{'id': 'one', 'kind': 'failing'}, key_issued('a')])
        self.assertIn('fold failed', view.verdicts['one'].reason)
        self.assertEqual((view.offset, len(view.api_keys)), (2, 1))

    def test_loser_learns_the_winner(self) -> None:
        """Of two operators who race, the second is told the first's offset."""
        view = fold_all(
            [
                domain_changed('north', 0, 'first'),
                domain_changed('north', 0, 'second'),
            ],
        )
        self.assertTrue(view.verdicts['first-north-0'].accepted)
        lost = view.verdicts['second-north-0']
        self.assertEqual((lost.accepted, lost.winner), (False, 1))

    def test_key_index_follows(self) -> None:
        """A key is issued once, and withdrawn by its id for good."""
        view = fold_all(
            [
                key_issued('a'),
                key_issued('a', id='again', digest='other'),
                key_withdrawn('a'),
                key_withdrawn('b'),
            ],
        )
        self.assertEqual(
            [key.withdrawn for key in view.api_keys.values()], [True]
        )
        accepted = [verdict.accepted for verdict in view.verdicts.values()]
        self.assertEqual(sorted(accepted), [False, False, True, True])

    def test_verdicts_are_bounded(self) -> None:
        """Old verdicts are forgotten, the newer half is kept."""
        with mock.patch.object(folding, 'MAX_VERDICTS', 8):
            view = fold_all(key_issued(f'k{number}') for number in range(30))
        self.assertLessEqual(len(view.verdicts), 9)
        for number in range(26, 30):
            self.assertIn(f'issue-k{number}', view.verdicts)


COPIED = strategies.lists(
    strategies.one_of(
        strategies.sampled_from('abc').map(key_issued),
        strategies.sampled_from('abc').map(key_withdrawn),
        strategies.builds(
            domain_changed,
            strategies.sampled_from(('north', 'south')),
            strategies.integers(0, 6),
            strategies.sampled_from(('first', 'second')),
        ),
    ),
    max_size=20,
)


class CopiesTest(unittest.TestCase):
    """Copies of records, in any interleaving."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
    @hypothesis.given(COPIED)
    def test_copies_change_nothing(self, records: list[folding.Record]) -> None:
        """A log with copies has the content of the log without them."""
        first: dict[str, folding.Record] = {}
        for record in records:
            first.setdefault(record['id'], record)
        seen = fold_all(records)
        for record_id, record in first.items():
            copied = folding.fold(seen, seen.offset + 1, record)
            self.assertEqual(copied.verdict, seen.verdicts[record_id])
            self.assertEqual(copied.state._replace(offset=seen.offset), seen)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(COPIED)
    def test_readers_agree(self, records: list[folding.Record]) -> None:
        """Two readers of one log are in the same state at each offset."""
        whole = fold_all(records)
        view = state.ClusterState()
        for offset, record in enumerate(records, 1):
            view = folding.fold(view, offset, record).state
            self.assertEqual(view, fold_all(records[:offset]))
        self.assertEqual(view, whole)
