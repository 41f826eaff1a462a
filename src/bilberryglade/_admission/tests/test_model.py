"""What callers get under both policies, played on the load model."""

import sys
import unittest

from bilberryglade._admission import prices
from bilberryglade._admission.tests import cases, load_model

#: A more urgent kind may be served less often by this, by the requirements.
LESS_SERVED = 0.05
#: It may earn a share of its worth that is smaller by this.
LESS_WORTH = 0.15
#: No score may fall by more than this where there is no pressure.
LESS_IN_CALM = 0.03
#: Every kind and failure domain gets at least the floor of what an even
#: division of the places would give it.
STARVED_PART = prices.FLOOR_PART


class ModelTests(unittest.TestCase):
    """Plays of one case each; the tables are printed."""

    def play(self, case: load_model.Case) -> dict[str, load_model.Model]:
        """Plays a case and prints its table."""
        printed, plays = load_model.table(case)
        sys.stdout.write(f'\n{printed}\n')
        return plays

    def check_urgency_order(
        self, case: load_model.Case, play: load_model.Model
    ) -> None:
        """Checks the bounds between each two kinds of a case."""
        ordered = sorted(case.kinds, key=lambda kind: kind.urgency or 0)
        for place, less in enumerate(ordered):
            for more in ordered[:place]:
                if more.urgency == less.urgency:
                    continue
                with self.subTest(case=case.name, more=more.name):
                    upper = play.tallies[more.name]
                    lower = play.tallies[less.name]
                    self.assertGreaterEqual(
                        upper.served, lower.served - LESS_SERVED
                    )
                    self.assertGreaterEqual(
                        upper.worth_share, lower.worth_share - LESS_WORTH
                    )

    def test_contended_places_earn_less_than_they_could(self) -> None:
        """Under pressure callers earn more, and more urgent kinds go first."""
        for case in cases.PRESSED:
            plays = self.play(case)
            before, after = plays['first_come'], plays['by_worth']
            with self.subTest(case=case.name):
                self.assertGreater(
                    after.tallies['all'].worth_share,
                    before.tallies['all'].worth_share,
                )
                self.assertGreaterEqual(
                    after.tallies['all'].punctual, 0.9, 'admitted in the aim'
                )
            self.check_urgency_order(case, after)

    def test_calm_load_is_refused(self) -> None:
        """Where nobody competes, callers get what they got before."""
        for case in cases.CALM:
            plays = self.play(case)
            before, after = plays['first_come'], plays['by_worth']
            for name, tally in before.tallies.items():
                with self.subTest(case=case.name, name=name):
                    self.assertGreaterEqual(
                        after.tallies[name].worth_share,
                        tally.worth_share - LESS_IN_CALM,
                    )

    def test_target_gets_what_it_cannot_queue(self) -> None:
        """A request that a target never answers was sent beyond its queue."""
        for case in (cases.SATURATED, cases.BURST_POOL, cases.SECOND_OWNER):
            with self.subTest(case=case.name):
                play = load_model.Model(case, 'by_worth').play()
                self.assertEqual(play.swallowed, 0)

    def test_kind_or_failure_domain_starves(self) -> None:
        """Each gets a part of an even division, however long the pressure."""
        play = load_model.Model(cases.SATURATED, 'by_worth').play()
        even = play.tallies['all'].served
        for name, tally in play.tallies.items():
            with self.subTest(name=name):
                self.assertGreaterEqual(tally.served, even * STARVED_PART)
