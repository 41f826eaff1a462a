"""Tests the coordinator's tables in the store: takeover and writes."""

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
    table_manager,
)
from bilberryglade._routing import catalogue
from bilberryglade._targets import directory
from bilberryglade._targets.tests import samples
from bilberryglade._values import clock, leases
from bilberryglade.platform import orders
from bilberryglade.platform.tests import servers


class Lease:
    """Stands in for the coordinator's lease; tests renew it."""

    def __init__(self) -> None:
        """Holds the lease of term 4."""
        self.holds = True
        self.term = 4
        self.state = leadership.State(term=4, newest=4)
        self.confirmed_at = clock.now()

    def renew(self) -> None:
        """Renews the claim, which provides a new epoch for writes."""
        self.state = self.state._replace(newest=self.state.newest + 1)


class TableManagerCase(unittest.IsolatedAsyncioTestCase):
    """Sets up one service with keys and two targets on a stand-in store."""

    async def asyncSetUp(self) -> None:
        """Starts the store and a table manager; no key has an owner yet."""
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
        self.manager = table_manager.TableManager(
            fleet.Fleet(own, mock.Mock()),
            self.lease,  # type: ignore[arg-type]
            self.store.client,
            reader,
            leasing,
            key_loads.LoadSum(),
        )

    def list_target(self, number: int) -> None:
        """Adds target t<number> to the directory."""
        target = samples.target(name=f't{number}', offset=number)
        listed = directory.put(self.known.directory, target)
        self.known = self.known._replace(directory=listed)

    async def run_rounds(self, count: int) -> None:
        """Runs `count` rounds; a round takes the tables over if it must."""
        for _ in range(count):
            if self.manager.term == self.lease.term:
                await self.manager._round()  # noqa: WPS437
            else:
                await self.manager._take_over()  # noqa: WPS437

    async def stored_tables(self) -> owners.Tables:
        """Returns the tables in the store, as a new instance reads them."""
        unused = mock.Mock()
        reader = table_manager.TableManager(
            unused, unused, self.store.client, unused, mock.Mock(), unused
        )
        await reader.read_tables()
        return reader.tables


class FormerOwnerTests(TableManagerCase):
    """Tests that leases of earlier owners survive a change of coordinator."""

    async def test_successor_waits_for_remaining_lease(self) -> None:
        """A new coordinator waits for the rest of a lease, not a full one."""
        await self.run_rounds(2)
        leasing = self.manager.lease_manager
        gone = ranges.Owner('gone', 1)
        entry = ranges.Range(0, 65_535, gone, 1)
        leasing.start_term(
            {'s': [owners.FormerOwner(entry, 3.0)]}, {gone: '10.9.9.9:80'}
        )
        leasing.stale_fences = {
            ('s', owned.entry) for owned in self.manager.tables.services['s']
        }
        await self.run_rounds(1)
        self.lease.renew()
        self.manager.term = -1
        await self.run_rounds(1)
        lease_ends = {
            lease.owner: lease.until for lease in leasing.outstanding['s']
        }
        self.assertLess(lease_ends[gone] - clock.now(), 4)
        self.assertGreater(lease_ends[gone] - clock.now(), 2.5)
        self.assertEqual(leasing.addresses.release_address(gone), '10.9.9.9:80')
        listed = ranges.Owner('t1', 10)
        self.assertGreater(lease_ends[listed] - clock.now(), 9)


class TakeoverTests(TableManagerCase):
    """Tests which leases a new coordinator assumes for the current owners."""

    async def test_renewal_in_flight_at_takeover(self) -> None:
        """A renewal sent before the takeover may arrive after it.

        Its lease then runs from the arrival, so the assumed lease ends later.
        """
        await self.run_rounds(2)
        self.lease.renew()
        self.manager.term = -1
        began = clock.now()
        await self.run_rounds(1)
        longest = 10 * (1 + outstanding_leases.TARGET_DRIFT_FRACTION)
        for lease in self.manager.lease_manager.outstanding['s']:
            with self.subTest(lease=lease):
                self.assertGreater(
                    lease.until, began + orders.GRANT_SECONDS + longest
                )


class RemovedServiceTests(TableManagerCase):
    """Tests services that are missing from the configuration for a while."""

    async def asyncSetUp(self) -> None:
        """Writes tables of services r and s; a target of r holds a lease."""
        await super().asyncSetUp()
        self.services = {
            name: catalogue.Service(name, True, 0, 0) for name in ('r', 's')
        }
        other_target = samples.target(name='u', service='r', offset=3)
        listed = directory.put(self.known.directory, other_target)
        self.known = self.known._replace(directory=listed)
        self.configure(mock.Mock(services=self.services))
        await self.run_rounds(2)
        self.leasing = self.manager.lease_manager
        tables = self.manager.tables.services
        owned = tables['r'][0]
        self.leasing.outstanding['r'] = outstanding_leases.record_order(
            (), owned.entry, clock.now() + 3
        )

    def configure(self, configuration: typing.Any) -> None:
        """Puts a configuration in force."""
        self.known = self.known._replace(catalogue=configuration)
        self.manager.reader.known = self.known

    async def request_new_fences(self) -> None:
        """Requests new fences for service s, so that a record is written."""
        self.leasing.stale_fences = {
            ('s', owned.entry) for owned in self.manager.tables.services['s']
        }
        await self.run_rounds(1)

    async def test_record_keeps_leases_of_removed_service(
        self,
    ) -> None:
        """The next coordinator needs them if the service is configured again."""
        self.configure(mock.Mock(services={'s': self.services['s']}))
        await self.request_new_fences()
        self.lease.renew()
        self.manager.term = -1
        await self.run_rounds(1)
        held = self.leasing.outstanding.get('r', ())
        self.assertEqual([lease.owner.target for lease in held], ['u'])

    async def test_tables_kept_without_configuration(self) -> None:
        """A new instance can be coordinator before it has a configuration."""
        before = await self.stored_tables()
        self.configure(None)
        await self.request_new_fences()
        after = await self.stored_tables()
        self.assertEqual(after.services.keys(), before.services.keys())


class EpochTests(TableManagerCase):
    """Tests writes after a conflict in the same term."""

    async def test_second_takeover_in_one_term(self) -> None:
        """The second takeover waits for a new epoch; then writes are stored.

        Under the old epoch the store would answer them as repeats and keep the
        old fences.
        """
        await self.run_rounds(2)
        before = await self.stored_tables()
        self.assertTrue(before.services['s'])
        self.manager.term = -1
        await self.run_rounds(1)
        self.assertEqual(self.manager.term, -1)
        self.lease.renew()
        await self.run_rounds(1)
        self.manager.lease_manager.stale_fences = {
            ('s', owned.entry) for owned in before.services['s']
        }
        await self.run_rounds(1)
        after = await self.stored_tables()
        self.assertGreater(after.version, before.version)
        fences = [owned.entry.fence for owned in before.services['s']]
        for owned in after.services['s']:
            with self.subTest(owned=owned):
                self.assertGreater(owned.entry.fence, max(fences))

    async def test_gap_in_sequence_numbers(self) -> None:
        """A write with a skipped number fails; writes succeed after a renewal.

        The gap comes about when an earlier write is given up.
        """
        await self.run_rounds(2)
        self.manager.sequence += 1
        self.manager.lease_manager.stale_fences = {
            ('s', owned.entry) for owned in self.manager.tables.services['s']
        }
        version = self.manager.tables.version
        await self.run_rounds(1)
        self.assertEqual(self.manager.term, -1)
        self.lease.renew()
        await self.run_rounds(1)
        self.manager.lease_manager.stale_fences = {
            ('s', owned.entry) for owned in self.manager.tables.services['s']
        }
        await self.run_rounds(1)
        self.assertGreater((await self.stored_tables()).version, version)


class ReplacedTablesTests(TableManagerCase):
    """Tests orders of the old tables while a record of new ones is appended."""

    async def asyncSetUp(self) -> None:
        """Gives target w a lease on the keys of the first owner."""
        await super().asyncSetUp()
        await self.run_rounds(2)
        self.leasing = self.manager.lease_manager
        tables = self.manager.tables
        self.entry = tables.services['s'][0].entry
        self.holder = ranges.Owner('w', 1)
        held = self.entry._replace(owner=self.holder, fence=0)
        ordered = outstanding_leases.record_order((), held, clock.now() + 9)
        self.leasing.outstanding['s'] = outstanding_leases.record_confirmation(
            ordered, held, earlier_unanswered_until=0
        )
        self.leasing.addresses.record(self.holder, '10.9.9.9:80')
        self.orders = mock.AsyncMock()
        self.orders.grant.return_value = result.Ok(None)
        self.leasing.orders = self.orders
        self.answer = asyncio.Event()
        self.append = self.store.client.append

    async def replace_owner(self) -> None:
        """Drains the first owner and runs a round, which moves its keys."""
        listed = self.known.directory
        name = self.entry.owner.target
        leaving = listed.targets[name]._replace(is_draining=True, offset=90)
        self.manager.reader.known = self.known._replace(
            directory=directory.put(listed, leaving)
        )
        with mock.patch.object(
            self.store.client, 'append', self.append_and_answer
        ):
            await self.run_rounds(1)

    async def append_and_answer(self, *arguments: typing.Any) -> object:
        """Lets the pending order be answered before the record is appended."""
        self.answer.set()
        await asyncio.sleep(0.02)
        return await self.append(*arguments)

    async def test_no_first_grant_while_tables_are_replaced(self) -> None:
        """A release is answered during the append; no grant may follow it.

        The record would not list the new holder or its lease, and the next
        coordinator would not wait for it.
        """
        self.orders.release.side_effect = self.delayed_order(result.Ok(''))
        lease_manager.LeaseManager.start_orders(
            self.leasing, self.manager.tables
        )
        await self.let_orders_start()
        await self.replace_owner()
        self.orders.release.assert_awaited()
        self.assertNotIn(self.entry.first, self.granted_first_keys())

    async def test_no_order_starts_while_tables_are_replaced(self) -> None:
        """An order task that has not sent anything yet sends no grant."""
        self.leasing.outstanding.clear()
        lease_manager.LeaseManager.start_orders(
            self.leasing, self.manager.tables
        )
        await self.replace_owner()
        self.assertNotIn(self.entry.first, self.granted_first_keys())

    async def test_record_lists_grant_in_flight(self) -> None:
        """The target may apply the grant, so the next coordinator must wait."""
        self.leasing.outstanding.clear()
        self.orders.grant.side_effect = self.delayed_order(
            result.Err(leases.Failure.unclear)
        )
        lease_manager.LeaseManager.start_orders(
            self.leasing, self.manager.tables
        )
        await self.let_orders_start()
        await self.replace_owner()
        await self.manager.read_tables()
        former = owners.from_former_table(self.manager.former_tables['s'])
        self.assertIn(
            self.entry.owner,
            {former_owner.entry.owner for former_owner in former},
        )

    async def test_new_fence_requested_during_append(self) -> None:
        """A fence requested during the append stays requested after it.

        The owner that asks for it may be a new incarnation of the target.
        """
        slots = owners.service_ranges(self.manager.tables)
        kept_range = max(slots, key=lambda slot: slot[1].first)
        append = self.store.client.append

        async def append_with_request(*arguments: typing.Any) -> object:  # noqa: WPS430
            self.leasing.stale_fences.add(kept_range)
            return await append(*arguments)

        with mock.patch.object(self, 'append', append_with_request):
            await self.replace_owner()
        self.assertIn(kept_range, owners.service_ranges(self.manager.tables))
        self.assertIn(kept_range, self.leasing.stale_fences)

    async def let_orders_start(self) -> None:
        """Runs the order tasks until each waits for its first answer."""
        for _ in range(9):
            await asyncio.sleep(0)

    def granted_first_keys(self) -> set[int]:
        """Returns the first key of each range for which a grant was sent."""
        return {call.args[1].first for call in self.orders.grant.mock_calls}

    def delayed_order(self, answer: object) -> typing.Any:
        """Returns an order that gives `answer` once `self.answer` is set."""

        async def order(*_: object) -> object:  # noqa: WPS430
            await self.answer.wait()
            return answer

        return order
