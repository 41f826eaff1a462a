"""Tests which outcomes of an attempt lead to a retry."""

import unittest

from bilberryglade._delivery import retry
from bilberryglade._values import outcomes

REASON = outcomes.Reason


def decide(
    outcome: outcomes.Outcome,
    repeatable: bool = False,
    has_untried_target: bool = False,
    attempts: int = 1,
    remaining_seconds: float = 1,
    tokens: float = 5,
) -> retry.Decision:
    """Returns the decision about one attempt."""
    attempt_result = retry.AttemptResult(
        outcome, repeatable, has_untried_target, attempts, remaining_seconds
    )
    return retry.decide(attempt_result, retry.Budget(tokens))


class RetryTest(unittest.TestCase):
    """Decisions about retries."""

    def test_unknown_outcome_is_not_retried(self) -> None:
        """An unknown outcome is final unless the request may be repeated."""
        for reason in REASON:
            with self.subTest(reason):
                unknown = outcomes.Unknown(reason)
                self.assertEqual(decide(unknown), retry.ReturnOutcome(unknown))
        lost = outcomes.Unknown(REASON.answer_lost)
        self.assertIsInstance(decide(lost, repeatable=True), retry.Retry)

    def test_which_refusals_are_retried(self) -> None:
        """Only refusals that another attempt may change are retried."""
        retried = {reason for reason in REASON if _is_retried(reason, False)}
        self.assertEqual(
            retried, retry.OWNER_CHANGE_REASONS | retry.TRANSIENT_REASONS
        )
        retried_elsewhere = {
            reason for reason in REASON if _is_retried(reason, True)
        }
        self.assertEqual(retried_elsewhere, retried | retry.OVERLOAD_REASONS)

    def test_retry_bounds(self) -> None:
        """Attempts, budget and the caller's deadline limit retries."""
        refused = outcomes.NotRun(REASON.target_refused)
        final = retry.ReturnOutcome(
            outcomes.NotRun(REASON.target_refused, 1000),
        )
        self.assertEqual(decide(refused, attempts=4), final)
        self.assertEqual(decide(refused, tokens=0.9), final)
        self.assertEqual(decide(refused, remaining_seconds=0.01), final)
        self.assertEqual(
            decide(refused, has_untried_target=True),
            retry.Retry(0, retry.Budget(4)),
        )

    def test_owner_change_costs_no_budget(self) -> None:
        """Retries while an owner changes cost no budget."""
        owner_changing = outcomes.NotRun(REASON.no_owner)
        waits = [
            decide(owner_changing, attempts=attempts, tokens=0)
            for attempts in (1, 2, 9, 400)
        ]
        empty = retry.Budget(0)
        self.assertEqual(
            waits,
            [retry.Retry(wait, empty) for wait in (0.01, 0.02, 0.2, 0.2)],
        )

    def test_budget_is_a_share(self) -> None:
        """The budget allows retries for a tenth of many failing requests."""
        budget = retry.Budget(0)
        retries = 0
        for _ in range(1000):
            budget = retry.refill(budget)
            decision = decide(
                outcomes.NotRun(REASON.target_refused),
                tokens=budget.tokens,
            )
            if isinstance(decision, retry.Retry):
                budget = decision.budget
                retries += 1
        self.assertAlmostEqual(retries, 100, delta=1)


def _is_retried(reason: outcomes.Reason, has_untried_target: bool) -> bool:
    decision = decide(
        outcomes.NotRun(reason), has_untried_target=has_untried_target
    )
    return isinstance(decision, retry.Retry)
