"""Tests planning: which keys move, and that tables cover every key once."""

import random
import statistics
import typing
import unittest

import hypothesis
from hypothesis import strategies

from bilberryglade._ownership import planning, ranges
from bilberryglade._values import leases

#: Highest load of an owner, relative to the mean, that counts as balanced.
FAIR_RATIO: typing.Final = 1.35


def candidates(names: typing.Iterable[str]) -> list[ranges.Candidate]:
    """Returns candidates of equal weight, each in its first incarnation."""
    return [
        ranges.Candidate(ranges.Owner(name, 1), weight=2.0) for name in names
    ]


def is_whole(table: ranges.Table) -> bool:
    """Returns whether a table covers every key exactly once."""
    next_key = 0
    for entry in table:
        if entry.first != next_key or entry.last < entry.first:
            return False
        next_key = entry.last + 1
    return next_key == leases.LAST_KEY + 1


def with_fence(table: ranges.Table, fence: int) -> ranges.Table:
    """Returns a table whose new ranges have `fence`, as after its record."""
    return tuple(
        entry._replace(fence=fence) if ranges.is_new(entry) else entry
        for entry in table
    )


class Round(typing.NamedTuple):
    """Targets that are present in a planning round, and the load on blocks."""

    present: frozenset[str]
    loads: dict[int, float]


names = strategies.frozensets(
    strategies.sampled_from([f't{number}' for number in range(9)]),
    max_size=9,
)
load_maps = strategies.dictionaries(
    strategies.integers(0, ranges.BLOCKS - 1),
    strategies.floats(0.1, 90),
    max_size=12,
)


class PlanTests(unittest.TestCase):
    """Tests plans for changing targets and loads."""

    @hypothesis.given(
        strategies.lists(
            strategies.builds(Round, names, load_maps), max_size=12
        ),
    )
    @hypothesis.settings(max_examples=120, deadline=None)
    def test_every_key_has_one_owner(
        self,
        rounds: list[Round],
    ) -> None:
        """Over any rounds, each key has one owner, which is a candidate."""
        table: ranges.Table = ()
        for number, (present, loads) in enumerate(rounds):
            targets = candidates(sorted(present))
            table = planning.plan(table, targets, loads, may_balance=True).table
            table = with_fence(table, number + 1)
            if not table:
                self.assertFalse(targets)
                continue
            self.assertTrue(is_whole(table))
            if targets:
                owners = {candidate.owner for candidate in targets}
                self.assertLessEqual(
                    {candidate.owner for candidate in table}, owners
                )

    def test_nothing_moves_without_reason(self) -> None:
        """A plan for the same targets and balanced load changes nothing."""
        targets = candidates('abcd')
        table = planning.plan((), targets, {}, may_balance=False).table
        again = planning.plan(
            with_fence(table, 1), targets, {}, may_balance=True
        )
        self.assertFalse(again.is_changed)

    def test_lost_target_moves_only_its_keys(self) -> None:
        """Ranges of the remaining targets keep their owners."""
        table = with_fence(
            planning.plan((), candidates('abcd'), {}, may_balance=False).table,
            1,
        )
        after = planning.plan(
            table, candidates('abc'), {}, may_balance=False
        ).table
        kept = [entry for entry in table if entry.owner.target != 'd']
        for entry in kept:
            with self.subTest(entry=entry):
                self.assertIn(entry, after)

    def test_restarted_target_needs_new_fence(self) -> None:
        """A target that started again keeps its keys under a new fence."""
        table = with_fence(
            planning.plan((), candidates('ab'), {}, may_balance=False).table, 7
        )
        restarted = [
            ranges.Candidate(ranges.Owner('a', 2), 2.0),
            *candidates('b'),
        ]
        after = planning.plan(table, restarted, {}, may_balance=False).table
        kept = [entry for entry in after if entry.owner.target == 'a']
        self.assertTrue(kept)
        self.assertTrue(all(ranges.is_new(entry) for entry in kept))
        self.assertEqual({entry.owner.born for entry in kept}, {2})

    def test_new_target_gets_keys(self) -> None:
        """A target that joins gets a part of a loaded owner's keys."""
        table = with_fence(
            planning.plan((), candidates('ab'), {}, may_balance=False).table, 1
        )
        after = planning.plan(
            table, candidates('abc'), {1000: 40.0}, may_balance=False
        ).table
        self.assertIn('c', {entry.owner.target for entry in after})
        self.assertTrue(is_whole(after))

    def test_hot_key_stays_at_its_owner(self) -> None:
        """Its neighbours move to other owners instead."""
        hot = 500
        targets = candidates('abcd')
        table = with_fence(
            planning.plan((), targets, {}, may_balance=False).table, 1
        )
        loads: dict[int, float] = {hot: 80.0, hot - 3: 6.0, hot + 3: 6.0}
        key = hot * ranges.BLOCK_KEYS
        before = _owner_of(table, key)
        for number in range(2, 9):
            planned = planning.plan(table, targets, loads, may_balance=True)
            table = with_fence(planned.table, number)
        self.assertEqual(_owner_of(table, key), before)
        owner_load = sum(
            ranges.load_of(entry.first, entry.last, loads)
            for entry in table
            if entry.owner == before
        )
        self.assertLess(owner_load, 82)

    def test_hot_block_does_not_stop_balancing(self) -> None:
        """An owner overloaded by a single block has no keys to give.

        The load of the other owners is balanced all the same.
        """
        targets = candidates('abcd')
        table = with_fence(
            planning.plan((), targets, {}, may_balance=False).table, 1
        )
        hot = ranges.block_of(table[0].first)
        second = ranges.block_of(table[1].first)
        loads: dict[int, float] = {hot: 60.0}
        loads.update({second + offset: 6.0 for offset in range(0, 50, 10)})
        for number in range(2, 12):
            planned = planning.plan(table, targets, loads, may_balance=True)
            table = with_fence(planned.table, number)
        loads_by_owner = planning.owner_loads(table, targets, loads)
        other_loads = sorted(loads_by_owner.values())[:-1]
        max_load = FAIR_RATIO * statistics.fmean(other_loads)
        self.assertLessEqual(other_loads[-1], max_load)


class KeysMovedTests(unittest.TestCase):
    """Tests the count of keys that change owner between two tables."""

    def test_count(self) -> None:
        """A key counts if its owner changes, however the ranges are split."""
        first_owner, second_owner = (ranges.Owner(name, 1) for name in 'ab')
        last = leases.LAST_KEY
        before = (
            ranges.Range(0, 99, first_owner, 2),
            ranges.Range(100, last, second_owner, 2),
        )
        cases = (
            ('same', before, 0),
            (
                'cut',
                (
                    ranges.Range(0, 49, first_owner, 2),
                    *_second_half(first_owner, second_owner),
                ),
                0,
            ),
            (
                'given',
                (
                    ranges.Range(0, 49, second_owner, 4),
                    *_second_half(first_owner, second_owner),
                ),
                50,
            ),
            ('all', (ranges.Range(0, last, first_owner, 4),), last - 99),
        )
        for name, after, moved in cases:
            with self.subTest(name=name):
                self.assertEqual(ranges.keys_moved(before, after), moved)


def _second_half(
    first_owner: ranges.Owner, second_owner: ranges.Owner
) -> ranges.Table:
    return (
        ranges.Range(50, 99, first_owner, 2),
        ranges.Range(100, leases.LAST_KEY, second_owner, 2),
    )


class TargetSpeedTests(unittest.TestCase):
    """Tests plans for targets of unequal speed."""

    def setUp(self) -> None:
        """Plans keys of six targets; c and d are three times as fast."""
        self.targets = [
            ranges.Candidate(
                ranges.Owner(name, 1),
                weight=12.0 if name in 'cd' else 2.0,
                rate=30.0 if name in 'cd' else 10.0,
            )
            for name in 'abcdef'
        ]
        planned = planning.plan((), self.targets, {}, may_balance=False)
        self.table = with_fence(planned.table, 1)

    def balance(self, loads: dict[int, float], rounds: int = 12) -> None:
        """Balances a constant load over several planning rounds."""
        for number in range(2, rounds):
            planned = planning.plan(
                self.table, self.targets, loads, may_balance=True
            )
            self.table = with_fence(planned.table, number)
            self.assertTrue(is_whole(self.table))

    def test_hot_key_moves_to_fast_target(self) -> None:
        """The key moves once, and other keys of the new owner move away."""
        key = self.table[0].first + 5 * ranges.BLOCK_KEYS
        hot = ranges.block_of(key)
        self.assertEqual(_owner_of(self.table, key).target, 'a')
        loads: dict[int, float] = dict.fromkeys(range(0, 4096, 64), 0.5)
        loads[hot] = 40.0
        self.balance(loads)
        owner = _owner_of(self.table, key)
        self.assertIn(owner.target, 'cd')
        before = [
            entry for entry in self.table if entry.first <= key <= entry.last
        ]
        self.balance(loads)
        after = [
            entry for entry in self.table if entry.first <= key <= entry.last
        ]
        self.assertEqual(before, after)
        loads_by_owner = planning.owner_loads(self.table, self.targets, loads)
        self.assertLess(loads_by_owner[owner] * 12.0, 40.0 + 10.0)

    def test_fast_targets_carry_more(self) -> None:
        """The load of each target is close to its weight."""
        loads: dict[int, float] = dict.fromkeys(range(0, 4096, 16), 0.1)
        self.balance(loads, rounds=40)
        loads_by_owner = planning.owner_loads(self.table, self.targets, loads)
        mean = statistics.fmean(loads_by_owner.values())
        for owner, load in loads_by_owner.items():
            with self.subTest(owner=owner):
                self.assertLess(load, mean * 1.6)

    def test_moving_ranges_are_not_moved_again(self) -> None:
        """A range that its owner was not granted yet is not split or moved."""
        loads: dict[int, float] = {0: 30.0, 40: 20.0, 60: 20.0}
        moving = frozenset(self.table)
        planned = planning.plan(
            self.table, self.targets, loads, may_balance=True, moving=moving
        )
        self.assertFalse(planned.is_changed)


class FenceTests(unittest.TestCase):
    """Tests the fences of grants and releases."""

    def test_order(self) -> None:
        """A release's fence lies between those of the old and new owner."""
        owner = ranges.Owner('a', 1)
        for offset in (0, 1, 900):
            with self.subTest(offset=offset):
                old = ranges.fence_at(offset)
                new = ranges.Range(0, 9, owner, ranges.fence_at(offset + 1))
                self.assertGreater(old, ranges.NEW_FENCE)
                self.assertLess(old, ranges.release_fence(new))
                self.assertLess(ranges.release_fence(new), new.fence)


def _owner_of(table: ranges.Table, key: int) -> ranges.Owner:
    return next(
        entry.owner for entry in table if entry.first <= key <= entry.last
    )


class CountedLoads(dict[int, float]):
    """Loads by block that count how often an entry is read."""

    def __init__(self, loads: dict[int, float]) -> None:
        """Starts with no reads counted."""
        super().__init__(loads)
        self.reads = 0

    def items(self) -> typing.Any:
        """Returns the items; counts a read of each entry."""
        self.reads += len(self)
        return super().items()

    def get(self, block: int, default: float = 0) -> float:  # type: ignore
        """Returns the load of a block; counts one read."""
        self.reads += 1
        return super().get(block, default)


class ManyTargetsTests(unittest.TestCase):
    """Tests plans for a hundred targets, a third of which leaves and returns."""

    def test_plan_reads_each_load_few_times(self) -> None:
        """The number of reads must not grow with the number of ranges.

        Planning runs on the event loop, and a long plan would delay the renewal
        of leases.
        """
        rng = random.Random(1)
        loads = CountedLoads(
            {
                rng.randrange(ranges.BLOCKS): rng.expovariate(1)
                for _ in range(1500)
            }
        )
        targets = candidates([f't{number:03}' for number in range(100)])
        table: ranges.Table = ()
        for number, present in enumerate(
            (targets, targets[:66], targets, targets)
        ):
            loads.reads = 0
            planned = planning.plan(table, present, loads, may_balance=True)
            table = with_fence(planned.table, number + 2)
            with self.subTest(number=number):
                self.assertTrue(is_whole(table))
                self.assertLess(loads.reads, 10 * ranges.BLOCKS)
