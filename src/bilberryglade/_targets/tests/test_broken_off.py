"""Requests, grants and looks at health whose answers break off."""

import asyncio
import typing
import unittest

from bilberryglade._targets import client
from bilberryglade._targets.tests import raw_target
from bilberryglade._values import outcomes

SECONDS: typing.Final = 2.0
#: Seconds by which a call may outlast its own limit.
GRACE_SECONDS: typing.Final = 0.5
OK: typing.Final = b'HTTP/1.1 200 OK\r\n'
DOWN: typing.Final = b'HTTP/1.1 503 Down\r\n'
HELLO: typing.Final = b'content-length: 5\r\n\r\nhello'
EMPTY: typing.Final = b'content-length: 0\r\n\r\n'
REFUSED: typing.Final = (
    b'run-state: not-started\r\ncontent-length: 5\r\n\r\nhello'
)
CHUNKS: typing.Final = (
    b'transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n'
)


class BrokenOffTests(unittest.IsolatedAsyncioTestCase):
    """What counts after an answer that was cut."""

    async def asyncSetUp(self) -> None:
        """Prepares a client."""
        self.client = client.TargetClient(raw_target.LIMITS)
        self.addAsyncCleanup(self.client.close)

    async def is_granted(self, raw: bytes, *, ends: bool = True) -> bool:
        """Returns whether a target that answers with `raw` took a grant."""
        target = raw_target.RawTarget(raw_target.answering(raw, ends))
        address = await target.start()
        async with asyncio.timeout(client.GRANT_SECONDS + GRACE_SECONDS):
            taken = await self.client.grant(address, [])
        await target.stop()
        return taken

    async def has_fallen(self, raw: bytes, *, ends: bool = True) -> bool:
        """Returns whether a target that answers with `raw` is down."""
        target = raw_target.RawTarget(raw_target.answering(raw, ends))
        address = await target.start()
        async with asyncio.timeout(client.HEALTH_SECONDS + GRACE_SECONDS):
            has_fallen = await self.client.has_fallen(address)
        await target.stop()
        return has_fallen

    async def test_grant(self) -> None:
        """Only a whole answer says that a target took it; none raises."""
        for raw in (OK + HELLO, OK + CHUNKS):
            self.assertTrue(await self.is_granted(raw))
            for cut, _ in enumerate(raw):
                with self.subTest(raw=raw[:cut]):
                    self.assertFalse(await self.is_granted(raw[:cut]))

    async def test_request(self) -> None:
        """Whether a request ran is unknown then, however it is sent."""
        for raw in (OK + HELLO, OK + CHUNKS, OK + EMPTY, DOWN + REFUSED):
            for cut, _ in enumerate(raw):
                with self.subTest(raw=raw[:cut]):
                    self.assertEqual(
                        await self.outcomes_of(raw[:cut]), {client.LOST}
                    )
            self.assertNotIn(client.LOST, await self.outcomes_of(raw))

    async def outcomes_of(self, raw: bytes) -> set[outcomes.Outcome]:
        """Returns what became of a request that may be repeated, and not."""
        target = raw_target.RawTarget(raw_target.answering(raw))
        address = await target.start()
        found = {
            await self.client.run(
                address,
                raw_target.request(repeatable=repeatable),
                raw_target.GRANT,
                SECONDS,
            )
            for repeatable in (True, False)
        }
        await target.stop()
        return found

    async def test_fall(self) -> None:
        """Only a whole answer says that a target is down."""
        for raw in (DOWN + HELLO, DOWN + CHUNKS):
            self.assertTrue(await self.has_fallen(raw))
            for cut, _ in enumerate(raw):
                with self.subTest(raw=raw[:cut]):
                    self.assertFalse(await self.has_fallen(raw[:cut]))

    async def test_silence_within_an_answer(self) -> None:
        """Neither call waits for the rest beyond its time."""
        for rest in (CHUNKS[:-9], HELLO[:-2]):
            with self.subTest(rest=rest):
                is_granted = await self.is_granted(OK + rest, ends=False)
                self.assertFalse(is_granted)
                has_fallen = await self.has_fallen(DOWN + rest, ends=False)
                self.assertFalse(has_fallen)
