"""Tests the division of load by the speed of targets."""

import typing
import unittest

import hypothesis
from hypothesis import strategies

from bilberryglade._ownership import shares

FAST: typing.Final = shares.Capacity(2, 0.05)
USUAL: typing.Final = shares.Capacity(2, 0.1)
SLOW: typing.Final = shares.Capacity(2, 0.2)
ALL: typing.Final = (FAST, USUAL, SLOW)
capacities: typing.Final = strategies.lists(
    strategies.builds(
        shares.Capacity,
        strategies.integers(1, 16),
        strategies.floats(0.001, 5),
    ),
    min_size=1,
    max_size=20,
)


class DivideTests(unittest.TestCase):
    """Tests which targets get load when it is low and when it is high."""

    def test_low_load_goes_to_fast_targets(self) -> None:
        """Slower targets only get enough load to measure their speed."""
        fast, usual, slow = shares.divide(ALL, 8)
        self.assertGreater(fast, 7)
        self.assertLess(usual, 1)
        self.assertLess(slow, 1)

    def test_high_load_uses_all_targets(self) -> None:
        """Near capacity all targets have about the same utilisation."""
        target_loads = shares.divide(ALL, 66)
        for target_load, capacity in zip(target_loads, ALL, strict=True):
            with self.subTest(capacity=capacity):
                self.assertAlmostEqual(
                    target_load / capacity.rate, 0.94, delta=0.04
                )

    @hypothesis.given(capacities, strategies.floats(0.01, 5000))
    @hypothesis.settings(max_examples=150, deadline=None)
    def test_all_load_is_divided(
        self,
        targets: list[shares.Capacity],
        load: float,
    ) -> None:
        """The parts add up to the load, and every target gets some."""
        target_loads = shares.divide(targets, load)
        self.assertTrue(all(target_load > 0 for target_load in target_loads))
        self.assertGreaterEqual(sum(target_loads), load * 0.999)

    def test_equal_targets(self) -> None:
        """Targets of equal capacity get equal parts of the load."""
        target_loads = shares.divide((USUAL, USUAL, USUAL, USUAL), 30)
        self.assertEqual(len(set(target_loads)), 1)
