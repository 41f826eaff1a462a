"""Keys that move with their version: shares, hot keys, lost owners."""

import unittest

import hypothesis
from hypothesis import strategies

from bilberryglade._ownership import ranges
from bilberryglade._rollouts import key_moves

OLD = tuple(
    ranges.Candidate(ranges.Owner(f'o{number}', 1), 1) for number in range(6)
)
NEW = tuple(
    ranges.Candidate(ranges.Owner(f'n{number}', 1), 1) for number in range(6)
)
SIDES = key_moves.Sides(OLD, NEW, NEW[:3])
EVEN = dict.fromkeys(range(ranges.BLOCKS), 0.1)


def granted(table: ranges.Table, fence: int) -> ranges.Table:
    """Returns a table as it stands once its record is written."""
    return tuple(
        entry._replace(fence=fence) if ranges.is_new(entry) else entry
        for entry in table
    )


def load_of_new(table: ranges.Table, loads: ranges.Loads) -> float:
    """Returns the share of the load on keys of the new version."""
    new = {one.owner for one in NEW}
    loaded = {
        entry: ranges.load_of(entry.first, entry.last, loads) for entry in table
    }
    held = sum(load for entry, load in loaded.items() if entry.owner in new)
    return held / sum(loaded.values())


def started(loads: ranges.Loads) -> ranges.Table:
    """Returns a table of the old version alone."""
    return granted(ranges.divide(0, 65_535, OLD, loads), 1)


class KeyMoveTests(unittest.TestCase):
    """Plans while a rollout runs."""

    @hypothesis.settings(deadline=None, max_examples=30)
    @hypothesis.given(
        strategies.dictionaries(
            strategies.integers(0, ranges.BLOCKS - 1),
            strategies.floats(0, 50),
            max_size=20,
        ),
        strategies.sampled_from((0.06, 0.25, 0.5)),
    )
    def test_share_is_not_passed(
        self, hot: dict[int, float], share: float
    ) -> None:
        """Busy keys bring the new version more than its share."""
        loads = {**EVEN, **hot}
        table = started(loads)
        for turn in range(2, 6):
            planned = key_moves.plan(table, SIDES, loads, share, frozenset())
            table = granted(planned.table, turn)
            self.assertTrue(ranges.is_whole(table))
            self.assertLessEqual(load_of_new(table, loads), share * 1.001)

    def test_share_is_reached(self) -> None:
        """The new version gets nothing to be judged by."""
        planned = key_moves.plan(started(EVEN), SIDES, EVEN, 0.06, frozenset())
        self.assertGreater(load_of_new(planned.table, EVEN), 0.04)

    def test_hot_key_goes_back(self) -> None:
        """A key that becomes hot at the new version stays there."""
        table = granted(
            key_moves.plan(started(EVEN), SIDES, EVEN, 0.06, frozenset()).table,
            2,
        )
        tried = next(one for one in table if one.owner in {NEW[0].owner})
        loads = {**EVEN, ranges.block_of(tried.first): 300.0}
        back = key_moves.plan(table, SIDES, loads, 0.06, frozenset()).table
        self.assertLess(load_of_new(back, loads), 0.06)

    def test_everything_moves_in_steps(self) -> None:
        """Keys stay behind, or all move at one time."""
        pieces = ranges.divide(0, 65_535, OLD * 10, EVEN)
        table = granted(pieces, 1)
        sides = SIDES._replace(receivers=NEW)
        turns = 0
        while load_of_new(table, EVEN) < 1:
            turns += 1
            moved = granted(
                key_moves.plan(table, sides, EVEN, 1, frozenset()).table,
                turns + 1,
            )
            self.assertNotEqual(moved, table)
            table = moved
        self.assertGreater(turns, 1)
        self.assertTrue(ranges.is_whole(table))

    def test_lost_owner(self) -> None:
        """Keys of a target that is gone go to the version on trial."""
        sides = SIDES._replace(old=OLD[1:])
        planned = key_moves.plan(started(EVEN), sides, EVEN, 0.06, frozenset())
        self.assertEqual(load_of_new(planned.table, EVEN), 0)
        owners = ranges.owners_in(planned.table)
        self.assertNotIn(OLD[0].owner, owners)
