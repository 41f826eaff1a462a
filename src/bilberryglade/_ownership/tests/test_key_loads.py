"""Tests the load on blocks of keys, as reported by many instances."""

import typing
import unittest
from unittest import mock

from bilberryglade._ownership import key_loads
from bilberryglade._values import clock

INSTANCES: typing.Final = 12


class LoadTests(unittest.TestCase):
    """Tests the load computed from the reports of twelve instances."""

    def setUp(self) -> None:
        """Starts without reports, on a clock that the test advances."""
        self.now = 100.0
        patched = mock.patch.object(clock, 'now', lambda: self.now)
        patched.start()
        self.addCleanup(patched.stop)
        self.sum = key_loads.LoadSum()

    def report(self, counts: dict[str, int], seconds: float) -> None:
        """Sends reports of `counts` for `seconds`, from each instance in turn."""
        steps = round(seconds / key_loads.REPORT_SECONDS)
        for step in range(steps):
            self.now += key_loads.REPORT_SECONDS
            self.sum.handle_report(
                {
                    'kind': 'report',
                    'sender': f'e{step % INSTANCES}',
                    'is_led': True,
                    'key_counts': {'s': counts},
                    'target_seconds': {'t': 0.1},
                },
            )

    def load(self, block: int) -> float:
        """Returns the load of a block in requests a second."""
        return self.sum.loads('s').get(block, 0)

    def test_rare_requests_count_in_full(self) -> None:
        """The loads of many nearly idle blocks add up to the total load."""
        for block in range(200):
            self.report({str(block): 1}, key_loads.REPORT_SECONDS)
        total = sum(self.sum.loads('s').values())
        self.assertAlmostEqual(total, 1 / key_loads.REPORT_SECONDS, delta=0.3)

    def test_first_seconds_of_new_coordinator(self) -> None:
        """Loads are right at once, although the averages began at zero."""
        self.report({'7': 8, '9': 2}, 1.2)
        self.assertAlmostEqual(self.load(7), 20, delta=3)
        self.assertAlmostEqual(self.load(9), 5, delta=1)

    def test_hot_key_shows_within_a_second(self) -> None:
        """The load of a key that became hot is visible within a second."""
        self.report({'7': 1}, 10)
        self.report({'7': 20}, 1)
        self.assertGreater(self.load(7), 20)

    def test_load_drops_when_key_cools(self) -> None:
        """Two seconds after a hot key cools, little of its load is left."""
        self.report({'7': 20}, 30)
        self.assertAlmostEqual(self.load(7), 50, delta=8)
        self.now += 2
        self.assertLess(self.load(7), 15)

    def test_forget_unlisted_targets(self) -> None:
        """The speed of a target is dropped when the target is not listed."""
        self.report({}, key_loads.REPORT_SECONDS)
        self.now += 60
        self.sum.forget_unlisted({'t'})
        self.assertEqual(self.sum.work_seconds, {'t': 0.1})
        self.sum.forget_unlisted(set())
        self.assertEqual(self.sum.work_seconds, {})
