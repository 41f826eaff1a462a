"""Answers of the store in which one record is odd: all others are read."""

import json
import struct
import typing
import unittest
from unittest import mock

import result

from bilberryglade._values import outcomes, stored
from bilberryglade.platform import records, store

TOPIC: typing.Final = 'test'
OK_STATUS: typing.Final = 200
GOOD: typing.Final = {  # noqa: WPS407
    'key': 'b',
    'value': 'eA==',
    'offset': 4,
}
#: Items that name no key.
NAMELESS: typing.Final = {  # noqa: WPS407
    'no record': None,
    'list': [1],
    'no key': {'value': 'eA==', 'offset': 3},
    'number as a key': {'key': 1, 'value': 'eA==', 'offset': 3},
    'no offset': {'key': 'a', 'value': 'eA=='},
    'offset of 400 digits': {'key': 'a', 'value': '', 'offset': 10**400},
    'negative offset': {'key': 'a', 'value': 'eA==', 'offset': -1},
    'no value': {'key': 'a', 'offset': 3},
}


class OddAnswerTests(unittest.IsolatedAsyncioTestCase):
    """A client whose store answers what it is told to."""

    def setUp(self) -> None:
        """Has answered nothing."""
        self.http = mock.AsyncMock()
        self.client = store.StoreClient('127.0.0.1:1', self.http)

    def answer(self, *bodies: bytes) -> None:
        """Sets the next answers."""
        self.http.send.side_effect = [
            outcomes.Answered(OK_STATUS, (), body) for body in bodies
        ]

    async def test_odd_items(self) -> None:
        """Items are read one by one, wherever they stand."""
        for name, odd in NAMELESS.items():
            for items in ([odd, GOOD], [GOOD, odd]):
                with self.subTest(name=name):
                    self.answer(_page(items))
                    batch = (await self.client.newest(TOPIC)).unwrap()
                    self.assertEqual(
                        batch, stored.Batch((_record(),), 9, is_whole=True)
                    )

    async def test_odd_values_keep_their_key(self) -> None:
        """Whose value cannot be read is still listed."""
        for text in ('?', 'eA', '=', 'eA== ', '\N{SUPERSCRIPT TWO}'):
            with self.subTest(text=text):
                odd = {'key': 'a', 'value': text, 'offset': 3}
                self.answer(_page([odd, GOOD]))
                batch = (await self.client.newest(TOPIC)).unwrap()
                self.assertEqual(
                    batch.records, (stored.Record('a', 3, b''), _record())
                )

    async def test_keys_that_are_no_text(self) -> None:
        """A byte that is no text spoils its own key alone."""
        for key, read in (('\udcffa', '\ufffda'), ('\U0001f600', '\U0001f600')):
            odd = {'key': key, 'value': 'eA==', 'offset': 3}
            self.answer(_page([odd, GOOD]))
            batch = (await self.client.newest(TOPIC)).unwrap()
            keys = [record.key for record in batch.records]
            self.assertEqual(keys, [read, 'b'])

    async def test_pages_that_lead_nowhere(self) -> None:
        """More is asked for only after another key."""
        endless = _page([GOOD], has_more=True)
        nameless = _page([None], has_more=True)
        for bodies in ((endless, endless), (nameless,)):
            self.answer(*bodies)
            self.assertEqual(
                await self.client.newest(TOPIC),
                result.Err(stored.Failure.unreadable),
            )

    async def test_odd_pages(self) -> None:
        """A page of which nothing can be made is a failure of the call."""
        deep = b'[' * 60_000
        for body in (b'', b'\xff', deep, b'{"items":%s' % deep, b'null'):
            with self.subTest(body=body[:9]):
                self.answer(body)
                self.assertEqual(
                    await self.client.newest(TOPIC),
                    result.Err(stored.Failure.unreadable),
                )

    async def test_odd_offsets_of_appends(self) -> None:
        """Whether it was carried out is open then."""
        for offset in ('-1', '1e999', '9' * 400, '"1"', 'null'):
            with self.subTest(offset=offset[:9]):
                self.answer(b'{"offset":%s,"end":1}' % offset.encode())
                self.assertEqual(
                    await self.client.append(TOPIC, 'a', b'x'),
                    result.Err(stored.Failure.unclear),
                )

    async def test_odd_records_of_a_read(self) -> None:
        """One without its key is left out; a cut length ends the answer."""
        odd = (b'', b'\x05ab', b'\xff')
        raw = (*odd, records.keyed('b', b'x'))
        head = records.HEAD.pack(9, 0)
        body = head + b''.join(records.frame(record) for record in raw)
        self.answer(body, body + struct.pack('>I', 2**32 - 1))
        batch = (await self.client.read(TOPIC, 1, 0)).unwrap()
        self.assertEqual(batch, stored.Batch((_record(),), 5, is_whole=False))
        self.assertEqual(
            await self.client.read(TOPIC, 1, 0),
            result.Err(stored.Failure.unreadable),
        )


def _page(items: list[typing.Any], *, has_more: bool = False) -> bytes:
    page = {'items': items, 'has_more': has_more, 'end': 9}
    return json.dumps(page).encode()


def _record() -> stored.Record:
    return stored.Record('b', 4, b'x')
