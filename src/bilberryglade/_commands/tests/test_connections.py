"""Answers of the administration API that break off."""

import typing
import unittest

import result

from bilberryglade._commands import connections
from bilberryglade._targets.tests import raw_target

OK: typing.Final = b'HTTP/1.1 200 OK\r\n'
LISTED: typing.Final = b'{"keys":[]}'
LENGTH: typing.Final = b'content-length: 11\r\n\r\n{"keys":[]}'
CHUNK: typing.Final = (
    b'transfer-encoding: chunked\r\n\r\nb\r\n{"keys":[]}\r\n0\r\n\r\n'
)
EVENTS: typing.Final = (
    b'transfer-encoding: chunked\r\n\r\n4\r\none\n\r\n4\r\ntw'
)


class BrokenOffTests(unittest.IsolatedAsyncioTestCase):
    """What the command line is told."""

    async def start(self, raw: bytes) -> connections.ApiConnection:
        """Returns a connection to an instance that answers with `raw`."""
        target = raw_target.RawTarget(raw_target.answering(raw))
        self.addAsyncCleanup(target.stop)
        return connections.connect(await target.start(), 'token')

    async def test_cut_at_each_byte(self) -> None:
        """Reads were not answered; of changes the key is told, to repeat."""
        for raw in (OK + LENGTH, OK + CHUNK):
            whole = await (await self.start(raw)).call('keys_list', {})
            self.assertEqual(whole, result.Ok({'keys': []}))
            # What ends an answer in chunks may be cut off.
            for cut in range(raw.index(LISTED) + len(LISTED)):
                with self.subTest(raw=raw[:cut]):
                    api = await self.start(raw[:cut])
                    read = await api.call('keys_list', {})
                    self.assertIsInstance(
                        read.unwrap_err(), connections.Unreachable
                    )
                    change = await api.call(
                        'keys_withdraw', {'key_id': 'k'}, 'again'
                    )
                    lost = change.unwrap_err()
                    assert isinstance(lost, connections.NoAnswer), lost
                    self.assertEqual(lost.idempotency_key, 'again')

    async def test_cut_events(self) -> None:
        """Lines that came are told, and that no more will come."""
        api = await self.start(OK + EVENTS)
        told = [line async for line in api.follow({})]
        self.assertEqual(told[0], result.Ok('one'))
        self.assertEqual(len(told), 2)
        self.assertIsInstance(told[1], result.Err)
