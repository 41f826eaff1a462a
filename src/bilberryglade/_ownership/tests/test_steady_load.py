"""Tests planning under a steady load with noise in the measurements."""

import bisect
import itertools
import random
import typing
import unittest
from unittest import mock

from bilberryglade._ownership import key_loads, planning, ranges, shares
from bilberryglade._values import clock, leases

PLACES: typing.Final = 3
STEP_SECONDS: typing.Final = 0.4
SETTLE_SECONDS: typing.Final = 10.0
#: Maximum rate at which keys move: on average each key at most once a minute,
#: since which keys are busy changes within minutes.
MAX_MOVED_PER_SECOND: typing.Final = (leases.LAST_KEY + 1) / 60
#: Standard deviation of a reported time of work, relative to its true value.
WORK_NOISE: typing.Final = 0.17


class LoadModel:
    """Simulates random requests on keys of unequal load.

    The targets are of unequal speed; the keys' owners are planned as by a
    coordinator.
    """

    def __init__(self, seed: int, targets: int, load: float) -> None:
        """`targets` is their number, `load` the total requests a second."""
        self.rng = random.Random(seed)
        self.load = load
        self.now: float = 0
        self.work_seconds = {
            f't{number:02}': 0.09 * self.rng.uniform(0.7, 1.5)
            for number in range(targets)
        }
        self.cumulative_weights = list(itertools.accumulate(self._weights()))
        self.load_sum = key_loads.LoadSum()
        self.table: ranges.Table = ()

    def run(self, seconds: float) -> int:
        """Advances the time; returns how many keys changed owner."""
        moved = 0
        with mock.patch.object(clock, 'now', lambda: self.now):
            until = self.now + seconds
            while self.now < until:
                self.now += STEP_SECONDS
                self._report()
                moved += self._plan()
        return moved

    def max_utilisation(self) -> float:
        """Returns the highest utilisation of a target by its keys' load."""
        loads: dict[str, float] = dict.fromkeys(self.work_seconds, 0)
        for entry in self.table:
            load = self._load_before(entry.last) - self._load_before(
                entry.first - 1
            )
            loads[entry.owner.target] += load
        return max(
            load * self.work_seconds[name] / PLACES
            for name, load in loads.items()
        )

    def _weights(self) -> list[float]:
        """Returns each block's part of the load; busy blocks lie together."""
        weights = list(itertools.repeat(0.002, ranges.BLOCKS))
        centres = [self.rng.randrange(ranges.BLOCKS) for _ in range(12)]
        for rank in range(1, 1500):
            centre = centres[int(self.rng.random() ** 2 * len(centres))]
            block = int(self.rng.gauss(centre, 60)) % ranges.BLOCKS
            weights[block] += rank**-0.7
        total = sum(weights)
        return [weight / total for weight in weights]

    def _load_before(self, last: int) -> float:
        """Returns the load on the keys up to `last`, which ends a block."""
        block = ranges.block_of(last + 1)
        return self.cumulative_weights[block - 1] * self.load if block else 0

    def _report(self) -> None:
        """Reports the requests of one step and noisy times of work."""
        counts: dict[str, int] = {}
        requests = round(
            self.rng.gauss(
                self.load * STEP_SECONDS, (self.load * STEP_SECONDS) ** 0.5
            )
        )
        for _ in range(requests):
            block = bisect.bisect(self.cumulative_weights, self.rng.random())
            name = str(min(block, ranges.BLOCKS - 1))
            counts[name] = counts.get(name, 0) + 1
        self.load_sum.handle_report(
            {
                'kind': 'report',
                'sender': 'a',
                'is_led': True,
                'key_counts': {'s': counts},
                'target_seconds': {
                    name: seconds * max(self.rng.gauss(1, WORK_NOISE), 0.3)
                    for name, seconds in self.work_seconds.items()
                },
            },
        )

    def _plan(self) -> int:
        """Plans the table; returns how many keys changed owner."""
        loads = self.load_sum.loads('s')
        capacities = [
            shares.Capacity(PLACES, self.load_sum.work_seconds[name])
            for name in self.work_seconds
        ]
        weights = shares.divide(capacities, sum(loads.values()))
        candidates = [
            ranges.Candidate(ranges.Owner(name, 1), weight, capacity.rate)
            for name, weight, capacity in zip(
                self.work_seconds, weights, capacities, strict=True
            )
        ]
        is_due = round(self.now / STEP_SECONDS) % 2 == 0
        planned = planning.plan(
            self.table, candidates, loads, may_balance=is_due
        )
        before = self.table
        self.table = tuple(
            entry._replace(fence=round(self.now * 10))
            if ranges.is_new(entry)
            else entry
            for entry in planned.table
        )
        return ranges.keys_moved(before, self.table)


class SteadyLoadTests(unittest.TestCase):
    """Tests twelve targets at about 60% of their capacity."""

    def test_steady_load_moves_few_keys(self) -> None:
        """Noise in the measurements moves few keys and overloads no target."""
        for seed in range(3):
            with self.subTest(seed=seed):
                model = LoadModel(seed, targets=12, load=235)
                model.run(SETTLE_SECONDS)
                moved = model.run(20)
                self.assertLess(moved / 20, MAX_MOVED_PER_SECOND)
                self.assertLess(model.max_utilisation(), 0.9)

    def test_slowed_target_loses_keys(self) -> None:
        """A target that becomes four times as slow is relieved within 3 s."""
        model = LoadModel(1, targets=12, load=235)
        model.run(SETTLE_SECONDS)
        slow = min(model.work_seconds, key=model.work_seconds.__getitem__)
        model.work_seconds[slow] *= 4
        before = model.max_utilisation()
        model.run(3)
        self.assertGreater(before, 1.5)
        self.assertLess(model.max_utilisation(), 1.0)
