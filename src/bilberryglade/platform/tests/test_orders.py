"""Orders to targets count only by answers that are their own."""

import asyncio
import typing
import unittest

import result

from bilberryglade._targets import sender
from bilberryglade._targets.tests import raw_target
from bilberryglade._values import leases
from bilberryglade.platform import orders

LEASE: typing.Final = leases.Lease(0, 9, fence=2, seconds=3, is_renewal=True)
#: One that its holder has not confirmed yet.
NEW_LEASE: typing.Final = leases.Lease(20, 29, fence=4, seconds=3)
#: Seconds for a release; its answers come at once here.
SECONDS: typing.Final = 0.5
UNCLEAR: typing.Final = result.Err(leases.Failure.unclear)
REJECTED: typing.Final = result.Err(leases.Failure.rejected)
FENCED: typing.Final = result.Err(leases.Failure.fenced)
UNREACHABLE: typing.Final = result.Err(leases.Failure.unreachable)
ID: typing.Final = b'x-request-id: r-1\r\n'
WORD: typing.Final = b'x-handover: w\r\n'
REFUSED: typing.Final = b'x-request-id: r-1\r\nx-not-executed: 1\r\n'

Answer: typing.TypeAlias = result.Result[typing.Any, leases.Failure]


def written(status: int, named: bytes = b'') -> bytes:
    """Returns the bytes of an answer without a body."""
    return b'HTTP/1.1 %d X\r\n%scontent-length: 0\r\n\r\n' % (status, named)


class OrderTests(unittest.IsolatedAsyncioTestCase):
    """A target's answers to orders, over sockets."""

    async def start(self, *answers: bytes) -> None:
        """Starts a target that writes `answers` in turn, to any order."""
        self.answers = answers
        self.target = raw_target.RawTarget(self.answer)
        self.addAsyncCleanup(self.target.stop)
        self.holder = leases.Holder('t', await self.target.start())
        http = sender.Sender(4, 1000)
        self.addAsyncCleanup(http.close)
        self.orders = orders.Orders(http)

    async def answer(
        self,
        _: raw_target.RawTarget,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> bool:
        """Writes the answer that is next, and keeps the connection."""
        writer.write(self.answers[number - 1])
        return True

    async def grant(self) -> Answer:
        """Grants a lease."""
        return await self.orders.grant(self.holder, LEASE)

    async def release(self) -> Answer:
        """Takes its keys back."""
        return await self.orders.release(self.holder, LEASE, SECONDS)

    async def test_grants(self) -> None:
        """A grant is confirmed by an answer that says nothing else."""
        cases: tuple[tuple[bytes, Answer], ...] = (
            (written(200), result.Ok(None)),
            (written(200, ID), UNCLEAR),
            (written(200, WORD), UNCLEAR),
            (written(204), UNCLEAR),
            (written(302), UNCLEAR),
            (written(409), FENCED),
            (written(409, ID), UNCLEAR),
            (written(400), REJECTED),
            (written(421), REJECTED),
            (written(503, REFUSED), UNCLEAR),
            (written(200)[:-1], UNCLEAR),
            (written(200).replace(b'200', b'200x'), UNCLEAR),
        )
        for raw, meant in cases:
            with self.subTest(raw=raw):
                await self.start(raw)
                self.assertEqual(await self.grant(), meant)

    async def test_releases(self) -> None:
        """Keys count as given back only by the word that comes with it."""
        cases: tuple[tuple[bytes, Answer], ...] = (
            (written(200, WORD), result.Ok('w')),
            (written(200), UNCLEAR),
            (written(200, ID), UNCLEAR),
            (written(200, ID + WORD), UNCLEAR),
            (written(200, WORD + WORD), UNCLEAR),
            (written(204, WORD), UNCLEAR),
            (written(409), FENCED),
            (written(400, WORD), REJECTED),
            (written(503, REFUSED), UNCLEAR),
            (written(200, WORD)[:-1], UNCLEAR),
        )
        for raw, meant in cases:
            with self.subTest(raw=raw):
                await self.start(raw)
                self.assertEqual(await self.release(), meant)

    async def test_earlier_answer_does_not_free_keys(self) -> None:
        """A grant's answer that comes once more is no release's."""
        await self.start(written(200), written(200))
        self.assertEqual(await self.grant(), result.Ok(None))
        self.assertEqual(await self.release(), UNCLEAR)

    async def test_release_goes_over_a_connection_of_its_own(self) -> None:
        """Nothing that was asked before can be answered on it."""
        word = written(200, WORD)
        await self.start(written(200), word, word, written(200))
        await self.grant()
        for _ in range(2):
            self.assertEqual(await self.release(), result.Ok('w'))
        self.assertEqual(self.target.connections, 3)
        self.assertEqual(await self.grant(), result.Ok(None))
        self.assertEqual(self.target.connections, 3)

    async def test_foreign_answer_ends_the_connection_of_grants(self) -> None:
        """The grant's own answer, which may follow, is no later one's."""
        for foreign in (written(200, ID), written(200, WORD)):
            with self.subTest(foreign=foreign):
                await self.start(foreign + written(200), written(200))
                self.assertEqual(await self.grant(), UNCLEAR)
                self.assertEqual(await self.grant(), result.Ok(None))
                self.assertEqual(self.target.connections, 2)

    async def test_odd_status_ends_the_connection_of_grants(self) -> None:
        """Whatever it answers, the next grant starts anew."""
        for status in (201, 204, 302):
            with self.subTest(status=status):
                await self.start(written(status), written(200))
                self.assertEqual(await self.grant(), UNCLEAR)
                self.assertEqual(await self.grant(), result.Ok(None))
                self.assertEqual(self.target.connections, 2)

    async def test_bytes_after_a_grant_end_its_connection(self) -> None:
        """The next grant is not confirmed by them."""
        await self.start(written(200) + written(200), written(409))
        self.assertEqual(await self.grant(), result.Ok(None))
        self.assertEqual(await self.grant(), FENCED)
        self.assertEqual(self.target.connections, 2)

    async def test_late_answer_to_a_renewal_confirms_no_new_lease(self) -> None:
        """It comes on the connection of renewals, while the new one runs."""
        writers: list[asyncio.StreamWriter] = []

        async def behave(  # noqa: WPS430
            _: raw_target.RawTarget,
            writer: asyncio.StreamWriter,
            number: int,
        ) -> bool:
            writers.append(writer)
            writers[0].write(written(200))
            if number == 2:
                await asyncio.sleep(0.05)
                writer.write(written(409))
            return True

        await self.start()
        self.target.behaviour = behave
        self.assertEqual(await self.grant(), result.Ok(None))
        granted = await self.orders.grant(self.holder, NEW_LEASE)
        self.assertEqual(granted, FENCED)

    async def test_target_that_is_away(self) -> None:
        """No byte of an order went out."""
        await self.start()
        await self.target.stop()
        self.assertEqual(await self.grant(), UNREACHABLE)
        self.assertEqual(await self.release(), UNREACHABLE)

    async def test_reach(self) -> None:
        """Any answer to the look itself tells that a target is there."""
        named = b'x-instance-id: %s\r\n'
        cases = (
            (written(200, named % b't'), True),
            (written(503, named % b't'), True),
            (written(404), True),
            (written(200, named % b'u'), False),
            (written(200, ID), False),
            (written(503, REFUSED), False),
            (b'', False),
        )
        for raw, meant in cases:
            with self.subTest(raw=raw):
                await self.start(raw)
                is_there = await self.orders.reach(self.holder, '/health')
                self.assertEqual(is_there, meant)

    async def test_each_look_takes_a_new_connection(self) -> None:
        """What answers on an old one may be what was asked before."""
        await self.start(written(200), written(200), written(200))
        await self.grant()
        for _ in range(2):
            self.assertTrue(await self.orders.reach(self.holder, '/health'))
        self.assertEqual(self.target.connections, 3)
