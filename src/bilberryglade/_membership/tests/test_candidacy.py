"""Followers of a coordinator: whom they believe, and until when."""

import asyncio
import unittest
from unittest import mock

from bilberryglade._membership import candidacy, fleet, leadership
from bilberryglade._values import clock
from bilberryglade.platform.tests import servers
from bilberryglade_schema import fleet as messages


def member(name: str) -> fleet.Member:
    """Returns a member of the fleet."""
    return fleet.Member(name, f'{name}-boot', '127.0.0.1:1', 'a')


def follower(client: object) -> candidacy.Candidacy:
    """Returns an instance `b` that knows the instance `a`."""
    members = fleet.Fleet(member('b'), mock.Mock())
    members.take(member('a'))
    return candidacy.Candidacy(members, client)  # type: ignore[arg-type]


def lead(sender: str, term: int) -> messages.Lead:
    """Returns the sign of life of a coordinator."""
    return {
        'kind': 'lead',
        'sender': sender,
        'term': term,
        'claim': 0,
        'tables_version': 0,
        'tables_change': 0,
        'operator_offset': -1,
        'operator_total': 0,
        'operator_age_ms': 1,
    }


class FollowerTests(unittest.IsolatedAsyncioTestCase):
    """What makes a follower look at the lease."""

    async def asyncSetUp(self) -> None:
        """Starts a store; `a` leads."""
        self.store = await servers.start_store()
        self.lease = follower(self.store.client)
        self.lease.hear(lead('a', 3))

    async def asyncTearDown(self) -> None:
        """Ends the store."""
        await self.store.stop()

    async def test_only_the_sign_of_life_counts(self) -> None:
        """A coordinator that lost its lease still answers other messages."""
        self.assertTrue(self.lease.is_led)
        later = clock.now() + candidacy.SILENCE_SECONDS + 0.1
        with mock.patch.object(clock, 'now', return_value=later):
            self.lease.members.hear('a')
            self.assertFalse(self.lease.is_led)

    async def test_a_coordinator_that_stops(self) -> None:
        """It is not waited for, and its pools are not counted on."""
        self.lease.leave('c')
        self.assertTrue(self.lease.is_led)
        self.lease.leave('a')
        self.assertFalse(self.lease.is_led)
        self.assertFalse(self.lease.is_heard)

    async def test_a_coordinator_whose_lease_has_ended(self) -> None:
        """Its last word is no sign of life: others look at once."""
        over = lead('a', 3)
        over['is_over'] = True
        self.lease.hear(over)
        self.assertFalse(self.lease.is_led)
        self.assertFalse(self.lease.is_heard)

    async def test_end_of_a_coordinator_that_nobody_follows_any_more(
        self,
    ) -> None:
        """It says nothing of the one that coordinates now."""
        self.lease.hear(lead('c', 5))
        over = lead('a', 3)
        over['is_over'] = True
        self.lease.hear(over)
        self.assertTrue(self.lease.is_led)

    async def test_end_of_a_lease_is_told(self) -> None:
        """All others hear of it from the one that has lost it."""
        ends: list[str] = []
        self.lease.on_end.append(lambda: ends.append('over'))
        self.lease._lose('lease ended')  # noqa: WPS437
        self.assertEqual(ends, ['over'])

    async def test_older_terms_are_left_out(self) -> None:
        """A coordinator of an earlier term is not believed again."""
        self.lease.hear(lead('c', 5))
        self.lease.hear(lead('a', 3))
        self.assertEqual(self.lease.coordinator, 'c')

    async def test_claim_of_a_free_lease(self) -> None:
        """With no claim in the store the first to look coordinates."""
        keep = asyncio.create_task(self.lease.keep())
        later = clock.now() + candidacy.SILENCE_SECONDS + 0.1
        with mock.patch.object(clock, 'now', return_value=later):
            for _ in range(100):
                await asyncio.sleep(0.02)
                if self.lease.holds:
                    break
        keep.cancel()
        self.assertTrue(self.lease.holds)


class StrengthTests(unittest.IsolatedAsyncioTestCase):
    """A free lease, and another instance that was heard just now."""

    async def asyncSetUp(self) -> None:
        """Starts the store; nobody has claimed."""
        self.store = await servers.start_store()
        self.addAsyncCleanup(self.store.stop)
        self.lease = follower(self.store.client)

    def hear(self, processor: float, link_mbps: float = 1000) -> None:
        """Hears of an instance with so many cores and such a link."""
        strong = member('c')._replace(processor=processor, link_mbps=link_mbps)
        self.lease.members.take(strong)
        self.lease.members.hear('c')

    def own(self, processor: float, link_mbps: float) -> None:
        """Gives this instance so many cores and such a link."""
        members = self.lease.members
        members.own = members.own._replace(
            processor=processor, link_mbps=link_mbps
        )

    def wait(self, seconds: float) -> None:
        """Lets the lease be free for so many seconds more."""
        assert self.lease.free_since is not None
        self.lease.free_since -= seconds

    async def look(self) -> bool:
        """Looks once; returns whether the lease was claimed."""
        await self.lease._look()  # noqa: WPS437
        return self.lease.holds

    async def test_stronger_instance_goes_first(self) -> None:
        """A weak instance waits for it, for a limited time."""
        self.hear(2.0)
        self.assertFalse(await self.look())
        self.wait(candidacy.YIELD_SECONDS)
        self.assertTrue(await self.look())

    async def test_coordinator_does_not_lose_its_lease_to_its_own_link(
        self,
    ) -> None:
        """An instance with a small link leaves the lease to one with more."""
        self.own(processor=2, link_mbps=10)
        self.hear(2.0, link_mbps=100)
        self.assertFalse(await self.look())
        self.wait(candidacy.YIELD_SECONDS)
        self.assertTrue(await self.look())

    async def test_weak_instance_is_not_first_in_a_fleet_that_starts(
        self,
    ) -> None:
        """It waits though it knows of no other, but not for long."""
        self.own(processor=0.4, link_mbps=100)
        self.assertFalse(await self.look())
        self.wait(candidacy.YIELD_SECONDS / 2 + 0.01)
        self.assertTrue(await self.look())

    async def test_time_counts_from_when_the_lease_is_free(self) -> None:
        """While it is held a weak instance waits for nothing."""
        self.hear(2.0)
        with mock.patch.object(leadership, 'may_claim', return_value=False):
            await self.look()
        self.assertIsNone(self.lease.free_since)
        self.assertFalse(await self.look())

    async def test_equal_instances_do_not_wait(self) -> None:
        """Where all have about the same, the first to look coordinates."""
        self.hear(1.2)
        self.assertTrue(await self.look())

    async def test_one_that_is_silent_is_not_waited_for(self) -> None:
        """It may be lost with the coordinator."""
        self.hear(2.0)
        self.lease.members.heard['c'] -= candidacy.HEARD_SECONDS
        self.assertTrue(await self.look())
