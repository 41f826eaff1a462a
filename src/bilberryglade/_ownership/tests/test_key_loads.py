"""Load on blocks of keys, told by many instances."""

import typing
import unittest
from unittest import mock

from bilberryglade._ownership import key_loads
from bilberryglade._values import clock

INSTANCES: typing.Final = 12


class LoadTests(unittest.TestCase):
    """Twelve instances report what each of them saw."""

    def setUp(self) -> None:
        """Nothing was reported, on a clock that the test moves."""
        self.now = 100.0
        moved = mock.patch.object(clock, 'now', lambda: self.now)
        moved.start()
        self.addCleanup(moved.stop)
        self.sum = key_loads.LoadSum()

    def report(self, counts: dict[str, int], seconds: float) -> None:
        """Lets instances report `counts` in turn for so many seconds."""
        steps = round(seconds / key_loads.REPORT_SECONDS)
        for step in range(steps):
            self.now += key_loads.REPORT_SECONDS
            self.sum.take(
                {
                    'kind': 'report',
                    'sender': f'e{step % INSTANCES}',
                    'is_led': True,
                    'key_counts': {'s': counts},
                    'target_seconds': {'t': 0.1},
                },
            )

    def load(self, block: int) -> float:
        """Returns the load that counts for a block."""
        return self.sum.loads('s').get(block, 0)

    def test_rare_requests_count_in_full(self) -> None:
        """Many quiet blocks add up to the load that they are."""
        for block in range(200):
            self.report({str(block): 1}, key_loads.REPORT_SECONDS)
        told = sum(self.sum.loads('s').values())
        self.assertAlmostEqual(told, 1 / key_loads.REPORT_SECONDS, delta=0.3)

    def test_a_new_coordinator(self) -> None:
        """Its first seconds show loads in full, not what has added up."""
        self.report({'7': 8, '9': 2}, 1.2)
        self.assertAlmostEqual(self.load(7), 20, delta=3)
        self.assertAlmostEqual(self.load(9), 5, delta=1)

    def test_a_hot_key_shows_at_once(self) -> None:
        """Within a second its load is seen nearly whole."""
        self.report({'7': 1}, 10)
        self.report({'7': 20}, 1)
        self.assertGreater(self.load(7), 20)

    def test_a_key_that_cooled_down(self) -> None:
        """Within two seconds little of a hot key's load is left."""
        self.report({'7': 20}, 30)
        self.assertAlmostEqual(self.load(7), 50, delta=8)
        self.now += 2
        self.assertLess(self.load(7), 15)

    def test_speeds_of_targets_that_left(self) -> None:
        """A target's speed is kept for as long as it is listed."""
        self.report({}, key_loads.REPORT_SECONDS)
        self.now += 60
        self.sum.forget_gone({'t'})
        self.assertEqual(self.sum.seconds, {'t': 0.1})
        self.sum.forget_gone(set())
        self.assertEqual(self.sum.seconds, {})
