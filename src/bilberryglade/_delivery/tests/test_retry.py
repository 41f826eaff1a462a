"""Which outcomes are tried again."""

import unittest

from bilberryglade._delivery import retry
from bilberryglade._values import outcomes

REASON = outcomes.Reason


def decide(
    outcome: outcomes.Outcome,
    repeatable: bool = False,
    elsewhere: bool = False,
    attempts: int = 1,
    left_seconds: float = 1,
    tokens: float = 5,
) -> retry.Decision:
    """Decides about one situation."""
    situation = retry.Situation(
        outcome, repeatable, elsewhere, attempts, left_seconds
    )
    return retry.decide(situation, retry.Budget(tokens))


class RetryTest(unittest.TestCase):
    """The table of retries."""

    def test_never_again_after_it_may_have_run(self) -> None:
        """An unknown outcome is final unless the request may be repeated."""
        for reason in REASON:
            with self.subTest(reason):
                unknown = outcomes.Unknown(reason)
                self.assertEqual(decide(unknown), retry.Answer(unknown))
        lost = outcomes.Unknown(REASON.answer_lost)
        self.assertIsInstance(decide(lost, repeatable=True), retry.Retry)

    def test_which_refusals_pass(self) -> None:
        """Refusals that another attempt cannot change are final."""
        again = {reason for reason in REASON if _tries_again(reason, False)}
        self.assertEqual(again, retry.MOVING | retry.PASSING)
        moved = {reason for reason in REASON if _tries_again(reason, True)}
        self.assertEqual(moved, again | retry.CROWDED)

    def test_bounds(self) -> None:
        """Attempts, budget and the caller's deadline bound retries."""
        refused = outcomes.NotRun(REASON.target_refused)
        final = retry.Answer(
            outcomes.NotRun(REASON.target_refused, 1000),
        )
        self.assertEqual(decide(refused, attempts=4), final)
        self.assertEqual(decide(refused, tokens=0.9), final)
        self.assertEqual(decide(refused, left_seconds=0.01), final)
        self.assertEqual(
            decide(refused, elsewhere=True),
            retry.Retry(0, retry.Budget(4)),
        )

    def test_moving_owner_is_waited_for(self) -> None:
        """While an owner changes, waiting costs no budget."""
        moving = outcomes.NotRun(REASON.no_owner)
        waits = [
            decide(moving, attempts=attempts, tokens=0)
            for attempts in (1, 2, 9, 400)
        ]
        empty = retry.Budget(0)
        self.assertEqual(
            waits,
            [retry.Retry(wait, empty) for wait in (0.01, 0.02, 0.2, 0.2)],
        )

    def test_budget_is_a_share(self) -> None:
        """Of many failing requests a tenth is tried again."""
        budget = retry.Budget(0)
        retries = 0
        for _ in range(1000):
            budget = retry.earn(budget)
            decision = decide(
                outcomes.NotRun(REASON.target_refused),
                tokens=budget.tokens,
            )
            if isinstance(decision, retry.Retry):
                budget = decision.budget
                retries += 1
        self.assertAlmostEqual(retries, 100, delta=1)


def _tries_again(reason: outcomes.Reason, elsewhere: bool) -> bool:
    decision = decide(outcomes.NotRun(reason), elsewhere=elsewhere)
    return isinstance(decision, retry.Retry)
