"""Choice among targets."""

import collections
import random
import unittest

from bilberryglade._targets import balancing


class BalancingTest(unittest.TestCase):
    """Balancing policies."""

    def test_two_choices_avoid_a_straggler(self) -> None:
        """A slow target wins only against itself."""
        views = [
            balancing.TargetView(f'target-{number}', seconds=0.01)
            for number in range(5)
        ]
        views[0] = balancing.after_answer(views[0], 0.1)
        chance = random.Random(1)
        counts = collections.Counter(
            balancing.choose_of_two(views, chance) for _ in range(200)
        )
        self.assertEqual(counts['target-0'], 0)
        self.assertEqual(len(counts), 4)

    def test_a_recovered_straggler_comes_back(self) -> None:
        """The moving average falls with each quick answer."""
        view = balancing.after_answer(balancing.TargetView('slow'), 0.1)
        for _ in range(20):
            view = balancing.after_answer(view, 0.01)
        self.assertLess(balancing.cost(view), 0.012)

    def test_a_late_report_draws_everything_to_one_target(self) -> None:
        """The baseline `reported` herds onto a stale report."""
        views = [
            balancing.TargetView('idle-by-report', outstanding=50),
            balancing.TargetView('busy-by-report', reported=1),
        ]
        chance = random.Random(1)
        self.assertEqual(
            balancing.choose_reported(views, chance),
            'idle-by-report',
        )
        self.assertEqual(
            balancing.choose_of_two(views, chance),
            'busy-by-report',
        )
