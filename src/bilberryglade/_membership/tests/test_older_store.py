"""Claims and entries when the store has come back older."""

import asyncio
import typing
import unittest
from unittest import mock

from bilberryglade._membership import candidacy, enrolment, fleet, leadership
from bilberryglade._values import clock, stored
from bilberryglade.platform import store
from bilberryglade.platform.tests import servers

CLAIMS: typing.Final = f'keyed.{candidacy.TOPIC}'
#: So many seconds ago the store was empty.
BEFORE_ALL: typing.Final = 60


class Process:
    """An instance as far as it claims the lease and enrols."""

    def __init__(self, name: str, running: servers.Store) -> None:
        """Connects it to the store with a client of its own."""
        client = store.StoreClient(running.running.address, running.http)
        own = fleet.Member(name, f'{name}-boot', f'at-{name}:1', 'a')
        self.members = fleet.Fleet(own, mock.Mock())
        self.lease = candidacy.Candidacy(self.members, client)
        keys = enrolment._new_keys()  # noqa: WPS437
        self.enrolment = enrolment.Enrolment(
            self.members, client, self.lease, keys
        )

    async def look(self, seconds: float = 0) -> bool:
        """Looks at the lease in so many seconds; returns whether it holds it."""
        later = clock.now() + seconds
        with (
            mock.patch.object(clock, 'now', return_value=later),
            mock.patch.object(candidacy, 'LOOK_SECONDS', (0, 0)),
        ):
            await self.lease._look()  # noqa: WPS437
            return self.lease.holds

    async def renew(self) -> bool:
        """Renews its claim; returns whether it coordinates."""
        await self.lease._renew()  # noqa: WPS437
        return self.lease.holds


class StoreCase(unittest.IsolatedAsyncioTestCase):
    """A store that names its era, and two instances."""

    async def asyncSetUp(self) -> None:
        """Starts it; `a` coordinates, and `b` has seen that."""
        self.store = await servers.start_store()
        self.addAsyncCleanup(self.store.stop)
        self.model = self.store.service.model
        self.model.names_era = True
        self.one = Process('a', self.store)
        self.other = Process('b', self.store)
        self.assertTrue(await self.one.look())
        self.assertFalse(await self.other.look())


class ClaimTests(StoreCase):
    """The claim in force is gone from the store."""

    async def test_holder_writes_its_claim_again(self) -> None:
        """It goes on as the coordinator of a new term, without a break."""
        before = self.one.lease.state
        self.model.go_back(BEFORE_ALL)
        for _ in range(2):
            self.assertTrue(await self.one.renew())
        after = self.one.lease.state
        self.assertEqual(stored.era_of(after.term), 1)
        self.assertEqual(self.one.lease.term, after.term)
        self.assertEqual(after.tenure, before.tenure)

    async def test_holder_writes_behind_the_restored_claim(self) -> None:
        """An earlier claim in the copy is not taken for a rival's."""
        self.model.go_back(0)
        self.model.write(CLAIMS, candidacy.KEY, b'of an earlier holder')
        for _ in range(3):
            self.assertTrue(await self.one.renew())
        self.assertEqual(stored.position_of(self.one.lease.state.newest)[0], 1)

    async def test_free_lease_is_not_claimed_at_once(self) -> None:
        """The holder of the claim that is gone may act on it still."""
        self.model.go_back(BEFORE_ALL)
        self.assertFalse(await self.other.look())
        self.assertFalse(await self.other.look(leadership.LEASE_SECONDS))
        self.assertTrue(await self.other.look(leadership.WAITED_SECONDS + 0.1))

    async def test_instance_that_starts_in_a_later_era(self) -> None:
        """It cannot know whose claim is gone, and waits as well."""
        self.model.go_back(BEFORE_ALL)
        started = Process('c', self.store)
        self.assertFalse(await started.look())
        self.assertTrue(await started.look(leadership.WAITED_SECONDS + 0.1))

    async def test_holder_that_is_late(self) -> None:
        """Once its lease has ended it is a follower like all others."""
        self.model.go_back(BEFORE_ALL)
        later = clock.now() + leadership.LEASE_SECONDS + 0.1
        with mock.patch.object(clock, 'now', return_value=later):
            self.assertFalse(await self.one.renew())


class EntryTests(StoreCase):
    """Entries and the key pair are gone from the store."""

    async def asyncSetUp(self) -> None:
        """Both instances have joined."""
        await super().asyncSetUp()
        self.tasks = [
            asyncio.create_task(coroutine)
            for process in (self.one, self.other)
            for coroutine in (
                process.enrolment.follow(),
                process.enrolment.keep_copy(),
            )
        ]
        await self.until_written()
        async with asyncio.timeout(5):
            while self.known() != [{'a', 'b'}, {'a', 'b'}]:
                await asyncio.sleep(0.02)

    async def asyncTearDown(self) -> None:
        """Ends both."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def known(self) -> list[set[str]]:
        """Returns the members that each instance knows."""
        both = (self.one.members, self.other.members)
        return [set(members.members) for members in both]

    def written(self) -> set[str]:
        """Returns the keys that stand in the store."""
        names: set[str] = set()
        for topic in (enrolment.MEMBERS_TOPIC, enrolment.KEYS_TOPIC):
            partition = self.model.partition({'topic': f'keyed.{topic}'})
            names.update(one['key'] for one in partition.newest('')['items'])
        return names

    async def until_written(self, *more: str) -> None:
        """Waits until entries and copies of both stand in the store."""
        copies = {f'{enrolment.COPY_PREFIX}{name}' for name in ('a', 'b')}
        async with asyncio.timeout(5):
            while not self.written() >= {'a', 'b', *copies, *more}:
                await asyncio.sleep(0.02)

    async def test_they_are_written_again(self) -> None:
        """Also the pair, so that instances which start belong to the fleet."""
        self.other.members.hear('a')
        self.one.members.hear('b')
        versions = [self.one.members.version, self.other.members.version]
        self.model.go_back(BEFORE_ALL)
        await self.until_written(enrolment.KEYS_KEY)
        self.assertEqual(
            versions, [self.one.members.version, self.other.members.version]
        )

    async def test_member_that_was_not_heard(self) -> None:
        """One that does not write its entry again is no member any more."""
        gone = fleet.Member('c', 'c-boot', 'at-c:1', 'a', offset=0)
        self.one.members.take(gone)
        self.model.go_back(BEFORE_ALL)
        await self.until_written()
        async with asyncio.timeout(5):
            while 'c' in self.one.members.members:
                await asyncio.sleep(0.02)
