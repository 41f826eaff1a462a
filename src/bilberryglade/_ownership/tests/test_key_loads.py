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
        patched = mock.patch.object(clock, 'now', lambda: self.now)
        patched.start()
        self.addCleanup(patched.stop)
        self.sum = key_loads.LoadSum()

    def report(self, counts: dict[str, int], seconds: float) -> None:
        """Lets instances report `counts` in turn for so many seconds."""
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
        """Returns the load that counts for a block."""
        return self.sum.loads('s').get(block, 0)

    def test_rare_requests_count_in_full(self) -> None:
        """Many quiet blocks add up to the load that they are."""
        for block in range(200):
            self.report({str(block): 1}, key_loads.REPORT_SECONDS)
        total = sum(self.sum.loads('s').values())
        self.assertAlmostEqual(total, 1 / key_loads.REPORT_SECONDS, delta=0.3)

    def test_first_seconds_of_new_coordinator(self) -> None:
        """Its first seconds show loads in full, not what has added up."""
        self.report({'7': 8, '9': 2}, 1.2)
        self.assertAlmostEqual(self.load(7), 20, delta=3)
        self.assertAlmostEqual(self.load(9), 5, delta=1)

    def test_hot_key_shows_within_a_second(self) -> None:
        """Within a second its load is seen nearly whole."""
        self.report({'7': 1}, 10)
        self.report({'7': 20}, 1)
        self.assertGreater(self.load(7), 20)

    def test_load_drops_when_key_cools(self) -> None:
        """Within two seconds little of a hot key's load is left."""
        self.report({'7': 20}, 30)
        self.assertAlmostEqual(self.load(7), 50, delta=8)
        self.now += 2
        self.assertLess(self.load(7), 15)

    def test_forget_unlisted_targets(self) -> None:
        """A target's speed is kept for as long as it is listed."""
        self.report({}, key_loads.REPORT_SECONDS)
        self.now += 60
        self.sum.forget_unlisted({'t'})
        self.assertEqual(self.sum.work_seconds, {'t': 0.1})
        self.sum.forget_unlisted(set())
        self.assertEqual(self.sum.work_seconds, {})
