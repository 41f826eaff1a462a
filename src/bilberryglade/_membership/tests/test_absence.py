"""Lost processes that the platform lists no more."""

import typing
import unittest

import immutables

from bilberryglade._membership import absence
from bilberryglade._state import folding, state, topology_folds

LAG_SECONDS = 3.0
LOST = state.Member('entry-0', 'boot-0', 'north', '127.0.0.1:1', '', 4)
REGISTERED = (topology_folds,)


class Scenario(typing.NamedTuple):
    """Addresses that the list shows at some seconds, and who has ended."""

    name: str
    addresses: dict[int, str]
    ended: list[int]


def listed(address: str) -> frozenset[absence.ListedInstance]:
    """Returns a list that shows entry-0 at `address`."""
    return frozenset((absence.ListedInstance('entry-0', address),))


class AbsenceTest(unittest.TestCase):
    """When a lost process has certainly ended."""

    def ended_after(self, addresses: dict[int, str]) -> list[int]:
        """Returns who has ended after reads of the list at some times."""
        absences = absence.Absences()
        for now, address in addresses.items():
            absences = absence.look(absences, [LOST], listed(address), now)
        return absence.ended(absences, LAG_SECONDS, max(addresses))

    def test_only_a_long_absence_counts(self) -> None:
        """A replaced or missing process counts after the list's lag."""
        own, other = '127.0.0.1:1', '127.0.0.1:2'
        scenarios = (
            Scenario('short', {0: other, 2: other}, []),
            Scenario('long', {0: other, 4: other}, [4]),
            Scenario('seen between', {0: other, 2: own, 4: other}, []),
            Scenario('long later', {0: other, 2: own, 4: other, 8: other}, [4]),
            Scenario('listed', {0: own, 10: own}, []),
        )
        for scenario in scenarios:
            with self.subTest(scenario.name):
                self.assertEqual(
                    self.ended_after(scenario.addresses),
                    scenario.ended,
                )


class FoldTest(unittest.TestCase):
    """The record of a process that has ended."""

    def test_members_are_not_declared_off(self) -> None:
        """A member stays one, and only a member may say that another ended."""
        view = state.ClusterState(
            members=immutables.Map({'entry-0': LOST}),
        )
        for joined_at, by_joined_at in ((4, 4), (3, 9)):
            with self.subTest(joined_at=joined_at):
                step = folding.fold(
                    view,
                    10,
                    {
                        'id': f'off-{joined_at}-by-{by_joined_at}',
                        'kind': 'instance_off',
                        'joined_at': joined_at,
                        'by_joined_at': by_joined_at,
                    },
                )
                self.assertFalse(step.verdict.accepted)
                self.assertNotIn(joined_at, step.state.departed)
