"""Two instances with a store and targets: from the caller to the owner."""

import asyncio
import unittest
from unittest import mock

import loguru

from bilberryglade.platform import headers
from bilberryglade.platform.tests import deployment, samples
from bilberryglade_stand_ins import owning_target


class EntryTests(unittest.IsolatedAsyncioTestCase):
    """What callers and targets see."""

    async def asyncSetUp(self) -> None:
        """Starts a store, three targets and two instances."""
        self.world = deployment.Deployment()
        await self.world.start(instances=2)

    async def asyncTearDown(self) -> None:
        """Ends everything as planned."""
        await self.world.stop()

    async def test_each_key_reaches_its_one_owner(self) -> None:
        """Whichever instance a request enters, its key's owner runs it."""
        owners: dict[int, set[str]] = {}
        for key in range(0, 65_536, 9_000):
            for instance in (0, 1):
                answer = await self.world.ask(
                    '/look/x', instance=instance, x_shard_key=str(key)
                )
                if answer.status == 200:
                    owners.setdefault(key, set()).add(answer.body.decode())
        self.assertGreater(len(owners), 5)
        for key, names in owners.items():
            with self.subTest(key=key):
                self.assertEqual(len(names), 1)

    async def test_organisation(self) -> None:
        """The target learns the organisation and never the API key."""
        answer = await self.world.ask('/claims/1', method='POST')
        self.assertEqual(answer.status, 200)
        run = self.world.runs('c1')[-1]
        self.assertEqual(run.organisation, 'office')

    async def test_refusals(self) -> None:
        """Unknown routes and keys are refused, and nothing of them runs."""
        unknown_key = await self.world.ask('/claims/1', x_credential='no')
        unknown_path = await self.world.ask('/nowhere/')
        self.assertEqual(unknown_key.status, 401)
        self.assertEqual(unknown_path.status, 404)
        self.assertEqual(self.world.runs('c1'), [])

    async def test_withdrawn_key(self) -> None:
        """A key that the configuration dropped stops working everywhere."""
        holders = {
            'columns': ['name', 'api_keys'],
            'rows': [['office', ['key-2']]],
        }
        changed = samples.configuration(8, tenants=holders)
        self.world.write('keyed.op', 'config', changed)
        seconds = await self.world.until(
            lambda: self.world.versions() == {8},
        )
        self.assertLess(seconds, 2)
        for instance in (0, 1):
            answer = await self.world.ask('/claims/1', instance=instance)
            self.assertEqual(answer.status, 401)

    async def test_restart_brings_nothing_back(self) -> None:
        """A new process knows withdrawn API keys and targets that left."""
        holders = {
            'columns': ['name', 'api_keys'],
            'rows': [['office', ['key-2']]],
        }
        changed = samples.configuration(8, tenants=holders)
        self.world.write('keyed.op', 'config', changed)
        beats = self.world.tasks[0]
        beats.cancel()
        self.world.write('keyed.servers', 'c1', b'')
        await self.world.add_instance(2)
        await self.world.until(self.world.parts(2).is_ready)
        withdrawn = await self.world.ask('/claims/1', instance=2, method='POST')
        self.assertEqual(withdrawn.status, 401)
        left = await self.world.ask(
            '/claims/1', instance=2, method='POST', x_credential='key-2'
        )
        self.assertEqual(left.status, 503)
        self.assertEqual(self.world.runs('c1'), [])

    async def test_broken_configuration(self) -> None:
        """One that cannot be read leaves the last good one in force."""
        self.world.write('keyed.op', 'config', samples.configuration()[:-9])
        await asyncio.sleep(0.3)
        answer = await self.world.ask('/claims/1', method='POST')
        self.assertEqual(answer.status, 200)

    async def test_new_life_of_an_owner(self) -> None:
        """Keys of a target that starts again are granted to its new life."""
        before = self.world.listed['l1']
        await before.running.stop()
        await self.world.add_target('l1', 'ledger', born=2)
        reborn = self.world.listed['l1'].target
        seconds = await self.world.until(lambda: bool(reborn.held))
        self.assertLess(seconds, 3)
        fences = {held.fence for held in before.target.held}
        self.assertGreater(min(held.fence for held in reborn.held), max(fences))

    async def test_an_owner_that_gave_its_keys_back(self) -> None:
        """Who says that it owns a key no more is not asked again at once."""
        owners = [self.world.listed[name].target for name in ('l1', 'l2')]
        for owner in owners:
            owner.denies = True
        # The first turn is the owners'; the route's other part has no targets.
        asked = self.world.entries[0]
        asked.parts.router.split_offset = 0
        answer = await self.world.ask('/look/x', x_shard_key='5')
        self.assertEqual(answer.status, 503)
        told = headers.find(answer.headers, headers.RETRY_AFTER)
        self.assertGreater(float(told), 0)
        self.assertEqual(sum(owner.misdirected for owner in owners), 1)

    async def test_fault_of_the_program(self) -> None:
        """It is told with the request's id, and nothing is promised."""
        lines: list[str] = []
        sink = loguru.logger.add(lines.append, format='{message} {extra}')
        self.addCleanup(loguru.logger.remove, sink)
        running = self.world.entries[0]
        with mock.patch.object(
            running.parts.router, 'serve', side_effect=KeyError('odd')
        ):
            answer = await self.world.ask('/claims/1', method='POST')
        self.assertEqual(answer.status, 502)
        told = [line for line in lines if line.startswith('fault while')]
        self.assertEqual(len(told), 1)
        self.assertIn(f'r-{self.world.requests}', told[0])

    async def test_leaving_owner(self) -> None:
        """A target that drains gives its keys up; no key has two owners."""
        leaving = self.world.listed['l1']
        beats = self.world.tasks[0]
        beats.cancel()
        self.world.write_entry('l1', state='draining')
        stays = self.world.listed['l2'].target
        await self.world.until(lambda: _keys(stays.held) == 65_536)
        self.assertEqual(_keys(leaving.target.held), 0)

    async def test_store_away(self) -> None:
        """Without the store, callers are served on what is known."""
        service = self.world.store.service
        service.faults.refuses_with = 503
        await asyncio.sleep(3.5)
        served = 0
        for key in range(0, 65_536, 9_000):
            answer = await self.world.ask('/look/x', x_shard_key=str(key))
            served += answer.status == 200
        self.assertGreater(served, 5)

    async def test_lost_coordinator(self) -> None:
        """The other instance takes over, and the owners keep their keys."""
        first = next(
            running
            for running in self.world.entries
            if running.parts.candidacy.holds
        )
        other = next(one for one in self.world.entries if one is not first)
        first.parts.stopping.set()
        seconds = await self.world.until(lambda: other.parts.candidacy.holds)
        self.assertLess(seconds, 3)
        number = self.world.entries.index(other)
        answer = await self.world.ask(
            '/claims/1', instance=number, method='POST'
        )
        self.assertEqual(answer.status, 200)
        self.assertEqual(
            headers.find(answer.headers, headers.SIGNATURE), 'c1.1'
        )


def _keys(held: list[owning_target.Held]) -> int:
    return sum(one.last - one.first + 1 for one in held)
