"""Records of the fleet's own topics of which nothing can be made."""

import asyncio
import contextlib
import typing
import unittest
from unittest import mock

import msgspec
import zmq

from bilberryglade._membership import (
    candidacy,
    enrolment,
    fleet,
    leadership,
)
from bilberryglade.platform.tests import servers

DEEP: typing.Final = b'\x91' * 60_000
MEMBER: typing.Final = {  # noqa: WPS407
    'boot': 'b',
    'address': '127.0.0.1:9',
    'failure_domain': 'a',
    'processor': 2,
}
CLAIM: typing.Final = {  # noqa: WPS407
    'holder': 'e9',
    'boot': 'b',
    'address': '127.0.0.1:9',
    'sequence': 1,
    'is_resigned': False,
}
#: Seconds for which a claim holds in these tests, and within which the next
#: one must stand.
LEASE_SECONDS: typing.Final = 0.2
CLAIM_SECONDS: typing.Final = 5.0


class RecordCase(unittest.IsolatedAsyncioTestCase):
    """The instance `b` over a store."""

    async def asyncSetUp(self) -> None:
        """Starts the store."""
        self.store = await servers.start_store()
        self.addAsyncCleanup(self.store.stop)
        own = fleet.Member('b', 'b1', '127.0.0.1:1', 'a')
        self.members = fleet.Fleet(own, mock.Mock())
        self.lease = candidacy.Candidacy(self.members, self.store.client)

    async def write(self, topic: str, key: str, payload: bytes) -> None:
        """Writes as somebody else."""
        await self.store.client.append(topic, key, payload)


class MemberTests(RecordCase):
    """Instances as they are listed."""

    async def test_odd_members(self) -> None:
        """All others are known."""
        odd: tuple[dict[str, object], ...] = (
            {'address': '127.0.0.1:99999'},
            {'address': 'a b:80'},
            {'processor': float('nan')},
            {'processor': -1},
            {'boot': 5},
        )
        raw = [msgspec.msgpack.encode({**MEMBER, **one}) for one in odd]
        for place, payload in enumerate((DEEP, b'\xc1', *raw)):
            await self.write(enrolment.MEMBERS_TOPIC, f'odd{place}', payload)
        whole = msgspec.msgpack.encode(MEMBER)
        await self.write(enrolment.MEMBERS_TOPIC, 'e9', whole)
        parts = enrolment.Enrolment(self.members, self.store.client, self.lease)
        following = asyncio.create_task(parts.follow())
        while not parts.is_read:
            await asyncio.sleep(0.01)
        self.assertEqual(set(self.members.members), {'b', 'e9'})
        following.cancel()


class KeyTests(RecordCase):
    """The key pair of the fleet."""

    async def test_odd_pairs(self) -> None:
        """One that no connection can use is replaced, for all the same."""
        public, secret = (key.decode() for key in zmq.curve_keypair())
        other = zmq.curve_keypair()[0].decode()
        odd = (
            {'public_key': public, 'secret_key': 'x'},
            {'public_key': public, 'secret_key': '#' * 40},
            {'public_key': other, 'secret_key': secret},
            {'public_key': public},
        )
        raw = [msgspec.msgpack.encode(pair) for pair in odd]
        for payload in (DEEP, b'\xc1', *raw):
            with self.subTest(payload=payload[:9]):
                await self.write(
                    enrolment.KEYS_TOPIC, enrolment.KEYS_KEY, payload
                )
                read = (await enrolment.read_fleet(self.store.client)).keys
                found = zmq.curve_public(read['secret_key'].encode())
                self.assertEqual(found.decode(), read['public_key'])
                again = await enrolment.read_fleet(self.store.client)
                self.assertEqual(again.keys, read)


class ClaimTests(RecordCase):
    """The coordinator's lease."""

    async def test_odd_claims(self) -> None:
        """Nobody's claim ends like any other, and somebody coordinates."""
        odd = msgspec.msgpack.encode({**CLAIM, 'sequence': -1})
        for payload in (DEEP, b'\xc1', odd):
            with self.subTest(payload=payload[:9]):
                await self.asyncSetUp()
                await self.write(candidacy.TOPIC, candidacy.KEY, payload)
                await self.keep_until_held()

    async def test_an_odd_claim_keeps_back_the_next(self) -> None:
        """Whoever held the lease before it may still hold it."""
        await self.write(candidacy.TOPIC, candidacy.KEY, b'\xc1')
        keeping = asyncio.create_task(self.lease.keep())
        await asyncio.sleep(LEASE_SECONDS)
        self.assertFalse(self.lease.holds)
        keeping.cancel()

    async def keep_until_held(self) -> None:
        """Runs the candidacy until it holds the lease."""
        short = mock.patch.object(leadership, 'LEASE_SECONDS', LEASE_SECONDS)
        with short, contextlib.suppress(asyncio.CancelledError):
            keeping = asyncio.create_task(self.lease.keep())
            async with asyncio.timeout(CLAIM_SECONDS):
                while not self.lease.holds:
                    await asyncio.sleep(0.01)
            keeping.cancel()
            await keeping
