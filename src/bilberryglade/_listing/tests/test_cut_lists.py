"""Answers of the list of members that break off."""

import asyncio
import typing
import unittest
from unittest import mock

import aiosonic
import result

from bilberryglade._listing import list_client
from bilberryglade._targets.tests import raw_target

SECONDS: typing.Final = 0.4
GRACE_SECONDS: typing.Final = 0.5
OK: typing.Final = b'HTTP/1.1 200 OK\r\n'
LENGTH: typing.Final = b'content-length: 14\r\n\r\n{"members":[]}'
CHUNK: typing.Final = (
    b'transfer-encoding: chunked\r\n\r\ne\r\n{"members":[]}\r\n0\r\n\r\n'
)


class BrokenOffTests(unittest.IsolatedAsyncioTestCase):
    """Reads of the list whose answers are cut."""

    async def read(
        self,
        raw: bytes,
        *,
        ends: bool = True,
    ) -> result.Result[typing.Any, list_client.ListUnavailable]:
        """Returns what came of a list that answers with `raw`."""
        target = raw_target.RawTarget(raw_target.answering(raw, ends))
        address = await target.start()
        http = aiosonic.HTTPClient()
        client = list_client.ListClient(f'http://{address}', http)
        with mock.patch.object(list_client, 'REQUEST_SECONDS', SECONDS):
            async with asyncio.timeout(SECONDS + GRACE_SECONDS):
                read = await client.read()
        await http.aclose()
        await target.stop()
        return read

    async def test_cut_at_each_byte(self) -> None:
        """A cut is a failure, and is not raised."""
        for raw in (OK + LENGTH, OK + CHUNK):
            self.assertEqual(await self.read(raw), result.Ok([]))
            # What ends an answer in chunks may be cut off.
            for cut in range(raw.index(b'}') + 1):
                with self.subTest(raw=raw[:cut]):
                    read = await self.read(raw[:cut])
                    self.assertIsInstance(read, result.Err)

    async def test_silence_within_an_answer(self) -> None:
        """The rest is not waited for beyond the time of a call."""
        for rest in (LENGTH[:-5], CHUNK[:-9]):
            with self.subTest(rest=rest):
                read = await self.read(OK + rest, ends=False)
                self.assertIsInstance(read, result.Err)
