"""Orders to the owner of a range, whatever becomes of them."""

import asyncio
import unittest
from unittest import mock

import result

from bilberryglade._knowledge import knowledge
from bilberryglade._ownership import holds, lessor, owners, ranges
from bilberryglade._targets import directory
from bilberryglade._targets.tests import samples
from bilberryglade._values import clock, leases

OWNER = ranges.Owner('t', 10)
ENTRY = ranges.Range(0, leases.LAST_KEY, OWNER, 2)
TABLES = owners.Tables(1, 1, {'s': (owners.Owned(ENTRY, is_moving=False),)})


class GrantTests(unittest.IsolatedAsyncioTestCase):
    """One owner of all keys, which has been granted them."""

    async def asyncSetUp(self) -> None:
        """Its entry in the store never changes."""
        listed = directory.put(directory.Directory(), samples.target())
        reader = mock.Mock(known=knowledge.Knowledge(directory=listed))
        lease = mock.Mock(holds=True)
        self.orders = mock.AsyncMock()
        self.orders.grant.return_value = result.Ok(None)
        self.orders.reach.return_value = True
        self.lessor = lessor.Lessor(lease, self.orders, reader, 10)
        self.began = clock.now()
        self.passed: float = 0
        lease.confirmed_at = self.began + 3600
        patched = mock.patch.object(
            clock, 'now', lambda: self.began + self.passed
        )
        patched.start()
        self.addCleanup(patched.stop)
        self.lessor.begin({}, {})
        await self.rounds(1)

    def hold(self) -> holds.Hold:
        """Returns what the owner may hold."""
        held = self.lessor.holds['s']
        self.assertEqual(len(held), 1)
        return held[0]

    async def rounds(self, count: int) -> None:
        """Runs the orders that are due, a tenth of a second apart."""
        for _ in range(count):
            self.passed += 0.1
            self.lessor.start_orders(TABLES)
            reach = self.lessor.reach
            reach.look(self.lessor.target_of, '/{}'.format)
            tasks = (*self.lessor.busy.values(), *reach.probes.values())
            await asyncio.gather(*tasks)

    async def test_owner_is_granted_again_after_a_lost_order(self) -> None:
        """One lost answer does not cost an owner its keys."""
        self.orders.grant.return_value = result.Err(leases.Failure.unclear)
        await self.rounds(7)
        self.assertEqual(self.orders.grant.await_count, 2)
        self.orders.grant.return_value = result.Ok(None)
        await self.rounds(5)
        # It may have started again meanwhile: a new fence is due first.
        self.assertEqual(self.lessor.fenced, {('s', ENTRY)})
        self.assertFalse(self.lessor.reach.is_failing(OWNER))

    async def test_order_after_a_lost_one_may_reach_a_later_life(self) -> None:
        """A new start of the target does not end what it may hold."""
        self.assertTrue(self.hold().is_life_sure)
        self.orders.grant.return_value = result.Err(leases.Failure.unclear)
        await self.rounds(7)
        self.orders.grant.return_value = result.Ok(None)
        await self.rounds(10)
        self.assertFalse(self.hold().is_life_sure)

    async def test_lost_orders_do_not_prolong_what_it_may_hold(self) -> None:
        """After the first one its keys are free when that lease has ended."""
        self.orders.grant.return_value = result.Err(leases.Failure.unclear)
        self.orders.reach.return_value = False
        await self.rounds(7)
        until = self.hold().until
        await self.rounds(20)
        self.assertEqual(self.hold().until, until)
        self.assertLess(until, self.began + 0.7 + 0.5 + 3.1)

    async def test_higher_fence_seen(self) -> None:
        """A target that refuses a fence is there, and gets a new one."""
        self.orders.grant.return_value = result.Err(leases.Failure.fenced)
        await self.rounds(7)
        self.assertFalse(self.lessor.reach.is_failing(OWNER))
        self.assertEqual(self.lessor.fenced, {('s', ENTRY)})
