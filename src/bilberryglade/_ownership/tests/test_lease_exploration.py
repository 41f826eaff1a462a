"""No key has two owners, whatever happens to instances, store and targets.

Each protection is taken out in turn; the exploration then finds two owners.
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

#: Seeds of each run of the tests; more are played by hand.
SEEDS: typing.Final = range(100)
#: Seeds in which a fault that is taken in must show.
FAULTY_SEEDS: typing.Final = range(60)


class LeaseExplorationTest(unittest.TestCase):
    """The coordinator's real parts over a modelled store and targets."""

    def test_no_key_has_two_owners(self) -> None:
        """Series of troubles that overlap."""
        self.assertEqual(list(lease_explorer.explore(SEEDS)), [])

    def test_targets_are_granted_keys(self) -> None:
        """A play without findings is no play without grants."""
        self.assertGreater(lease_explorer.run_seed(1).checked_grants, 50)

    def test_same_seed_same_run(self) -> None:
        """A finding can be played again."""
        self.assertEqual(lease_explorer.run_seed(2), lease_explorer.run_seed(2))


class ProtectionTest(unittest.TestCase):
    """The exploration finds what the protections keep out."""

    def assert_found(self, patcher: typing.Any) -> None:
        """Checks that two owners are found with a protection taken out."""
        with patcher:
            failing_run = next(lease_explorer.explore(FAULTY_SEEDS), None)
        self.assertIsNotNone(failing_run)

    def test_without_waiting_for_holders(self) -> None:
        """A range is granted while another target has it."""
        self.assert_found(
            mock.patch.object(
                outstanding_leases, 'find_conflicting', return_value=()
            )
        )

    def test_without_earlier_owners_in_records(self) -> None:
        """A new coordinator knows of the owners in the tables alone."""
        self.assert_found(
            mock.patch.object(
                lease_manager.LeaseManager, 'former_owners', return_value=[]
            )
        )

    def test_without_leases_of_the_earlier_coordinator(self) -> None:
        """The same, where a record is read."""
        self.assert_found(
            mock.patch.object(owners, 'former_of', return_value=())
        )

    def test_without_owners_in_the_tables_at_a_takeover(self) -> None:
        """A new coordinator takes the owners that it finds to hold nothing."""
        self.assert_found(
            mock.patch.object(steward, '_owning', _owning_nothing)
        )

    def test_with_a_restart_that_ends_leases(self) -> None:
        """What a later life has taken is forgotten."""
        self.assert_found(
            mock.patch.object(
                lease_manager.LeaseManager,
                'blocking_leases',
                _blocking_by_incarnation,
            )
        )


def _owning_nothing(owned: owners.Owned, longest: float) -> owners.Former:
    """Returns an owner whose lease has ended."""
    return owners.Former(owned.entry, -longest)


def _blocking_by_incarnation(
    manager: lease_manager.LeaseManager,
    service: str,
    entry: typing.Any,
) -> tuple[outstanding_leases.OutstandingLease, ...]:
    """Returns the leases in the way, but those of earlier lives."""
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
