"""The coordinator's tables in the store: taken over, written, written again."""

import asyncio
import typing
import unittest
from unittest import mock

import result

from bilberryglade._knowledge import knowledge
from bilberryglade._membership import fleet, leadership
from bilberryglade._ownership import (
    key_loads,
    lease_manager,
    outstanding_leases,
    owners,
    ranges,
    steward,
)
from bilberryglade._routing import catalogue
from bilberryglade._targets import directory
from bilberryglade._targets.tests import samples
from bilberryglade._values import clock, leases
from bilberryglade.platform import orders
from bilberryglade.platform.tests import servers


class Lease:
    """A coordinator's lease that a test renews."""

    def __init__(self) -> None:
        """Was claimed once."""
        self.holds = True
        self.term = 4
        self.state = leadership.State(term=4, newest=4)
        self.confirmed_at = clock.now()

    def renew(self) -> None:
        """Claims once more."""
        self.state = self.state._replace(newest=self.state.newest + 1)


class StewardCase(unittest.IsolatedAsyncioTestCase):
    """One service with keys and two targets, over the store's stand-in."""

    async def asyncSetUp(self) -> None:
        """Starts the store; nobody owns anything."""
        self.store = await servers.start_store()
        self.addAsyncCleanup(self.store.stop)
        service = catalogue.Service('s', True, 0, 0)
        configuration = mock.Mock(services={'s': service})
        self.known = knowledge.Knowledge(catalogue=configuration)
        for number in (1, 2):
            self.list_target(number)
        self.lease = Lease()
        reader = mock.Mock(known=self.known)
        leasing = lease_manager.LeaseManager(
            self.lease,  # type: ignore[arg-type]
            mock.AsyncMock(),
            reader,
            10,
        )
        leasing.start_orders = mock.Mock()  # type: ignore[method-assign]
        own = fleet.Member('e1', 'b', '127.0.0.1:1', 'a')
        self.steward = steward.Steward(
            fleet.Fleet(own, mock.Mock()),
            self.lease,  # type: ignore[arg-type]
            self.store.client,
            reader,
            leasing,
            key_loads.LoadSum(),
        )

    def list_target(self, number: int) -> None:
        """Lists a target that shows that it lives."""
        target = samples.target(name=f't{number}', offset=number)
        listed = directory.put(self.known.directory, target)
        self.known = self.known._replace(directory=listed)

    async def rounds(self, count: int) -> None:
        """Runs what the coordinator does in turn."""
        for _ in range(count):
            if self.steward.term == self.lease.term:
                await self.steward._round()  # noqa: WPS437
            else:
                await self.steward._take_over()  # noqa: WPS437

    async def stored(self) -> owners.Tables:
        """Returns the tables that stand in the store."""
        other = mock.Mock()
        reader = steward.Steward(
            other, other, self.store.client, other, mock.Mock(), other
        )
        await reader.read_tables()
        return reader.tables


class FormerTests(StewardCase):
    """Leases of earlier owners over several coordinators."""

    async def test_what_is_left_of_a_lease(self) -> None:
        """A successor waits for that, not for a whole lease anew."""
        await self.rounds(2)
        leasing = self.steward.lessor
        gone = ranges.Owner('gone', 1)
        entry = ranges.Range(0, 65_535, gone, 1)
        leasing.start_term(
            {'s': [owners.Former(entry, 3.0)]}, {gone: '10.9.9.9:80'}
        )
        leasing.stale_fences = {
            ('s', owned.entry) for owned in self.steward.tables.services['s']
        }
        await self.rounds(1)
        self.lease.renew()
        self.steward.term = -1
        await self.rounds(1)
        left = {hold.owner: hold.until for hold in leasing.outstanding['s']}
        self.assertLess(left[gone] - clock.now(), 4)
        self.assertGreater(left[gone] - clock.now(), 2.5)
        self.assertEqual(leasing.addresses.release_address(gone), '10.9.9.9:80')
        listed = ranges.Owner('t1', 10)
        self.assertGreater(left[listed] - clock.now(), 9)


class TakeoverTests(StewardCase):
    """What a coordinator takes the owners to hold that it finds."""

    async def test_renewal_of_the_earlier_coordinator_on_its_way(self) -> None:
        """Its time runs from an arrival after the takeover."""
        await self.rounds(2)
        self.lease.renew()
        self.steward.term = -1
        began = clock.now()
        await self.rounds(1)
        longest = 10 * (1 + outstanding_leases.TARGET_DRIFT_FRACTION)
        for hold in self.steward.lessor.outstanding['s']:
            with self.subTest(hold=hold):
                self.assertGreater(
                    hold.until, began + orders.GRANT_SECONDS + longest
                )


class LeavingServiceTests(StewardCase):
    """Services that the configuration does not name for a while."""

    async def asyncSetUp(self) -> None:
        """Two services have tables; targets of both hold their keys."""
        await super().asyncSetUp()
        self.services = {
            name: catalogue.Service(name, True, 0, 0) for name in ('r', 's')
        }
        other = samples.target(name='u', service='r', offset=3)
        listed = directory.put(self.known.directory, other)
        self.known = self.known._replace(directory=listed)
        self.configure(mock.Mock(services=self.services))
        await self.rounds(2)
        self.leasing = self.steward.lessor
        tables = self.steward.tables.services
        owned = tables['r'][0]
        self.leasing.outstanding['r'] = outstanding_leases.record_order(
            (), owned.entry, clock.now() + 3
        )

    def configure(self, configuration: typing.Any) -> None:
        """Puts a configuration in force."""
        self.known = self.known._replace(catalogue=configuration)
        self.steward.reader.known = self.known

    async def refence(self) -> None:
        """Makes the coordinator write a record."""
        self.leasing.stale_fences = {
            ('s', owned.entry) for owned in self.steward.tables.services['s']
        }
        await self.rounds(1)

    async def test_leases_of_a_service_that_left_stand_in_the_record(
        self,
    ) -> None:
        """A successor waits for them when the service comes back."""
        self.configure(mock.Mock(services={'s': self.services['s']}))
        await self.refence()
        self.lease.renew()
        self.steward.term = -1
        await self.rounds(1)
        held = self.leasing.outstanding.get('r', ())
        self.assertEqual([hold.owner.target for hold in held], ['u'])

    async def test_tables_stand_while_no_configuration_is_known(self) -> None:
        """An instance that has just started may coordinate without one."""
        before = await self.stored()
        self.configure(None)
        await self.refence()
        after = await self.stored()
        self.assertEqual(after.services.keys(), before.services.keys())


class EpochTests(StewardCase):
    """Writes after a conflict, in the same term."""

    async def test_tables_are_taken_over_twice(self) -> None:
        """What is written after that stands in the store, with new fences."""
        await self.rounds(2)
        before = await self.stored()
        self.assertTrue(before.services['s'])
        self.steward.term = -1
        await self.rounds(1)
        self.assertEqual(self.steward.term, -1)
        self.lease.renew()
        await self.rounds(1)
        self.steward.lessor.stale_fences = {
            ('s', owned.entry) for owned in before.services['s']
        }
        await self.rounds(1)
        after = await self.stored()
        self.assertGreater(after.version, before.version)
        fences = [owned.entry.fence for owned in before.services['s']]
        for owned in after.services['s']:
            with self.subTest(owned=owned):
                self.assertGreater(owned.entry.fence, max(fences))

    async def test_a_gap_in_the_numbers(self) -> None:
        """A write that was given up stops the next one only till a renewal."""
        await self.rounds(2)
        self.steward.sequence += 1
        self.steward.lessor.stale_fences = {
            ('s', owned.entry) for owned in self.steward.tables.services['s']
        }
        version = self.steward.tables.version
        await self.rounds(1)
        self.assertEqual(self.steward.term, -1)
        self.lease.renew()
        await self.rounds(1)
        self.steward.lessor.stale_fences = {
            ('s', owned.entry) for owned in self.steward.tables.services['s']
        }
        await self.rounds(1)
        self.assertGreater((await self.stored()).version, version)


class ReplacedTablesTests(StewardCase):
    """Orders of tables while the record of the next ones is on its way."""

    async def asyncSetUp(self) -> None:
        """Another target still holds the keys of the first owner."""
        await super().asyncSetUp()
        await self.rounds(2)
        self.leasing = self.steward.lessor
        tables = self.steward.tables
        self.entry = tables.services['s'][0].entry
        self.holder = ranges.Owner('w', 1)
        held = self.entry._replace(owner=self.holder, fence=0)
        known = outstanding_leases.record_order((), held, clock.now() + 9)
        self.leasing.outstanding['s'] = outstanding_leases.record_confirmation(
            known, held, earlier_unanswered_until=0
        )
        self.leasing.addresses.record(self.holder, '10.9.9.9:80')
        self.orders = mock.AsyncMock()
        self.orders.grant.return_value = result.Ok(None)
        self.leasing.orders = self.orders
        self.answer = asyncio.Event()
        self.append = self.store.client.append

    async def replace_owner(self) -> None:
        """Writes tables in which the first owner has none of its keys."""
        listed = self.known.directory
        name = self.entry.owner.target
        leaving = listed.targets[name]._replace(is_draining=True, offset=90)
        self.steward.reader.known = self.known._replace(
            directory=directory.put(listed, leaving)
        )
        with mock.patch.object(self.store.client, 'append', self.appended):
            await self.rounds(1)

    async def appended(self, *arguments: typing.Any) -> object:
        """Answers the order on its way while the record is appended."""
        self.answer.set()
        await asyncio.sleep(0.02)
        return await self.append(*arguments)

    async def test_no_first_grant_while_tables_are_replaced(self) -> None:
        """A successor would know neither the holder nor its time."""
        self.orders.release.side_effect = self.answered(result.Ok(''))
        lease_manager.LeaseManager.start_orders(
            self.leasing, self.steward.tables
        )
        await self.let_orders_begin()
        await self.replace_owner()
        self.orders.release.assert_awaited()
        self.assertNotIn(self.entry.first, self.granted())

    async def test_no_order_that_has_not_begun(self) -> None:
        """The same for orders that were started just before."""
        self.leasing.outstanding.clear()
        lease_manager.LeaseManager.start_orders(
            self.leasing, self.steward.tables
        )
        await self.replace_owner()
        self.assertNotIn(self.entry.first, self.granted())

    async def test_grant_on_its_way_stands_in_the_record(self) -> None:
        """It may be carried out, so a successor waits for its time."""
        self.leasing.outstanding.clear()
        self.orders.grant.side_effect = self.answered(
            result.Err(leases.Failure.unclear)
        )
        lease_manager.LeaseManager.start_orders(
            self.leasing, self.steward.tables
        )
        await self.let_orders_begin()
        await self.replace_owner()
        await self.steward.read_tables()
        former = owners.former_of(self.steward.former['s'])
        self.assertIn(self.entry.owner, {one.entry.owner for one in former})

    async def test_new_fence_that_is_asked_for_meanwhile(self) -> None:
        """An owner that is back may be a new life, and gets its next fence."""
        slots = owners.slots(self.steward.tables)
        kept = max(slots, key=lambda slot: slot[1].first)
        append = self.store.client.append

        async def ask(*arguments: typing.Any) -> object:  # noqa: WPS430
            self.leasing.stale_fences.add(kept)
            return await append(*arguments)

        with mock.patch.object(self, 'append', ask):
            await self.replace_owner()
        self.assertIn(kept, owners.slots(self.steward.tables))
        self.assertIn(kept, self.leasing.stale_fences)

    async def let_orders_begin(self) -> None:
        """Lets what was started go as far as to its first answer."""
        for _ in range(9):
            await asyncio.sleep(0)

    def granted(self) -> set[int]:
        """Returns the first keys of the ranges for which grants were sent."""
        return {call.args[1].first for call in self.orders.grant.mock_calls}

    def answered(self, answer: object) -> typing.Any:
        """Returns an order that is answered when the test says so."""

        async def order(*_: object) -> object:  # noqa: WPS430
            await self.answer.wait()
            return answer

        return order
