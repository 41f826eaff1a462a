"""Answers of the store that are cut, and what its client makes of them."""

import asyncio
import json
import socket
import typing
import unittest

import result

from bilberryglade._targets import sender
from bilberryglade._targets.tests import raw_target
from bilberryglade._values import stored
from bilberryglade.platform import records, store
from bilberryglade.platform.tests import cutting

UNCLEAR: typing.Final = result.Err(stored.Failure.unclear)
UNREADABLE: typing.Final = result.Err(stored.Failure.unreadable)
RECORDS: typing.Final = b''.join(
    (
        records.HEAD.pack(9, 0),
        records.frame(records.keyed('a', b'1')),
        records.frame(records.keyed('b', b'')),
    )
)
READ: typing.Final = stored.Batch(
    (stored.Record('a', 7, b'1'), stored.Record('b', 8, None)),
    end=9,
    is_whole=False,
)
APPENDED: typing.Final = b'{"offset":7,"end":8}'


def page(key: str, *, has_more: bool) -> bytes:
    """Returns a page with the newest record of one key."""
    entry = {'key': key, 'value': 'MQ==', 'offset': 7}
    answer = {'items': [entry], 'has_more': has_more, 'end': 8}
    return json.dumps(answer).encode()


def framed(payload: bytes, status: int = 200) -> bytes:
    """Returns an answer with a length."""
    head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(payload)}\r\n\r\n'
    return head.encode() + payload


def chunked(payload: bytes) -> bytes:
    """Returns an answer in one chunk."""
    head = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    size = f'{len(payload):x}\r\n'
    return b''.join((head.encode(), size.encode(), payload, b'\r\n0\r\n\r\n'))


class CutStoreCase(unittest.IsolatedAsyncioTestCase):
    """Runs a store that answers with given bytes, one answer a call."""

    async def asyncSetUp(self) -> None:
        """Starts the store and a client."""
        asyncio.get_running_loop().set_debug(False)
        #: Answers to come; the connection is closed or reset after the last.
        self.raws: list[bytes] = []
        self.is_reset = False
        #: Whether the last call came over the connection of the one before.
        self.is_kept = False
        self.writer: asyncio.StreamWriter | None = None
        self.store = raw_target.RawTarget(self.behave)
        self.addAsyncCleanup(self.store.stop)
        http = sender.Sender(2, 1_000_000)
        self.addAsyncCleanup(http.close)
        self.client = store.StoreClient(await self.store.start(), http)

    async def behave(
        self,
        target: raw_target.RawTarget,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> bool:
        """Answers with the next bytes."""
        self.is_kept = writer is self.writer
        self.writer = writer
        writer.write(self.raws.pop(0))
        await writer.drain()
        if self.raws or not self.is_reset:
            return bool(self.raws)
        raw = writer.get_extra_info('socket')
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, cutting.RESET_ON_CLOSE
        )
        writer.transport.abort()
        return False


class CutTests(CutStoreCase):
    """Answers that end before they are whole."""

    async def test_read(self) -> None:
        """At each byte, on new and kept connections, closed and reset."""
        for raw in (framed(RECORDS), chunked(RECORDS)):
            for is_reset in (False, True):
                self.is_reset = is_reset
                with self.subTest(raw=raw, is_reset=is_reset):
                    await self.check_read(raw)

    async def check_read(self, raw: bytes) -> None:
        """Cuts answers to reads, the second one over a new connection."""
        for cut, _ in enumerate(raw):
            self.raws = [raw, raw[:cut]]
            whole = await self.client.read('t', 7, 0)
            self.assertEqual(whole, result.Ok(READ))
            lost = await self.client.read('t', 7, 0)
            self.assertEqual(lost, UNCLEAR)
            self.assertTrue(self.is_kept)
            self.raws = [raw[:cut]]
            again = await self.client.read('t', 7, 0)
            self.assertEqual(again, UNCLEAR)
            self.assertFalse(self.is_kept)
            # What is left to come keeps the connection open.
            self.raws = [raw, b'']
            whole = await self.client.read('t', 7, 0)
            self.assertEqual(whole, result.Ok(READ))

    async def test_page(self) -> None:
        """Of pages that are not all whole, none is used."""
        first = framed(page('a', has_more=True))
        last = framed(page('b', has_more=False))
        self.raws = [first, last]
        both = (await self.client.newest('t')).unwrap()
        self.assertEqual([record.key for record in both.records], ['a', 'b'])
        for cut, _ in enumerate(last):
            with self.subTest(cut=cut):
                self.raws = [first, last[:cut]]
                self.assertEqual(await self.client.newest('t'), UNCLEAR)

    async def test_append(self) -> None:
        """Nobody knows then whether it was carried out, refusals included."""
        for raw in (framed(APPENDED), framed(b'{"end":8}', 412)):
            for cut, _ in enumerate(raw):
                with self.subTest(raw=raw[:cut]):
                    self.raws = [raw[:cut]]
                    lost = await self.client.append('t', 'a', b'1')
                    self.assertEqual(lost, UNCLEAR)
                    self.raws = [raw[:cut]]
                    fenced = await self.client.fence('t', 'w', 1)
                    self.assertEqual(fenced, UNCLEAR)


class CutContentTests(CutStoreCase):
    """Whole answers whose content is cut."""

    async def test_read(self) -> None:
        """A record is whole, or none after it is read."""
        size = records.LENGTH.size
        first = len(records.frame(records.keyed('a', b'1')))
        head = records.HEAD.size
        ends = {head: 0, head + first: 1}
        self.assertEqual(len(RECORDS), head + first + size + 2)
        for cut, _ in enumerate(RECORDS):
            with self.subTest(cut=cut):
                self.raws = [framed(RECORDS[:cut])]
                read = await self.client.read('t', 7, 0)
                if cut not in ends:
                    self.assertEqual(read, UNREADABLE)
                    continue
                batch = read.unwrap()
                count = ends[cut]
                self.assertEqual(batch.records, READ.records[:count])
                self.assertEqual(batch.end, 7 + count)

    async def test_page_and_append(self) -> None:
        """Neither has a part that can be used."""
        whole = page('a', has_more=False)
        for cut, _ in enumerate(whole):
            with self.subTest(page=whole[:cut]):
                self.raws = [framed(whole[:cut])]
                self.assertEqual(await self.client.newest('t'), UNREADABLE)
        for cut, _ in enumerate(APPENDED):
            with self.subTest(append=APPENDED[:cut]):
                self.raws = [framed(APPENDED[:cut])]
                lost = await self.client.append('t', 'a', b'1')
                self.assertEqual(lost, UNCLEAR)


class EndlessTests(CutStoreCase):
    """Answers that fall silent."""

    async def test_silence_within_an_answer(self) -> None:
        """A call ends in its time, and the next goes over a new connection."""
        raw = framed(RECORDS)
        for cut in (0, 20, len(raw) - 1):
            with self.subTest(cut=cut):
                # The second answer never comes, and keeps the connection.
                self.raws = [raw[:cut], b'']
                async with asyncio.timeout(store.CALL_SECONDS + 1):
                    lost = await self.client.read('t', 7, 0)
                self.assertEqual(lost, UNCLEAR)
                self.raws = [raw]
                read = await self.client.read('t', 7, 0)
                self.assertEqual(read, result.Ok(READ))
