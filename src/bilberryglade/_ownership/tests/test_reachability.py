"""Tests the tracking of owners whose orders fail, and their recovery."""

import unittest
from unittest import mock

from bilberryglade._ownership import ranges, reachability
from bilberryglade._targets.tests import samples
from bilberryglade._values import clock

OWNER = ranges.Owner('t', 10)


class ReachabilityTests(unittest.IsolatedAsyncioTestCase):
    """One owner whose answers to probes are set by the test."""

    async def asyncSetUp(self) -> None:
        """Records a failed order of the owner; probes get no answer."""
        self.now = 100.0
        patcher = mock.patch.object(clock, 'now', lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.orders = mock.AsyncMock()
        self.orders.reach.return_value = False
        self.recovered: list[ranges.Owner] = []
        self.reachability = reachability.Reachability(
            self.orders, self.recovered.append
        )
        self.reachability.record_failure(OWNER)

    async def probe_for(
        self, seconds: float, *, is_listed: bool = True
    ) -> None:
        """Runs due probes every 0.1 s, as the coordinator does."""
        find_target = mock.Mock(
            return_value=samples.target() if is_listed else None
        )
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            self.reachability.start_due_probes(find_target, '/{}'.format)
            for task in list(self.reachability.probes.values()):
                await task

    async def test_recovery_without_a_new_entry(self) -> None:
        """A target that answers again is reachable within 1.2 s."""
        await self.probe_for(20)
        self.assertTrue(self.reachability.is_unreachable(OWNER, self.now))
        self.orders.reach.return_value = True
        await self.probe_for(1.2)
        self.assertFalse(self.reachability.is_unreachable(OWNER, self.now))
        self.assertEqual(self.recovered, [OWNER])

    async def test_target_stays_unreachable(self) -> None:
        """A target that never answers stays unreachable and is rarely probed."""
        await self.probe_for(60)
        self.assertTrue(self.reachability.is_unreachable(OWNER, self.now))
        self.assertLess(self.orders.reach.await_count, 75)

    async def test_failing_at_once_and_unreachable_later(self) -> None:
        """One failed order stops further orders, but keeps the target reachable."""
        self.assertTrue(self.reachability.is_failing(OWNER))
        self.assertFalse(self.reachability.is_unreachable(OWNER, self.now + 1))
        self.assertTrue(self.reachability.is_unreachable(OWNER, self.now + 2))

    async def test_not_listed(self) -> None:
        """A target that is no longer listed is not probed."""
        await self.probe_for(1, is_listed=False)
        self.orders.reach.assert_not_awaited()
        self.assertFalse(self.reachability.is_failing(OWNER))
