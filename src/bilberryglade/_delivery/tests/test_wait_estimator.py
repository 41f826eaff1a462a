"""Tests of the estimate how long callers had waited before a request."""

import unittest

from bilberryglade._delivery import wait_estimator


class WaitEstimatorTests(unittest.TestCase):
    """First requests of a route, and retries with less patience."""

    def test_wait_of_returning_callers(self) -> None:
        """The earlier wait is the usual patience less the present one."""
        estimator = wait_estimator.WaitEstimator()
        for _ in range(10):
            self.assertEqual(estimator.record_and_estimate('r', 2.0), 0)
        for patience in (1.7, 0.9):
            with self.subTest(patience=patience):
                self.assertAlmostEqual(
                    estimator.record_and_estimate('r', patience), 2.0 - patience
                )

    def test_longer_patience_changes_no_estimate(self) -> None:
        """A single longer patience does not become the usual one."""
        estimator = wait_estimator.WaitEstimator()
        estimator.record_and_estimate('r', 2.0)
        estimator.record_and_estimate('r', 2.0)
        self.assertEqual(estimator.record_and_estimate('r', 30.0), 0)
        self.assertEqual(estimator.record_and_estimate('r', 2.0), 0)

    def test_routes_are_separate(self) -> None:
        """The usual patience of one route does not apply to another."""
        estimator = wait_estimator.WaitEstimator()
        estimator.record_and_estimate('r', 5.0)
        self.assertEqual(estimator.record_and_estimate('s', 2.0), 0)

    def test_usual_patience_changes(self) -> None:
        """A shorter patience becomes the usual one after enough requests."""
        estimator = wait_estimator.WaitEstimator()
        for _ in range(200):
            estimator.record_and_estimate('r', 2.0)
        for _ in range(wait_estimator.RECENT_REQUESTS):
            estimator.record_and_estimate('r', 1.0)
        self.assertEqual(estimator.record_and_estimate('r', 1.0), 0)
