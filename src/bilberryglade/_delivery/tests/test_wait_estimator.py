"""How long callers had waited before a request."""

import unittest

from bilberryglade._delivery import wait_estimator


class WaitEstimatorTests(unittest.TestCase):
    """First requests of a route, and those of callers who came back."""

    def test_wait_of_returning_callers(self) -> None:
        """What is missing of the usual patience is what was waited."""
        estimator = wait_estimator.WaitEstimator()
        for _ in range(10):
            self.assertEqual(estimator.record_and_estimate('r', 2.0), 0)
        for patience in (1.7, 0.9):
            with self.subTest(patience=patience):
                self.assertAlmostEqual(
                    estimator.record_and_estimate('r', patience), 2.0 - patience
                )

    def test_longer_patience_changes_no_estimate(self) -> None:
        """A longer patience than the usual one does not change that."""
        estimator = wait_estimator.WaitEstimator()
        estimator.record_and_estimate('r', 2.0)
        estimator.record_and_estimate('r', 2.0)
        self.assertEqual(estimator.record_and_estimate('r', 30.0), 0)
        self.assertEqual(estimator.record_and_estimate('r', 2.0), 0)

    def test_routes_are_separate(self) -> None:
        """The patience of one route says nothing of another's."""
        estimator = wait_estimator.WaitEstimator()
        estimator.record_and_estimate('r', 5.0)
        self.assertEqual(estimator.record_and_estimate('s', 2.0), 0)

    def test_usual_patience_changes(self) -> None:
        """Callers that now wait for less are first requests after a while."""
        estimator = wait_estimator.WaitEstimator()
        for _ in range(200):
            estimator.record_and_estimate('r', 2.0)
        for _ in range(wait_estimator.RECENT_REQUESTS):
            estimator.record_and_estimate('r', 1.0)
        self.assertEqual(estimator.record_and_estimate('r', 1.0), 0)
