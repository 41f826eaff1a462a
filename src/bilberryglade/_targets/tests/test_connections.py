"""Kept connections, and what arrives on them between two calls."""

import asyncio
import unittest
from unittest import mock

from bilberryglade._targets import connections, sender
from bilberryglade._targets.tests import raw_target
from bilberryglade._values import outcomes


class IdleTests(unittest.IsolatedAsyncioTestCase):
    """Bytes that come while no call is under way belong to none."""

    async def asyncSetUp(self) -> None:
        """The target answers each call by its number."""
        self.writers: list[asyncio.StreamWriter] = []
        self.target = raw_target.RawTarget(self.answer)
        self.addAsyncCleanup(self.target.stop)
        self.address = await self.target.start()
        self.http = sender.Sender(2, 1000)
        self.addAsyncCleanup(self.http.close)

    async def answer(
        self,
        _: raw_target.RawTarget,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> bool:
        """Answers, and keeps the connection for the test to write to."""
        self.writers.append(writer)
        writer.write(raw_target.whole(b'%d' % number))
        return True

    async def call(self) -> bytes:
        """Sends a call over a kept connection and returns its answer."""
        call = sender.Call(self.address, 'POST', '/', {}, b'', seconds=1)
        outcome = await self.http.send(call, on_fresh=False)
        assert isinstance(outcome, outcomes.Answered), outcome
        return outcome.body

    async def test_bytes_that_the_loop_has_not_read(self) -> None:
        """They wait in the socket when the next call is sent."""
        await self.call()
        self.writers[0].write(raw_target.whole(b'foreign'))
        self.assertEqual(await self.call(), b'2')
        self.assertEqual(self.target.connections, 2)

    async def test_end_that_the_loop_has_not_read(self) -> None:
        """A call is not lost on a connection that the target has closed."""
        await self.call()
        self.writers[0].close()
        self.assertEqual(await self.call(), b'2')
        self.assertEqual(self.target.connections, 2)

    async def test_replaced_connection_is_kept_as_the_first_was(self) -> None:
        """Once the uses of the first one were over, each call opened another."""
        with mock.patch.object(connections, 'MOST_USES', 3):
            http = sender.Sender(2, 1000)
        self.addAsyncCleanup(http.close)
        self.http = http
        for number in range(1, 13):
            self.assertEqual(await self.call(), b'%d' % number)
        self.assertEqual(self.target.connections, 3)

    async def test_quiet_connection_is_kept(self) -> None:
        """One on which nothing came carries the next call."""
        for number in (b'1', b'2', b'3'):
            self.assertEqual(await self.call(), number)
        self.assertEqual(self.target.connections, 1)
