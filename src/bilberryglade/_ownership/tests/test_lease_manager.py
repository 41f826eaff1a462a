"""Tests the orders of the lease manager and its handling of their outcomes."""

import asyncio
import typing
import unittest
from unittest import mock

import result

from bilberryglade._knowledge import knowledge
from bilberryglade._ownership import (
    lease_manager,
    lease_times,
    outstanding_leases,
    owners,
    ranges,
)
from bilberryglade._targets import directory
from bilberryglade._targets.tests import samples
from bilberryglade._values import clock, leases

OWNER = ranges.Owner('t', 10)
ENTRY = ranges.Range(0, leases.LAST_KEY, OWNER, 2)
TABLES = owners.Tables(
    1, 1, {'s': (owners.OwnedRange(ENTRY, is_moving=False),)}
)


class GrantCase(unittest.IsolatedAsyncioTestCase):
    """A lease manager that has granted all keys to one owner."""

    async def asyncSetUp(self) -> None:
        """Lists the owner, whose entry then never changes, and grants the keys."""
        self.reader = mock.Mock(known=knowledge.Knowledge())
        self.list_target(samples.target())
        self.tables = TABLES
        lease = mock.Mock(holds=True, term=4)
        self.orders = mock.AsyncMock()
        self.orders.grant.return_value = result.Ok(None)
        self.orders.reach.return_value = True
        self.lease_manager = lease_manager.LeaseManager(
            lease, self.orders, self.reader, 10
        )
        # Sums of eighths of a second are exact in floating point, so each test
        # can rely on the round in which an order becomes due.
        self.started_at = 1000.0
        self.elapsed: float = 0
        lease.confirmed_at = self.started_at + 3600
        patcher = mock.patch.object(
            clock, 'now', lambda: self.started_at + self.elapsed
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        self.lease_manager.start_term({}, {})
        await self.rounds(1)

    def list_target(self, target: directory.Target) -> None:
        """Adds an entry of a target to the directory, newer than all others."""
        known = self.reader.known
        offset = len(known.directory.offsets) + 100 * target.born
        listed = directory.put(known.directory, target._replace(offset=offset))
        self.reader.known = known._replace(directory=listed)

    def outstanding_lease(self) -> outstanding_leases.OutstandingLease:
        """Returns the only outstanding lease of the service."""
        leases_of_service = self.lease_manager.outstanding['s']
        self.assertEqual(len(leases_of_service), 1)
        return leases_of_service[0]

    async def rounds(self, count: int) -> None:
        """Runs `count` rounds of due orders and probes, 0.125 s apart."""
        for _ in range(count):
            self.elapsed += 0.125
            self.lease_manager.start_orders(self.tables)
            reachability = self.lease_manager.reachability
            reachability.start_due_probes(
                self.lease_manager.target_of, '/{}'.format
            )
            tasks = (
                *self.lease_manager.order_tasks.values(),
                *reachability.probes.values(),
            )
            await asyncio.gather(*tasks)


class GrantTests(GrantCase):
    """Grants that fail, and their effect on the owner."""

    async def test_owner_is_granted_again_after_a_lost_order(self) -> None:
        """After a lost answer and a probe the owner is reachable again."""
        self.orders.grant.return_value = result.Err(leases.Failure.unclear)
        await self.rounds(7)
        self.assertEqual(self.orders.grant.await_count, 2)
        self.orders.grant.return_value = result.Ok(None)
        await self.rounds(5)
        # The owner may have started again, so it needs a new fence first.
        self.assertEqual(self.lease_manager.stale_fences, {('s', ENTRY)})
        self.assertFalse(self.lease_manager.reachability.is_failing(OWNER))

    async def test_an_order_renews_only_what_was_confirmed(self) -> None:
        """A lease that was not confirmed, or has ended, begins anew."""
        confirmed = result.Ok(None)
        unclear = result.Err(leases.Failure.unclear)
        for answer in (confirmed, unclear, unclear, confirmed):
            self.orders.grant.return_value = answer
            await self.rounds(9)
        # Probes in vain keep orders back until the lease has ended.
        self.orders.reach.return_value = False
        self.orders.grant.return_value = unclear
        await self.rounds(30)
        self.orders.reach.return_value = True
        await self.rounds(9)
        renewals = [
            call.args[1].is_renewal for call in self.orders.grant.mock_calls
        ]
        self.assertFalse(renewals[0])
        self.assertTrue(renewals[1])
        self.assertFalse(renewals[-1])

    async def test_lost_orders_do_not_prolong_the_lease(self) -> None:
        """After the first lost grant no further ones extend the lease."""
        self.orders.grant.return_value = result.Err(leases.Failure.unclear)
        self.orders.reach.return_value = False
        await self.rounds(7)
        until = self.outstanding_lease().until
        await self.rounds(20)
        self.assertEqual(self.outstanding_lease().until, until)
        # The grant at 0.125 s is renewed in the first round 0.6 s later or more.
        self.assertLess(until, self.started_at + 0.75 + 0.5 + 3.1)

    async def test_higher_fence_seen(self) -> None:
        """A target that refuses a fence is reachable and needs a new fence."""
        self.orders.grant.return_value = result.Err(leases.Failure.fenced)
        await self.rounds(7)
        self.assertFalse(self.lease_manager.reachability.is_failing(OWNER))
        self.assertEqual(self.lease_manager.stale_fences, {('s', ENTRY)})


class RestartedOwnerTests(GrantCase):
    """An owner that restarted between two renewals, while its keys move."""

    async def asyncSetUp(self) -> None:
        """Lists a new incarnation of the owner; another target gets its keys."""
        await super().asyncSetUp()
        successor = ranges.Owner('u', 10)
        successor_range = ranges.Range(0, leases.LAST_KEY, successor, 4)
        self.tables = owners.Tables(
            2, 1, {'s': (owners.OwnedRange(successor_range, is_moving=True),)}
        )
        self.list_target(samples.target(born=11, address='10.0.0.9:80'))
        self.list_target(samples.target(name='u'))
        self.lease_manager.retain_ranges(owners.service_ranges(self.tables))

    async def test_keys_wait_for_a_release_of_the_later_incarnation(
        self,
    ) -> None:
        """The new incarnation may have accepted the last renewal."""
        sent_orders: list[str] = []
        self.orders.release.side_effect = lambda holder, *_: self.record_order(
            sent_orders, f'release {holder.address}', result.Ok('')
        )
        self.orders.grant.side_effect = lambda holder, _: self.record_order(
            sent_orders, f'grant {holder.name}', result.Ok(None)
        )
        await self.rounds(1)
        self.assertEqual(sent_orders, ['release 10.0.0.9:80', 'grant u'])

    async def test_keys_wait_for_the_end_of_an_unreleased_lease(self) -> None:
        """Without a confirmed release no grant is sent before the lease has ended."""
        self.orders.release.return_value = result.Err(leases.Failure.unclear)
        self.orders.grant.reset_mock()
        until = self.outstanding_lease().until
        while self.started_at + self.elapsed + 0.125 < until:
            await self.rounds(1)
            self.orders.grant.assert_not_awaited()
        await self.rounds(4)
        self.orders.grant.assert_awaited()

    def record_order(
        self, sent_orders: list[str], order: str, answer: object
    ) -> object:
        """Appends an order to `sent_orders` and answers it."""
        sent_orders.append(order)
        return answer


class NewTermTests(GrantCase):
    """Orders of an earlier term that are completed in a later one."""

    async def test_answer_of_an_earlier_term_changes_no_lease(self) -> None:
        """The lease recorded at the start of the new term remains."""
        answer = asyncio.Event()

        async def grant(*_: object) -> object:  # noqa: WPS430
            await answer.wait()
            return result.Ok(None)

        self.orders.grant.side_effect = grant
        self.elapsed += 1
        self.lease_manager.start_orders(self.tables)
        tasks = list(self.lease_manager.order_tasks.values())
        await asyncio.sleep(0)
        former = owners.FormerOwner(ENTRY, 10)
        self.lease_manager.start_term({'s': [former]}, {})
        lease_before = self.outstanding_lease()
        answer.set()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual(self.outstanding_lease(), lease_before)
        self.assertEqual(self.lease_manager.grants, {})

    async def test_no_order_of_an_earlier_term(self) -> None:
        """No waiting grant is sent: another instance may have coordinated since."""
        self.orders.grant.reset_mock()
        self.lease_manager.grant_semaphore = asyncio.Semaphore(0)
        self.elapsed += 1
        self.lease_manager.start_orders(self.tables)
        await asyncio.sleep(0)
        self.lease_manager.coordinator_lease.term += 2
        self.lease_manager.grant_semaphore.release()
        await asyncio.gather(*self.lease_manager.order_tasks.values())
        self.orders.grant.assert_not_awaited()


class LateReleaseTests(GrantCase):
    """Releases that wait for their turn while the tables change."""

    async def test_no_release_for_tables_out_of_force(self) -> None:
        """Such a release could take keys that a newer table assigns to the target."""
        successor_range = ranges.Range(
            0, leases.LAST_KEY, ranges.Owner('u', 10), 4
        )
        tables = owners.Tables(
            2, 1, {'s': (owners.OwnedRange(successor_range, True),)}
        )
        self.list_target(samples.target(name='u'))
        self.lease_manager.retain_ranges(owners.service_ranges(tables))
        self.lease_manager.release_semaphore = asyncio.Semaphore(0)
        self.lease_manager.start_orders(tables)
        await asyncio.sleep(0)
        self.lease_manager.retain_ranges(frozenset())
        self.lease_manager.release_semaphore.release()
        await asyncio.gather(*self.lease_manager.order_tasks.values())
        self.orders.release.assert_not_awaited()


class OldTablesTests(GrantCase):
    """Orders in flight whose ranges are no longer in the tables."""

    async def test_answer_for_tables_out_of_force(self) -> None:
        """Its answer causes neither another order nor a new fence."""
        for answer in (result.Ok(None), result.Err(leases.Failure.fenced)):
            with self.subTest(answer=answer):
                self.lease_manager.start_term({}, {})
                self.orders.grant.side_effect = self.grant_replacing_tables(
                    answer
                )
                await self.rounds(1)
                self.assertEqual(self.lease_manager.grants, {})
                self.assertEqual(self.lease_manager.stale_fences, set())

    def grant_replacing_tables(self, answer: object) -> typing.Any:
        """Returns a fake grant during which the tables are replaced."""

        async def grant(*_: object) -> object:  # noqa: WPS430
            self.lease_manager.retain_ranges(frozenset())
            return answer

        return grant


class StalledLoopTests(GrantCase):
    """An event loop that stalls while an order is sent."""

    async def test_confirmed_order_that_left_late(self) -> None:
        """The lease is counted from the arrival of the answer."""
        await self.grant_late(result.Ok(None))

    async def test_unclear_order_that_left_late(self) -> None:
        """The lease is counted from the end of the order if its answer is lost."""
        await self.grant_late(result.Err(leases.Failure.unclear))

    async def grant_late(self, answer: object) -> None:
        """Renews the lease; the grant ends long after its timeout."""
        self.answer = answer
        self.orders.grant.side_effect = self.grant_after_stall
        await self.rounds(5)
        self.assertEqual(self.orders.grant.await_count, 2)
        self.assertGreaterEqual(
            self.outstanding_lease().until,
            outstanding_leases.lease_end(
                self.ended_at, lease_times.LEASE_SECONDS
            ),
        )

    async def grant_after_stall(self, *_: object) -> object:
        """Answers a grant after the loop has stalled for 2 s."""
        self.elapsed += 2
        self.ended_at = clock.now()
        return self.answer


class ManyRangesTests(unittest.IsolatedAsyncioTestCase):
    """A table with many ranges whose grants are all due."""

    async def asyncSetUp(self) -> None:
        """Starts the grants of 300 ranges."""
        listed = directory.put(directory.Directory(), samples.target())
        reader = mock.Mock(known=knowledge.Knowledge(directory=listed))
        lease = mock.Mock(holds=True, confirmed_at=clock.now() + 3600)
        self.orders = CountingOrders()
        self.lease_manager = lease_manager.LeaseManager(
            lease,
            self.orders,  # type: ignore[arg-type]
            reader,
            10,
        )
        self.lease_manager.start_term({}, {})
        table = tuple(
            owners.OwnedRange(
                ranges.Range(first, first + 15, OWNER, 2), is_moving=True
            )
            for first in range(0, 4800, 16)
        )
        self.lease_manager.start_orders(owners.Tables(1, 1, {'s': table}))

    async def finish(self) -> None:
        """Waits for all orders in flight."""
        await asyncio.gather(*self.lease_manager.order_tasks.values())

    async def test_few_orders_at_a_time(self) -> None:
        """Limits concurrent grants, which would delay the coordinator's lease."""
        await self.finish()
        self.assertEqual(self.orders.granted, 300)
        self.assertEqual(
            self.orders.max_in_flight, lease_manager.MAX_CONCURRENT_GRANTS
        )

    async def test_what_changes_while_an_order_waits(self) -> None:
        """Waiting grants are not sent once their ranges have left the tables."""
        await asyncio.sleep(0)
        self.lease_manager.retain_ranges(frozenset())
        await self.finish()
        self.assertLessEqual(
            self.orders.granted, lease_manager.MAX_CONCURRENT_GRANTS
        )

    def test_renewals_are_spread(self) -> None:
        """Many ranges are renewed less often, but still twice in a lease."""
        cases = ((20, 0.6), (96, 0.6), (160, 1.0), (400, 1.4))
        for count, seconds in cases:
            with self.subTest(count=count):
                interval = lease_times.renewal_interval_seconds(count)
                self.assertAlmostEqual(interval, seconds)
                self.assertLess(interval * 2, lease_times.LEASE_SECONDS + 0.1)


class CountingOrders:
    """Fake orders that confirm every grant after 1 ms and count them."""

    def __init__(self) -> None:
        """Starts with no grants counted."""
        self.in_flight = 0
        self.max_in_flight = 0
        self.granted = 0

    async def grant(self, *_: object) -> result.Result[None, leases.Failure]:
        """Counts a grant, and how many are in flight with it."""
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        await asyncio.sleep(0.001)
        self.in_flight -= 1
        self.granted += 1
        return result.Ok(None)
