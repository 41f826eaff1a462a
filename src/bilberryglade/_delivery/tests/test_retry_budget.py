"""Retries stay within the fleet's budget, however often instances start again."""

import typing
import unittest

from bilberryglade._delivery import retry_budget
from bilberryglade._values import site

BOUNDS: typing.Final = site.Bounds(
    config_apply=2,
    drain=2,
    grace=6,
    longest_lease=10,
    retry_ratio=0.2,
    retry_slack=64,
    retry_window=10,
    cold_factor=1.5,
    cold_slack=5,
)
STEP_SECONDS: typing.Final = 0.1


class Fleet:
    """Instances of which each request is retried as often as is allowed."""

    def __init__(self, instances: int, requests_per_second: float) -> None:
        """Starts now; requests are spread evenly."""
        self.instances = instances
        self.per_step = requests_per_second * STEP_SECONDS / instances
        self.retries: list[float] = []

    def play(self, seconds: float, life_seconds: float) -> None:
        """Notes the retries of one instance, started again after each life."""
        budget = retry_budget.RetryBudget()
        age: float = 0
        requests: float = 0
        for step in range(round(seconds / STEP_SECONDS)):
            age += STEP_SECONDS
            if age > life_seconds:
                age = 0
                budget = retry_budget.RetryBudget()
            requests += self.per_step
            while requests >= 1:
                requests -= 1
                budget = retry_budget.after_request(
                    budget, BOUNDS, self.instances, age
                )
            budget = self._retry(budget, step * STEP_SECONDS)

    def _retry(
        self, budget: retry_budget.RetryBudget, now: float
    ) -> retry_budget.RetryBudget:
        """Retries as often as is allowed; returns what is left."""
        reduced = retry_budget.after_retry(budget)
        while reduced is not None:
            budget = reduced
            self.retries.append(now)
            reduced = retry_budget.after_retry(budget)
        return budget


class BudgetTests(unittest.TestCase):
    """The sum over all instances."""

    def most(self, retries: list[float]) -> int:
        """Returns the most retries in any window."""
        counts = [
            sum(at <= other < at + BOUNDS.retry_window for other in retries)
            for at in retries
        ]
        return max(counts, default=0)

    def test_restarts_bring_no_retries_beyond_the_budget(self) -> None:
        """Guards against a full reserve in each life (BUDGET)."""
        for life_seconds in (0.5, 2.0, 5.0, 9.0, 100.0):
            for rate in (8, 40, 400):
                with self.subTest(life_seconds=life_seconds, rate=rate):
                    fleet = Fleet(6, rate)
                    fleet.play(30, life_seconds)
                    allowed = (
                        BOUNDS.retry_slack
                        + BOUNDS.retry_ratio * rate * BOUNDS.retry_window
                    )
                    most = self.most(fleet.retries) * fleet.instances
                    self.assertLessEqual(most, allowed)

    def test_reserve_is_whole_after_a_window(self) -> None:
        """An instance that has run for long retries a whole burst at once."""
        budget = retry_budget.after_request(
            retry_budget.RetryBudget(), BOUNDS, 6, BOUNDS.retry_window
        )
        self.assertAlmostEqual(budget.tokens, retry_budget.capacity(BOUNDS, 6))
