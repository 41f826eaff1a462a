"""Which targets may own keys."""

import unittest
from unittest import mock

from bilberryglade._knowledge import knowledge
from bilberryglade._ownership import (
    candidates,
    key_loads,
    lease_manager,
    ranges,
)
from bilberryglade._targets import directory
from bilberryglade._targets.tests import samples
from bilberryglade._values import clock

OWNER = ranges.Owner('t', 10)


class CandidateTests(unittest.TestCase):
    """One listed target that owns no keys."""

    def setUp(self) -> None:
        """Its entry was written long ago and has not changed."""
        listed = directory.put(directory.Directory(), samples.target())
        self.reader = mock.Mock(known=knowledge.Knowledge(directory=listed))
        self.lessor = lease_manager.LeaseManager(
            mock.Mock(), mock.AsyncMock(), self.reader, 10
        )
        self.found = candidates.Candidates(
            self.reader, self.lessor, key_loads.LoadSum()
        )

    def names(self, *owning: ranges.Owner) -> list[str]:
        """Returns the targets that may own keys now."""
        targets = self.found.targets('s', frozenset(owning), clock.now())
        return [target.name for target in targets]

    def test_old_entry(self) -> None:
        """A listed target may own keys, however old its entry is."""
        self.assertEqual(self.names(), ['t'])

    def test_taken_out_and_restored(self) -> None:
        """A target of a restored failure domain may own keys again."""
        known = self.reader.known
        domain = knowledge.Domain(offset=1, is_out=True, since=0)
        self.reader.known = known._replace(
            domains=known.domains.set('a', domain)
        )
        self.assertEqual(self.names(OWNER), [])
        self.reader.known = known
        self.assertEqual(self.names(), ['t'])

    def test_out_of_reach(self) -> None:
        """A target that takes no orders owns nothing until it answers."""
        self.lessor.reachability.record_failure(OWNER)
        later = clock.now() + 2
        with mock.patch.object(clock, 'now', lambda: later):
            self.assertEqual(self.names(OWNER), [])

    def test_lapsed(self) -> None:
        """One whose entry lapsed keeps its keys, but gets none anew."""
        known = self.reader.known
        lapsed = directory.drop(known.directory, 't', 101, keep_until=50)
        self.reader.known = known._replace(directory=lapsed)
        self.assertEqual(self.names(OWNER), ['t'])
        self.assertEqual(self.names(), [])
