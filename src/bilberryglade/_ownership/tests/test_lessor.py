"""Orders to the owner of a range, whatever becomes of them."""

import asyncio
import typing
import unittest
from unittest import mock

import result

from bilberryglade._knowledge import knowledge
from bilberryglade._ownership import (
    holds,
    lease_times,
    lessor,
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
    """One owner of all keys, which has been granted them."""

    async def asyncSetUp(self) -> None:
        """Its entry in the store never changes."""
        self.reader = mock.Mock(known=knowledge.Knowledge())
        self.list_target(samples.target())
        self.tables = TABLES
        lease = mock.Mock(holds=True, term=4)
        self.orders = mock.AsyncMock()
        self.orders.grant.return_value = result.Ok(None)
        self.orders.reach.return_value = True
        self.lessor = lessor.Lessor(lease, self.orders, self.reader, 10)
        # Sums of eighths are exact, so that it is certain which round comes
        # after the moment at which an order is due.
        self.began = 1000.0
        self.passed: float = 0
        lease.confirmed_at = self.began + 3600
        patched = mock.patch.object(
            clock, 'now', lambda: self.began + self.passed
        )
        patched.start()
        self.addCleanup(patched.stop)
        self.lessor.begin({}, {})
        await self.rounds(1)

    def list_target(self, target: directory.Target) -> None:
        """Takes in an entry of a target, newer than all before."""
        known = self.reader.known
        offset = len(known.directory.offsets) + 100 * target.born
        listed = directory.put(known.directory, target._replace(offset=offset))
        self.reader.known = known._replace(directory=listed)

    def hold(self) -> holds.Hold:
        """Returns what the owner may hold."""
        held = self.lessor.holds['s']
        self.assertEqual(len(held), 1)
        return held[0]

    async def rounds(self, count: int) -> None:
        """Runs the orders that are due, an eighth of a second apart."""
        for _ in range(count):
            self.passed += 0.125
            self.lessor.start_orders(self.tables)
            reach = self.lessor.reach
            reach.look(self.lessor.target_of, '/{}'.format)
            tasks = (*self.lessor.busy.values(), *reach.probes.values())
            await asyncio.gather(*tasks)


class GrantTests(GrantCase):
    """Orders to the one owner."""

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

    async def test_lost_orders_do_not_prolong_what_it_may_hold(self) -> None:
        """After the first one its keys are free when that lease has ended."""
        self.orders.grant.return_value = result.Err(leases.Failure.unclear)
        self.orders.reach.return_value = False
        await self.rounds(7)
        until = self.hold().until
        await self.rounds(20)
        self.assertEqual(self.hold().until, until)
        # The first order at 0.125 s is renewed in the first round after 0.6 s.
        self.assertLess(until, self.began + 0.75 + 0.5 + 3.1)

    async def test_higher_fence_seen(self) -> None:
        """A target that refuses a fence is there, and gets a new one."""
        self.orders.grant.return_value = result.Err(leases.Failure.fenced)
        await self.rounds(7)
        self.assertFalse(self.lessor.reach.is_failing(OWNER))
        self.assertEqual(self.lessor.fenced, {('s', ENTRY)})


class RebornOwnerTests(GrantCase):
    """An owner that started again between two renewals, and others' keys."""

    async def asyncSetUp(self) -> None:
        """Its keys are to go to another target."""
        await super().asyncSetUp()
        heir = ranges.Owner('u', 10)
        entry = ranges.Range(0, leases.LAST_KEY, heir, 4)
        self.tables = owners.Tables(
            2, 1, {'s': (owners.OwnedRange(entry, is_moving=True),)}
        )
        self.list_target(samples.target(born=11, address='10.0.0.9:80'))
        self.list_target(samples.target(name='u'))
        self.lessor.keep_only(owners.service_ranges(self.tables))

    async def test_keys_wait_for_a_release_of_the_later_life(self) -> None:
        """The later life may have taken the last renewal."""
        given: list[str] = []
        self.orders.release.side_effect = lambda holder, *_: self.noted(
            given, f'release {holder.address}', result.Ok('')
        )
        self.orders.grant.side_effect = lambda holder, _: self.noted(
            given, f'grant {holder.name}', result.Ok(None)
        )
        await self.rounds(1)
        self.assertEqual(given, ['release 10.0.0.9:80', 'grant u'])

    async def test_keys_wait_for_the_time_of_a_lease_not_released(self) -> None:
        """Without an answer of the later life the lease runs out."""
        self.orders.release.return_value = result.Err(leases.Failure.unclear)
        self.orders.grant.reset_mock()
        until = self.hold().until
        while self.began + self.passed + 0.125 < until:
            await self.rounds(1)
            self.orders.grant.assert_not_awaited()
        await self.rounds(4)
        self.orders.grant.assert_awaited()

    def noted(self, given: list[str], what: str, answer: object) -> object:
        """Notes an order and answers it."""
        given.append(what)
        return answer


class NewTermTests(GrantCase):
    """Orders of an earlier term whose answers come in a later one."""

    async def test_answer_of_an_earlier_term_clears_no_doubt(self) -> None:
        """What the tables of the new term say of a lease stays."""
        answer = asyncio.Event()

        async def grant(*_: object) -> object:  # noqa: WPS430
            await answer.wait()
            return result.Ok(None)

        self.orders.grant.side_effect = grant
        self.passed += 1
        self.lessor.start_orders(self.tables)
        tasks = list(self.lessor.busy.values())
        await asyncio.sleep(0)
        former = owners.FormerOwner(ENTRY, 10)
        self.lessor.begin({'s': [former]}, {})
        before = self.hold()
        answer.set()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual(self.hold(), before)
        self.assertEqual(self.lessor.grants, {})

    async def test_no_order_of_an_earlier_term(self) -> None:
        """Others may have coordinated between two terms of one instance."""
        self.orders.grant.reset_mock()
        self.lessor.grant_places = asyncio.Semaphore(0)
        self.passed += 1
        self.lessor.start_orders(self.tables)
        await asyncio.sleep(0)
        self.lessor.lease.term += 2
        self.lessor.grant_places.release()
        await asyncio.gather(*self.lessor.busy.values())
        self.orders.grant.assert_not_awaited()


class LateReleaseTests(GrantCase):
    """Releases that wait for others while the tables change."""

    async def test_no_release_for_tables_out_of_force(self) -> None:
        """It would take back what a newer table gives to its target."""
        heir = ranges.Range(0, leases.LAST_KEY, ranges.Owner('u', 10), 4)
        tables = owners.Tables(2, 1, {'s': (owners.OwnedRange(heir, True),)})
        self.list_target(samples.target(name='u'))
        self.lessor.keep_only(owners.service_ranges(tables))
        self.lessor.release_places = asyncio.Semaphore(0)
        self.lessor.start_orders(tables)
        await asyncio.sleep(0)
        self.lessor.keep_only(frozenset())
        self.lessor.release_places.release()
        await asyncio.gather(*self.lessor.busy.values())
        self.orders.release.assert_not_awaited()


class OldTablesTests(GrantCase):
    """Orders under way whose ranges are not wanted any more."""

    async def test_answer_for_tables_out_of_force(self) -> None:
        """It brings on no order and no new fence."""
        for answer in (result.Ok(None), result.Err(leases.Failure.fenced)):
            with self.subTest(answer=answer):
                self.lessor.begin({}, {})
                self.orders.grant.side_effect = self.replaced(answer)
                await self.rounds(1)
                self.assertEqual(self.lessor.grants, {})
                self.assertEqual(self.lessor.fenced, set())

    def replaced(self, answer: object) -> typing.Any:
        """Returns a grant during which its tables are replaced."""

        async def grant(*_: object) -> object:  # noqa: WPS430
            self.lessor.keep_only(frozenset())
            return answer

        return grant


class StalledLoopTests(GrantCase):
    """A loop that stands still while an order is given."""

    async def test_confirmed_order_that_left_late(self) -> None:
        """Its lease runs from an arrival as late as its answer."""
        await self.grant_late(result.Ok(None))

    async def test_unclear_order_that_left_late(self) -> None:
        """The same where the answer was lost."""
        await self.grant_late(result.Err(leases.Failure.unclear))

    async def grant_late(self, answer: object) -> None:
        """Renews the lease; the order ends long after it should have."""
        self.answer = answer
        self.orders.grant.side_effect = self.late
        await self.rounds(5)
        self.assertEqual(self.orders.grant.await_count, 2)
        self.assertGreaterEqual(
            self.hold().until,
            holds.lease_end(self.ended_at, lease_times.LEASE_SECONDS),
        )

    async def late(self, *_: object) -> object:
        """Answers after two seconds in which nothing ran."""
        self.passed += 2
        self.ended_at = clock.now()
        return self.answer


class ManyRangesTests(unittest.IsolatedAsyncioTestCase):
    """A table of many ranges, all to be granted at once."""

    async def asyncSetUp(self) -> None:
        """Nothing is granted yet."""
        listed = directory.put(directory.Directory(), samples.target())
        reader = mock.Mock(known=knowledge.Knowledge(directory=listed))
        lease = mock.Mock(holds=True, confirmed_at=clock.now() + 3600)
        self.orders = CountingOrders()
        self.lessor = lessor.Lessor(
            lease,
            self.orders,  # type: ignore[arg-type]
            reader,
            10,
        )
        self.lessor.begin({}, {})
        table = tuple(
            owners.OwnedRange(
                ranges.Range(first, first + 15, OWNER, 2), is_moving=True
            )
            for first in range(0, 4800, 16)
        )
        self.lessor.start_orders(owners.Tables(1, 1, {'s': table}))

    async def finish(self) -> None:
        """Waits for all orders that were started."""
        await asyncio.gather(*self.lessor.busy.values())

    async def test_few_orders_at_a_time(self) -> None:
        """The rest waits, so that the coordinator's claim does not."""
        await self.finish()
        self.assertEqual(self.orders.granted, 300)
        self.assertEqual(self.orders.most, lessor.MOST_GRANTS)

    async def test_what_changes_while_an_order_waits(self) -> None:
        """A range that moved on meanwhile is granted to its old owner no more."""
        await asyncio.sleep(0)
        self.lessor.keep_only(frozenset())
        await self.finish()
        self.assertLessEqual(self.orders.granted, lessor.MOST_GRANTS)

    def test_renewals_are_spread(self) -> None:
        """Many ranges are renewed less often, and in time all the same."""
        cases = ((20, 0.6), (96, 0.6), (160, 1.0), (400, 1.4))
        for count, seconds in cases:
            with self.subTest(count=count):
                found = lease_times.renewal_seconds(count)
                self.assertAlmostEqual(found, seconds)
                self.assertLess(found * 2, lease_times.LEASE_SECONDS + 0.1)


class CountingOrders:
    """Confirms every grant after a moment."""

    def __init__(self) -> None:
        """Was given none."""
        self.under_way = 0
        self.most = 0
        self.granted = 0

    async def grant(self, *_: object) -> result.Result[None, leases.Failure]:
        """Counts the grants on their way."""
        self.under_way += 1
        self.most = max(self.most, self.under_way)
        await asyncio.sleep(0.001)
        self.under_way -= 1
        self.granted += 1
        return result.Ok(None)
