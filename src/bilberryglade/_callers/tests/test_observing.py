"""What an observer is told of each kind of response."""

import unittest

from starlette import responses

from bilberryglade._callers import observing, problems
from bilberryglade._values import outcomes

OVER_RATE = outcomes.Reason.over_rate
LOST = outcomes.Reason.answer_lost
WITHDRAWN = outcomes.Reason.key_withdrawn


class ExchangeTest(unittest.TestCase):
    """Each response has its outcome and reason."""

    def test_outcomes(self) -> None:
        """Answers, refusals and withheld answers are told apart."""
        cases = (
            (responses.Response(b'', 500), 'answered', ''),
            (
                problems.refusal(outcomes.NotRun(OVER_RATE)),
                'not_run',
                OVER_RATE,
            ),
            (problems.refusal(outcomes.Unknown(LOST)), 'unknown', LOST),
            (problems.withheld(WITHDRAWN), 'withheld', WITHDRAWN),
        )
        for response, outcome, reason in cases:
            with self.subTest(outcome=outcome):
                found = observing.exchange_of(
                    observing.Matched('minders'),
                    response,
                    0.1,
                )
                self.assertEqual(
                    (found.outcome, found.reason, found.organisation),
                    (outcome, reason, 'minders'),
                )
