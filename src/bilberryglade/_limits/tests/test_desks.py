"""Whom an instance asks for a token, and what it begins with."""

import asyncio
import typing
import unittest
from unittest import mock

from bilberryglade._limits import desks, parts, pools
from bilberryglade._membership import candidacy, fleet
from bilberryglade._routing import catalogue
from bilberryglade._values import clock
from bilberryglade_schema import fleet as messages

LARGE: typing.Final = catalogue.Organisation('large', None, 100, 100)
SMALL: typing.Final = catalogue.Organisation('small', None, 2, 2)


class DeskTests(unittest.IsolatedAsyncioTestCase):
    """One of four instances of a failure domain; another one coordinates."""

    def setUp(self) -> None:
        """Starts on a clock of the test; asks are answered by `answers`."""
        self.now = 100.0
        moved = mock.patch.object(clock, 'now', lambda: self.now)
        moved.start()
        self.addCleanup(moved.stop)
        self.asked: list[tuple[str, bool]] = []
        self.amounts = {'pool': 0, 'part': 0}
        own = fleet.Member('e0', 'b', 'at-e0', 'a')
        others = [
            fleet.Member(f'e{number}', 'b', f'at-e{number}', 'a')
            for number in range(1, 4)
        ]
        self.members = fleet.Fleet(own, mock.Mock(send=self.answer), others)
        self.lease = mock.Mock(
            spec=candidacy.Candidacy,
            coordinator='e3',
            holds=False,
            is_heard=True,
        )
        organisations = {'large': LARGE, 'small': SMALL}
        self.pool = pools.Pools(self.members, self.lease, lambda: organisations)
        self.desks = desks.Desks(self.members, self.lease, self.pool)

    def answer(self, address: str, ask: messages.QuotaAsk) -> bool:
        """Stands for the others: answers an ask while it is sent."""
        from_part = ask.get('from_part', False)
        self.asked.append((address, from_part))
        grant: messages.QuotaGrant = {
            'kind': 'quota_grant',
            'sender': address,
            'boot': ask['boot'],
            'sequence': ask['sequence'],
            'organisation': ask['organisation'],
            'amount': self.amounts['part' if from_part else 'pool'],
            'retry_ms': 400,
        }
        asyncio.get_running_loop().call_soon(self.desks.take, grant)
        return True

    async def admit(self, holder: catalogue.Organisation) -> float | None:
        """Takes a token now."""
        return await self.desks.admit(holder, is_late=False)

    async def admitted(self) -> int:
        """Returns how many requests are admitted at this moment."""
        count = 0
        while await self.admit(LARGE) is None:
            count += 1
        return count

    async def test_restart_brings_what_flowed_nowhere_meanwhile(self) -> None:
        """Guards against tokens that each restart brings anew (review/4)."""
        self.lease.is_heard = False
        share = LARGE.rate / 4
        most = share * parts.RESTART_SECONDS
        self.assertEqual(await self.admitted(), int(most))
        # Without a coordinator the burst of this instance's share is 25.
        self.now += 10
        self.assertEqual(await self.admitted(), LARGE.burst / 4)
        self.desks = desks.Desks(self.members, self.lease, self.pool)
        self.assertEqual(await self.admitted(), int(most))

    async def test_neighbour_is_asked_before_the_pool(self) -> None:
        """One that holds no part of a small quota has two to ask."""
        divided = self.pool.divisions.division('small', parts.Quota(2, 2))
        holder = divided.near['a'][0]
        self.assertEqual(len(divided.near['a']), 1)
        self.members.own = self.members.members[
            next(name for name in self.members.members if name != holder)
        ]
        both = [(f'at-{holder}', True), ('at-e3', False)]
        cases = ((1, 0, both[:1]), (0, 1, both), (0, 0, both))
        for part, pool, asked in cases:
            with self.subTest(part=part, pool=pool):
                self.now += 1
                self.asked.clear()
                self.amounts = {'part': part, 'pool': pool}
                wait = await self.admit(SMALL)
                self.assertEqual(wait is None, part + pool > 0)
                self.assertEqual(self.asked, asked)

    async def test_who_has_no_token_is_not_asked_before_its_time(self) -> None:
        """A burst of refused requests sends no burst of asks."""
        for _ in range(20):
            await self.admit(LARGE)
        self.assertEqual(self.asked, [('at-e3', False)])

    async def test_silent_coordinator_is_not_waited_for(self) -> None:
        """Its pool is kept back for the holders, of which this is one."""
        self.lease.is_heard = False
        await self.admit(LARGE)
        self.now += 1
        self.assertIsNone(await self.admit(LARGE))
        self.assertEqual(self.asked, [])
