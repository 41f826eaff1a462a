"""What several sends of one request say together."""

import itertools
import typing
import unittest

from bilberryglade._values import outcomes

Sends: typing.TypeAlias = tuple[outcomes.Outcome, ...]

REASON: typing.Final = outcomes.Reason
GOOD: typing.Final = outcomes.Answered(200, (), b'')
FAILED: typing.Final = outcomes.Answered(500, (), b'')
LOST: typing.Final = outcomes.Unknown(REASON.answer_lost)
LATE: typing.Final = outcomes.Unknown(REASON.deadline)
SHED: typing.Final = outcomes.NotRun(REASON.target_refused)
DENIED: typing.Final = outcomes.NotRun(REASON.not_owner)
KINDS: typing.Final[Sends] = (GOOD, LOST, SHED)
OWN: typing.Final = outcomes.NotRun(REASON.keys_moving)


class AllSendsTests(unittest.TestCase):
    """Outcomes of sends, in order, and what the caller is told."""

    def test_told(self) -> None:
        """A refusal after a send that may have run is no promise."""
        cases: tuple[tuple[Sends, outcomes.Outcome], ...] = (
            ((), OWN),
            ((SHED,), SHED),
            ((SHED, DENIED), DENIED),
            ((LOST, SHED), LOST),
            ((LATE, DENIED, SHED), LATE),
            ((SHED, LOST), LOST),
            ((LOST, LATE), LATE),
            ((FAILED, SHED), FAILED),
            ((FAILED, LOST), FAILED),
            ((LOST, FAILED), FAILED),
            ((FAILED, GOOD), GOOD),
        )
        for sends, told in cases:
            with self.subTest(sends=sends):
                self.assertEqual(outcomes.after_all(sends, OWN), told)

    def test_not_run_by_each_send_alone(self) -> None:
        """Over all sequences of up to four sends."""
        for count in range(1, 5):
            for sends in itertools.product(KINDS, repeat=count):
                told = outcomes.after_all(sends, OWN)
                self.assertEqual(
                    isinstance(told, outcomes.NotRun), set(sends) == {SHED}
                )
