"""Answers of the log that break off."""

import asyncio
import typing
import unittest

import aiosonic
import result

from bilberryglade._log import log_client
from bilberryglade._targets.tests import raw_target

SECONDS: typing.Final = 0.4
GRACE_SECONDS: typing.Final = 0.5
APPENDED: typing.Final = b'{"offset":5}'
READ: typing.Final = b'{"records":[],"head":3,"oldest":0}'
OK: typing.Final = b'HTTP/1.1 200 OK\r\n'


def framings(payload: bytes) -> tuple[bytes, bytes]:
    """Returns an answer with a length, and one in a chunk."""
    length = b'content-length: %d\r\n\r\n%b' % (len(payload), payload)
    chunk = b'transfer-encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n' % (
        len(payload),
        payload,
    )
    return OK + length, OK + chunk


class BrokenOffTests(unittest.IsolatedAsyncioTestCase):
    """Appends and reads whose answers are cut."""

    async def asyncSetUp(self) -> None:
        """Starts a log that answers with given bytes."""
        self.raw = b''
        self.ends = True
        self.target = raw_target.RawTarget(self.behave)
        self.addAsyncCleanup(self.target.stop)
        http = aiosonic.HTTPClient()
        self.addAsyncCleanup(http.aclose)
        address = await self.target.start()
        self.log = log_client.LogClient(f'http://{address}', http)

    async def behave(
        self,
        target: raw_target.RawTarget,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> bool:
        """Answers with the bytes of the moment."""
        writer.write(self.raw)
        await writer.drain()
        return not self.ends

    async def append(self) -> result.Result[int, log_client.LogFailure]:
        """Appends within its time, or fails."""
        async with asyncio.timeout(SECONDS + GRACE_SECONDS):
            return await self.log.append('s', {'id': 'r-1'}, SECONDS)

    async def read(self) -> result.Result[typing.Any, log_client.LogFailure]:
        """Reads within its time, or fails."""
        async with asyncio.timeout(SECONDS + GRACE_SECONDS):
            return await self.log.read('s', 0, 0, SECONDS)

    async def test_append(self) -> None:
        """A cut is a failure, and is not raised."""
        for raw in framings(APPENDED):
            self.raw = raw
            self.assertEqual(await self.append(), result.Ok(5))
            # What ends an answer in chunks may be cut off.
            for cut in range(raw.index(APPENDED) + len(APPENDED)):
                self.raw = raw[:cut]
                with self.subTest(raw=self.raw):
                    self.assertIsInstance(await self.append(), result.Err)

    async def test_read(self) -> None:
        """The same holds for reads."""
        for raw in framings(READ):
            self.raw = raw
            self.assertIsInstance(await self.read(), result.Ok)
            for cut in range(raw.index(READ) + len(READ)):
                self.raw = raw[:cut]
                with self.subTest(raw=self.raw):
                    self.assertIsInstance(await self.read(), result.Err)

    async def test_silence_within_an_answer(self) -> None:
        """No call waits for the rest beyond its time."""
        self.ends = False
        for raw in framings(READ):
            for place in (5, 20, len(raw) - 10):
                self.raw = raw[:place]
                with self.subTest(raw=self.raw):
                    self.assertIsInstance(await self.read(), result.Err)
