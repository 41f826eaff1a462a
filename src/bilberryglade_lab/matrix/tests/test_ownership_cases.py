"""The random walks reach a takeover, and find a protection taken out."""

import unittest
from unittest import mock

from bilberryglade._ownership import activation
from bilberryglade._ownership.tests import moves
from bilberryglade_lab.matrix import ownership_cases

SEEDS = range(40)
NO_FAULT: frozenset[str] = frozenset()


def found(struck: frozenset[str]) -> int:
    """Returns how many walks find a violation."""
    walks = (ownership_cases.walk_at_random(seed, struck) for seed in SEEDS)
    return sum(bool(walk) for walk in walks)


class OwnershipCasesTest(unittest.TestCase):
    """Walks with and without the protections."""

    def test_walks_reach_the_new_owner(self) -> None:
        """Both targets get work in some walks."""
        with mock.patch.object(
            moves, '_with_request_sent', wraps=moves._with_request_sent
        ) as sent:
            self.assertEqual(found(NO_FAULT), 0)
        nodes = {call.args[1] for call in sent.call_args_list}
        self.assertEqual(nodes, {0, 1})

    def test_without_activation_wait(self) -> None:
        """Some walk finds two owners."""
        with mock.patch.object(
            activation, 'earlier_owners_have_stopped', return_value=True
        ):
            self.assertGreater(found(NO_FAULT), 0)
