"""Warming, turning cold, draining: decisions about one target."""

import typing
import unittest
from unittest import mock

import result

from bilberryglade._targets import condition, phases

USUAL_SECONDS = 0.01


class Scenario(typing.NamedTuple):
    """Events on a warm target, and what must follow."""

    name: str
    events: tuple[condition.Event, ...]
    phase: phases.Phase
    allowance: int


def answers(
    known: condition.Condition,
    count: int,
    seconds: float = USUAL_SECONDS,
) -> condition.Condition:
    """Returns the condition after `count` answers."""
    for _ in range(count):
        known = condition.decide(known, condition.Answer(seconds), now=1)
    return known


def warm() -> condition.Condition:
    """Returns the condition of a warm target with three places."""
    return answers(condition.Condition(3), 2 * condition.ANSWERS_PER_STEP)


SCENARIOS = (
    Scenario('no event', (), phases.Phase.serving, 3),
    Scenario('sheds', (condition.Shed(),), phases.Phase.warming, 1),
    Scenario('connection lost', (condition.Loss(),), phases.Phase.suspect, 1),
    Scenario(
        'one slow answer',
        (condition.Answer(1),),
        phases.Phase.serving,
        3,
    ),
    Scenario(
        'slow answers in a row',
        (condition.Answer(0.1),) * condition.COLD_ANSWERS,
        phases.Phase.warming,
        1,
    ),
    Scenario(
        'drains',
        (condition.Directive('draining'),),
        phases.Phase.draining,
        0,
    ),
    Scenario(
        'drained and restored',
        (condition.Directive('draining'), condition.Directive('live')),
        phases.Phase.joining,
        1,
    ),
    Scenario(
        'a late answer while draining',
        (condition.Directive('draining'), condition.Answer(0.01)),
        phases.Phase.draining,
        0,
    ),
)


class ConditionTest(unittest.TestCase):
    """Decisions about what a target bears."""

    def test_a_new_target_gets_one_request_at_a_time(self) -> None:
        """The allowance grows by completed work alone."""
        known = condition.Condition(3)
        allowances = [condition.allowance_at(known, 1)]
        for _ in range(2):
            known = answers(known, condition.ANSWERS_PER_STEP)
            allowances.append(condition.allowance_at(known, 1))
        self.assertEqual(allowances, [1, 2, 3])
        self.assertIs(known.phase, phases.Phase.serving)

    def test_without_warming_a_cold_target_gets_all(self) -> None:
        """The protection matters: the variant `none` gives all at once."""
        known = condition.decide(
            condition.Condition(3),
            condition.Answer(USUAL_SECONDS),
            now=1,
            policy='none',
        )
        self.assertEqual(condition.allowance_at(known, 1), 3)

    def test_events_on_a_warm_target(self) -> None:
        """Each event leads to its phase and allowance."""
        for scenario in SCENARIOS:
            with self.subTest(scenario.name):
                known = warm()
                for event in scenario.events:
                    known = condition.decide(known, event, now=1)
                self.assertIs(known.phase, scenario.phase)
                self.assertEqual(
                    condition.allowance_at(known, 1),
                    scenario.allowance,
                )

    def test_an_idle_target_may_have_turned_cold(self) -> None:
        """After a long idle time the target warms up again."""
        later = 2 + condition.IDLE_SECONDS
        self.assertEqual(condition.allowance_at(warm(), later), 1)
        known = condition.decide(warm(), condition.Answer(USUAL_SECONDS), later)
        self.assertEqual(condition.allowance_at(known, later), 1)

    def test_cold_again_goes_unseen_without_the_ratio(self) -> None:
        """The protection matters: with no bound the target keeps all."""
        with mock.patch.object(condition, 'COLD_RATIO', 1000):
            known = answers(warm(), condition.COLD_ANSWERS, seconds=0.1)
        self.assertEqual(condition.allowance_at(known, 1), 3)


class PhaseTest(unittest.TestCase):
    """The table of transitions."""

    def test_a_target_that_is_gone_takes_no_answer(self) -> None:
        """Triggers that make no sense are refused as values."""
        self.assertEqual(
            phases.step(phases.Phase.gone, phases.Trigger.answered),
            result.Err(
                phases.RefusedTrigger(
                    phases.Phase.gone,
                    phases.Trigger.answered,
                ),
            ),
        )
