"""Whom an instance knows, from before anything of it runs."""

import asyncio
import typing
import unittest
from unittest import mock

import result

from bilberryglade._membership import candidacy, enrolment, fleet, leadership
from bilberryglade.platform.tests import servers

LIST: typing.Final = 'keyed.members'
#: Seconds until what was asked of the store stands there.
WRITTEN_SECONDS: typing.Final = 5.0


class Process:
    """A process of an instance, as far as it enrols."""

    def __init__(self, name: str, known: enrolment.Known, client: object):
        """Begins with what was read before its start."""
        own = fleet.Member(name, f'{name}-boot', f'at-{name}:1', 'a')
        self.peers = mock.Mock()
        self.members = fleet.Fleet(own, self.peers, known.members)
        self.lease = candidacy.Candidacy(
            self.members,
            client,  # type: ignore[arg-type]
        )
        self.enrolment = enrolment.Enrolment(
            self.members,
            client,  # type: ignore[arg-type]
            self.lease,
        )
        self.tasks = [
            asyncio.create_task(self.enrolment.follow()),
            asyncio.create_task(self.enrolment.keep_copy()),
        ]

    async def end(self) -> None:
        """Ends it."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def greeted(self) -> set[str]:
        """Returns the addresses that it has said hello to."""
        return {
            call.args[0]
            for call in self.peers.send.call_args_list
            if call.args[1]['kind'] == 'hello'
        }


class EnrolmentTests(unittest.IsolatedAsyncioTestCase):
    """Three instances have joined."""

    async def asyncSetUp(self) -> None:
        """Starts the store and the instances."""
        self.store = await servers.start_store()
        self.addAsyncCleanup(self.store.stop)
        self.processes = [await self.start(name) for name in ('a', 'b', 'c')]
        await self.until_copied({'a', 'b', 'c'})
        for process in self.processes:
            await process.end()

    async def start(self, name: str) -> Process:
        """Starts a process as the platform does."""
        known = await enrolment.read_fleet(self.store.client)
        process = Process(name, known, self.store.client)
        self.addAsyncCleanup(process.end)
        return process

    async def until_copied(self, names: set[str]) -> None:
        """Waits until copies of these instances stand, and no others."""
        async with asyncio.timeout(WRITTEN_SECONDS):
            while True:
                known = await enrolment.read_fleet(self.store.client)
                if {member.name for member in known.members} == names:
                    return
                await asyncio.sleep(0.02)

    async def test_restarted_process_is_not_alone_while_the_list_is_away(
        self,
    ) -> None:
        """Guards against whole quotas and budgets for each of several."""
        faults = self.store.service.faults
        faults.refused_topics.add(LIST)
        process = await self.start('b')
        self.assertEqual(set(process.members.members), {'a', 'b', 'c'})
        await asyncio.sleep(0.1)
        self.assertFalse(process.enrolment.is_read)
        self.assertEqual(process.greeted(), {'at-a:1', 'at-c:1'})

    async def test_list_goes_before_the_copies(self) -> None:
        """Whom it does not name any more is dropped; others are greeted."""
        await self.store.client.append('members', 'c', b'')
        await self.store.client.append('members', 'd', await self.entry_of('a'))
        process = await self.start('b')
        async with asyncio.timeout(WRITTEN_SECONDS):
            while not process.enrolment.is_read:
                await asyncio.sleep(0.01)
        self.assertEqual(set(process.members.members), {'a', 'b', 'd'})
        self.assertEqual(len(process.greeted()), 2)

    async def test_copies_of_lost_members_go_with_them(self) -> None:
        """The coordinator drops both."""
        process = await self.start('a')
        process.lease.state = process.lease.state._replace(
            role=leadership.Role.coordinator, until=float('inf')
        )
        with (
            mock.patch.object(enrolment, 'SWEEP_SECONDS', 0.01),
            mock.patch.object(enrolment, 'SILENT_SECONDS', 0.01),
        ):
            sweeping = asyncio.create_task(process.enrolment.sweep())
            await self.until_copied({'a'})
            async with asyncio.timeout(WRITTEN_SECONDS):
                while set(process.members.members) != {'a'}:
                    await asyncio.sleep(0.01)
            sweeping.cancel()

    async def entry_of(self, name: str) -> bytes:
        """Returns an instance's entry as it is stored."""
        newest = await self.store.client.newest('members')
        assert isinstance(newest, result.Ok)
        return next(
            record.payload or b''
            for record in newest.ok_value.records
            if record.key == name
        )
