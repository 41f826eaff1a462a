"""The rows of `delivery.send_to_target` fail without the protections."""

import unittest
from unittest import mock

from bilberryglade._targets import condition
from bilberryglade_lab.matrix import dispatch_cases

SEEDS = range(8)


def violations_with(fault: str) -> set[str]:
    """Returns the promises broken over some seeds."""
    return {
        violation.promise
        for seed in SEEDS
        for violation in dispatch_cases.send_case(seed, frozenset((fault,)))
    }


class ProtectionTest(unittest.TestCase):
    """Each protection is shown to matter."""

    def test_nothing_is_found_with_all_protections(self) -> None:
        """The rows are clean as the code stands."""
        self.assertEqual(violations_with('log_down'), set())
        self.assertEqual(violations_with('target_cold'), set())

    def test_without_the_check_before_the_send(self) -> None:
        """A leader that never asks again sends after its authority ended."""
        with mock.patch.object(
            dispatch_cases.StrictTarget,
            'authorise',
            lambda target, name, slot: _asked(target),
        ):
            found = violations_with('log_down')
        self.assertIn('sent without authority', found)

    def test_without_warming(self) -> None:
        """A leader that gives the full concurrency overloads a cold target."""
        with mock.patch.object(
            condition,
            'allowance_at',
            lambda known, now: known.concurrency,
        ):
            found = violations_with('target_cold')
        self.assertIn('cold target overloaded', found)


def _asked(target: dispatch_cases.StrictTarget) -> int:
    target.asked += 1
    return dispatch_cases.FENCE
