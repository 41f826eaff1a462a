"""Rollouts over seeds: no bad version passes its bound, no good one fails."""

import random
import typing
import unittest

from bilberryglade._rollouts import counting, phases
from bilberryglade._rollouts.tests import simulation

SEEDS: typing.Final = range(2)
#: Seconds from the order at which nearly all, and all, are at the new version.
TRIED_AT: typing.Final = 7.2
EMPTYING_AT: typing.Final = 8.6
GOOD: typing.Final = simulation.Answer()
FAILED: typing.Final = simulation.Answer(counting.Ending.failed)
LOST: typing.Final = simulation.Answer(counting.Ending.lost)
SLOW: typing.Final = simulation.Answer(factor=4)


def happens(chance: random.Random, share: float) -> bool:
    """Tells whether something happens that does so in a share of cases."""
    return chance.random() < share


def good(_: simulation.Send, _chance: random.Random) -> simulation.Answer:
    """Answers as usual."""
    return GOOD


def fails(send: simulation.Send, chance: random.Random) -> simulation.Answer:
    """Fails a third of its requests."""
    return FAILED if send.is_new and happens(chance, 0.33) else GOOD


def loses(send: simulation.Send, chance: random.Random) -> simulation.Answer:
    """Answers a third of its requests not at all."""
    return LOST if send.is_new and happens(chance, 0.33) else GOOD


def is_slow(send: simulation.Send, chance: random.Random) -> simulation.Answer:
    """Takes four times as long for most requests."""
    return SLOW if send.is_new and happens(chance, 0.7) else GOOD


def fails_late(
    send: simulation.Send, chance: random.Random
) -> simulation.Answer:
    """Fails some seconds after the order."""
    return fails(send, chance) if send.at > 4 else GOOD


def fails_with_everything(
    send: simulation.Send, chance: random.Random
) -> simulation.Answer:
    """Fails when it has nearly all requests."""
    return fails(send, chance) if send.at > TRIED_AT else GOOD


def fails_on_a_route(
    send: simulation.Send, chance: random.Random
) -> simulation.Answer:
    """Fails half of the requests of the route with fewer of them."""
    is_hit = send.is_new and send.route == 'order' and happens(chance, 0.5)
    return FAILED if is_hit else GOOD


def fails_under_load(
    send: simulation.Send, chance: random.Random
) -> simulation.Answer:
    """Fails when as many requests are there as with all traffic."""
    is_hit = send.is_new and send.load >= 3 and happens(chance, 0.6)
    return FAILED if is_hit else GOOD


def has_bad_neighbour(
    send: simulation.Send, _chance: random.Random
) -> simulation.Answer:
    """Fails at one target of the new version and one of the old."""
    return FAILED if send.target.name in {'n3', 'o3'} else GOOD


def all_slow(
    send: simulation.Send, _chance: random.Random
) -> simulation.Answer:
    """Everything is slow for some seconds."""
    return SLOW if 2 < send.at < 5 else GOOD


def all_fail(send: simulation.Send, chance: random.Random) -> simulation.Answer:
    """Part of everything fails for some seconds."""
    is_hit = 2 < send.at < 4 and happens(chance, 0.5)
    return FAILED if is_hit else GOOD


def fail_in_the_end(
    send: simulation.Send, chance: random.Random
) -> simulation.Answer:
    """Part of everything fails when all requests are at the new version."""
    is_hit = send.at > EMPTYING_AT and happens(chance, 0.5)
    return FAILED if is_hit else GOOD


def bad_link(send: simulation.Send, chance: random.Random) -> simulation.Answer:
    """One instance loses half of its answers."""
    is_hit = send.instance == 2 and happens(chance, 0.5)
    return LOST if is_hit else GOOD


CASES: typing.Final = (
    simulation.Case('good', True, good),
    simulation.Case('good with few requests', True, good, (0, 0), 40),
    simulation.Case('good beside a bad neighbour', True, has_bad_neighbour),
    simulation.Case('good while everything is slow', True, all_slow),
    simulation.Case('good while everything fails', True, all_fail),
    simulation.Case('good, everything fails in the end', True, fail_in_the_end),
    simulation.Case('good over a bad link', True, bad_link),
    simulation.Case('good, coordinator changes', True, good, (3, 5)),
    simulation.Case('bad from the start', False, fails),
    simulation.Case('bad with few requests', False, fails, (0, 0), 40),
    simulation.Case('loses answers', False, loses),
    simulation.Case('slow', False, is_slow),
    simulation.Case('bad late', False, fails_late),
    simulation.Case('bad with everything', False, fails_with_everything),
    simulation.Case('bad on one route', False, fails_on_a_route),
    simulation.Case('bad under load', False, fails_under_load),
    simulation.Case('bad, coordinator changes', False, fails, (0.8, 2.8)),
)


class ExplorationTests(unittest.TestCase):
    """Each case over seeds."""

    def test_bounds_hold(self) -> None:
        """A bad version gets too much, or a good one is not completed."""
        for case in CASES:
            for seed in SEEDS:
                outcome = simulation.Simulation(case, seed).run()
                with self.subTest(case=case.name, seed=seed, outcome=outcome):
                    self.check(case, outcome)

    def check(self, case: simulation.Case, outcome: simulation.Outcome) -> None:
        """Checks what an order came to."""
        bounds = simulation.bounds()
        self.assertLessEqual(outcome.most_beyond, 0)
        self.assertGreater(outcome.ended_at, 0)
        if case.is_good:
            self.assertIs(outcome.phase, phases.Phase.completed)
            self.assertEqual(outcome.left_old, 0)
            return
        self.assertIs(outcome.phase, phases.Phase.rolled_back)
        self.assertLess(outcome.trailing, bounds.rollback)
        if case.answer is fails_with_everything:
            # The share has to be all before the deadline, beyond any bound.
            return
        allowed = bounds.exposure_share * outcome.sent
        self.assertLessEqual(outcome.sent_new, allowed + bounds.exposure_slack)
