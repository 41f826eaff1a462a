"""A store that comes back older, over seeds and without a network.

To show that the exploration finds faults, other tests disable one protection each.
"""

import typing
import unittest
from unittest import mock

import result

from bilberryglade._era import recall
from bilberryglade._era.tests import era_explorer
from bilberryglade.platform import folds

#: Seeds of each test run; more are run by hand.
SEEDS: typing.Final = range(40)
#: Seeds among which one must fail when a protection is disabled.
FAULTY_SEEDS: typing.Final = range(60)


class ExplorationTest(unittest.TestCase):
    """Instances that know different pasts, cut off and restarted meanwhile."""

    def test_store_that_goes_back(self) -> None:
        """No key has two holders, no fence or version falls, and all agree."""
        self.assertEqual(list(era_explorer.explore(SEEDS)), [])

    def test_something_was_checked(self) -> None:
        """Guards against seeds that pass only because nothing happened."""
        explored = era_explorer.run_seed(0)
        self.assertGreater(explored.checked, 50)
        names = [name for _, name in explored.faults]
        self.assertIn(era_explorer.GOING_BACK, names)


class ProtectionTest(unittest.TestCase):
    """The exploration finds faults when a protection is disabled."""

    def assert_found(self, patcher: typing.Any, kind: str) -> None:
        """Checks that a seed has such a finding while `patcher` is in force."""
        with patcher:
            found = any(
                getattr(explored, kind)
                for explored in era_explorer.explore(FAULTY_SEEDS)
            )
        self.assertTrue(found)

    def test_without_the_leases_that_others_remember(self) -> None:
        """Keys are granted while targets hold leases that the store has lost."""
        self.assert_found(
            mock.patch.object(recall, 'merged', return_value={}), 'violations'
        )

    def test_with_configurations_in_the_order_of_the_store(self) -> None:
        """The configuration in the copy comes into force again."""
        self.assert_found(
            mock.patch.object(folds, '_rank', _in_order), 'fallen'
        )

    def test_without_the_era_in_records(self) -> None:
        """A restored record counts as newer than the tables that were lost."""
        self.assert_found(
            mock.patch.object(recall, 'version_of', _position_of), 'violations'
        )


def _position_of(_: object, position: int) -> int:
    return position


def _in_order(*arguments: typing.Any) -> result.Result[typing.Any, str]:
    return result.Ok(arguments[-1])
