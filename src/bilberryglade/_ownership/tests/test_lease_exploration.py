"""Tests by simulation that no key has two owners under injected faults.

To show that the simulation can find violations, other tests disable one
protection each and expect it to find two owners of a key.
"""

import typing
import unittest
from unittest import mock

from bilberryglade._ownership import (
    lease_manager,
    outstanding_leases,
    owners,
    steward,
)
from bilberryglade._ownership.tests import lease_explorer
from bilberryglade._values import clock

#: Seeds of each test run; more are run by hand.
SEEDS: typing.Final = range(100)
#: Seeds among which one must fail when a protection is disabled.
FAULTY_SEEDS: typing.Final = range(60)


class LeaseExplorationTest(unittest.TestCase):
    """The real coordinator over a simulated store and targets."""

    def test_no_key_has_two_owners(self) -> None:
        """Overlapping faults lead to no second owner and no exception."""
        self.assertEqual(list(lease_explorer.explore(SEEDS)), [])

    def test_targets_are_granted_keys(self) -> None:
        """Guards against runs that pass only because nothing was granted."""
        self.assertGreater(lease_explorer.run_seed(1).checked_grants, 50)

    def test_same_seed_same_run(self) -> None:
        """A failing seed can be reproduced."""
        self.assertEqual(lease_explorer.run_seed(2), lease_explorer.run_seed(2))


class ProtectionTest(unittest.TestCase):
    """The simulation finds violations when a protection is disabled."""

    def assert_found(self, patcher: typing.Any) -> None:
        """Checks that a seed fails while `patcher` disables a protection."""
        with patcher:
            failing_run = next(lease_explorer.explore(FAULTY_SEEDS), None)
        self.assertIsNotNone(failing_run)

    def test_without_waiting_for_holders(self) -> None:
        """Ranges are granted while other targets may hold leases on them."""
        self.assert_found(
            mock.patch.object(
                outstanding_leases, 'find_conflicting', return_value=()
            )
        )

    def test_without_earlier_owners_in_records(self) -> None:
        """Records of new tables leave out earlier owners that may hold leases."""
        self.assert_found(
            mock.patch.object(
                lease_manager.LeaseManager, 'former_owners', return_value=[]
            )
        )

    def test_without_leases_of_the_earlier_coordinator(self) -> None:
        """A new coordinator ignores the earlier owners in the record."""
        self.assert_found(
            mock.patch.object(owners, 'former_of', return_value=())
        )

    def test_without_owners_in_the_tables_at_a_takeover(self) -> None:
        """A new coordinator assumes that owners in the tables hold no leases."""
        self.assert_found(
            mock.patch.object(steward, '_owning', _owning_nothing)
        )

    def test_with_a_restart_that_ends_leases(self) -> None:
        """Leases of earlier incarnations are ignored after a restart."""
        self.assert_found(
            mock.patch.object(
                lease_manager.LeaseManager,
                'blocking_leases',
                _blocking_by_incarnation,
            )
        )


def _owning_nothing(owned: owners.Owned, longest: float) -> owners.Former:
    """Returns the owner of a range with a lease that has already ended."""
    return owners.Former(owned.entry, -longest)


def _blocking_by_incarnation(
    manager: lease_manager.LeaseManager,
    service: str,
    entry: typing.Any,
) -> tuple[outstanding_leases.OutstandingLease, ...]:
    """Returns the conflicting leases without those of earlier incarnations."""
    listed = manager.reader.known.directory
    blocking = outstanding_leases.find_conflicting(
        manager.outstanding.get(service, ()), entry, clock.now()
    )
    start_times = {
        target.name: target.born for target in listed.targets.values()
    }
    return tuple(
        lease
        for lease in blocking
        if start_times.get(lease.owner.target, 0) <= lease.owner.born
    )
