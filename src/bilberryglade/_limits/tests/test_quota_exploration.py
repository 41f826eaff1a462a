"""Quotas hold whatever restarts, and whatever of the store is away (review/4)."""

import typing
import unittest
from unittest import mock

from bilberryglade._limits.tests import quota_explorer
from bilberryglade._membership import enrolment
from bilberryglade.platform import store

#: Seeds that are played each time; more are played by hand.
SEEDS: typing.Final = range(12)
#: The least part of an organisation's usual requests that is admitted in calm.
SERVED_PART: typing.Final = 0.99

READ_FLEET: typing.Final = enrolment.read_fleet


async def read_keys_alone(client: store.StoreClient) -> enrolment.Known:
    """Reads the fleet as if no instance had written a copy of its entry."""
    known = await READ_FLEET(client)
    return known._replace(members=())


class ExplorationTests(unittest.TestCase):
    """Seeds of restarts, cuts and outages of single partitions."""

    def test_no_organisation_gets_more_than_its_quota(self) -> None:
        """Guards against instances that take the whole for themselves."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                explored = quota_explorer.explore(seed)
                self.assertEqual(explored.findings(), [])

    def test_excess_is_found_without_copies_of_the_list(self) -> None:
        """The exploration notices when that protection is taken out."""
        with mock.patch.object(enrolment, 'read_fleet', read_keys_alone):
            self.assertTrue(quota_explorer.explore(0).findings())

    def test_usual_requests_are_admitted_in_calm(self) -> None:
        """Nobody is refused since its tokens lie elsewhere."""
        for size in (3, 24):
            explored = quota_explorer.explore(
                size, size, times=1, most_faults=0
            )
            for run in explored.runs:
                with self.subTest(size=size, holder=run.holder):
                    sent = len(run.admitted) + len(run.refused)
                    self.assertGreater(len(run.admitted) / sent, SERVED_PART)
