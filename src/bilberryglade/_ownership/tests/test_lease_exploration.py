"""No key has two owners, whatever happens to instances, store and targets.

Each protection is taken out in turn; the exploration then finds two owners.
"""

import typing
import unittest
from unittest import mock

from bilberryglade._ownership import holds, lessor, owners, table_manager
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
        self.assertGreater(lease_explorer.play(1).looks, 50)

    def test_same_seed_same_play(self) -> None:
        """A finding can be played again."""
        self.assertEqual(lease_explorer.play(2), lease_explorer.play(2))


class ProtectionTest(unittest.TestCase):
    """The exploration finds what the protections keep out."""

    def assert_found(self, faulty: typing.Any) -> None:
        """Checks that two owners are found with a protection taken out."""
        with faulty:
            found = next(lease_explorer.explore(FAULTY_SEEDS), None)
        self.assertIsNotNone(found)

    def test_without_waiting_for_holders(self) -> None:
        """A range is granted while another target has it."""
        self.assert_found(
            mock.patch.object(holds, 'in_the_way', return_value=())
        )

    def test_without_earlier_owners_in_records(self) -> None:
        """A new coordinator knows of the owners in the tables alone."""
        self.assert_found(
            mock.patch.object(lessor.Lessor, 'former', return_value=[])
        )

    def test_without_leases_of_the_earlier_coordinator(self) -> None:
        """The same, where a record is read."""
        self.assert_found(
            mock.patch.object(owners, 'from_former_table', return_value=())
        )

    def test_without_owners_in_the_tables_at_a_takeover(self) -> None:
        """A new coordinator takes the owners that it finds to hold nothing."""
        self.assert_found(
            mock.patch.object(
                table_manager, '_as_former_owner', _owning_nothing
            )
        )

    def test_with_a_new_start_that_ends_leases(self) -> None:
        """What a later life has taken is forgotten."""
        self.assert_found(
            mock.patch.object(lessor.Lessor, 'blocking', _blocking_by_life)
        )


def _owning_nothing(
    owned: owners.OwnedRange, longest: float
) -> owners.FormerOwner:
    """Returns an owner whose lease has ended."""
    return owners.FormerOwner(owned.entry, -longest)


def _blocking_by_life(
    leasing: lessor.Lessor,
    service: str,
    entry: typing.Any,
) -> tuple[holds.Hold, ...]:
    """Returns the leases in the way, but those of earlier lives."""
    listed = leasing.reader.known.directory
    found = holds.in_the_way(leasing.holds.get(service, ()), entry, clock.now())
    lives = {target.name: target.born for target in listed.targets.values()}
    return tuple(
        hold
        for hold in found
        if lives.get(hold.owner.target, 0) <= hold.owner.born
    )
