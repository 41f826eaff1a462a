"""No key has two owners, whatever happens to instances, store and targets."""

import typing
import unittest

from bilberryglade._ownership.tests import lease_explorer

#: Seeds of each run of the tests; more are played by hand.
SEEDS: typing.Final = range(100)


class LeaseExplorationTest(unittest.TestCase):
    """The coordinator's real parts over a modelled store and targets."""

    def test_no_key_has_two_owners(self) -> None:
        """Series of troubles that overlap."""
        self.assertEqual(list(lease_explorer.explore(SEEDS)), [])

    def test_targets_are_granted_keys(self) -> None:
        """A play without findings is no play without grants."""
        self.assertGreater(lease_explorer.play(1).looks, 50)
