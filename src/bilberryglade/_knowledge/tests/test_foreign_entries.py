"""One odd entry of another writer: the other entries hold, later ones count."""

import typing
import unittest
from unittest import mock

import result

from bilberryglade._knowledge import reading, topics
from bilberryglade._membership import candidacy, fleet
from bilberryglade._values import stored
from bilberryglade.platform import folds
from bilberryglade.platform.tests import samples
from bilberryglade_schema import fleet as messages

REGISTERED: typing.Final = (folds,)
DEPTH: typing.Final = 60_000


def _nested(opening: bytes, closing: bytes) -> bytes:
    """Returns an entry with an unknown field that is very deep."""
    whole = samples.entry(odd=0)
    deep = b'%s1%s' % (opening * DEPTH, closing * DEPTH)
    return whole.replace(b'"odd": 0', b'"odd": %s' % deep)


def _with_number(field: str, number: str) -> bytes:
    """Returns an entry with a number in place of one of its own."""
    whole = samples.entry(**{field: 'here'})
    return whole.replace(b'"here"', number.encode())


#: Numbers that count nothing.
NO_COUNTS: typing.Final = {  # noqa: WPS407
    'of 400 digits': '9' * 400,
    'beyond 64 bits': '18446744073709551616',
    'beyond all readers': '9007199254740992',
    'infinite': '1e999',
    'negative': '-1',
    'in parts': '1.5',
    'as text': '"4"',
    'null': 'null',
}
NO_ADDRESSES: typing.Final = (
    '',
    '127.0.0.1',
    '127.0.0.1:',
    ':80',
    '127.0.0.1:0',
    '127.0.0.1:65536',
    '127.0.0.1:99999',
    f'127.0.0.1:{"9" * 400}',
    '127.0.0.1:-1',
    '127.0.0.1:+80',
    '127.0.0.1:8_0',
    '127.0.0.1:80 ',
    '127.0.0.1:80\n',
    '127.0.0.1:\N{SUPERSCRIPT TWO}',
    '127.0.0.1:\N{ARABIC-INDIC DIGIT EIGHT}0',
    '127.0.0.256:80',
    '127.0.1:80',
    'host.example:80',
    '[::1]:80',
)
NO_TIMES: typing.Final = (
    'soon',
    '5',
    'nans',
    'infs',
    '-infms',
    '1e400s',
    f'{"9" * 400}ms',
    '100000s',
    '1_0s',
    '1s\n',
)
#: Entries that name no target to use.
ODD_ENTRIES: typing.Final = {  # noqa: WPS407
    'no entry': b'',
    'bytes': b'\xff\x00',
    'deep lists': _nested(b'[', b']'),
    'deep maps': _nested(b'{"a":', b'}'),
    'deep and cut': b'[' * DEPTH,
    **{
        f'{field} {name}': _with_number(field, number)
        for field in ('slots', 'seq', 'born')
        for name, number in NO_COUNTS.items()
    },
    'born in a later age': _with_number('born', '4102444800001'),
    'no places': _with_number('slots', '0'),
    'too many places': _with_number('slots', '65536'),
    **{
        f'address {address!r}': samples.entry(address=address)
        for address in NO_ADDRESSES
    },
    **{
        f'cold for {left[:9]!r}': samples.entry(warmup_left=left)
        for left in NO_TIMES
    },
}


class OddEntryTests(unittest.IsolatedAsyncioTestCase):
    """Entries as they are read, and as they are told by another instance."""

    def setUp(self) -> None:
        """Nothing is known."""
        own = fleet.Member('b', 'b1', '127.0.0.1:1', 'x')
        members = fleet.Fleet(own, mock.Mock())
        self.client = mock.AsyncMock()
        self.reader = reading.Reader(
            members,
            self.client,
            candidacy.Candidacy(members, self.client),
            2.0,
        )

    async def test_first_reading(self) -> None:
        """An odd entry is there when an instance starts."""
        for name, odd in ODD_ENTRIES.items():
            with self.subTest(name=name):
                self.setUp()
                await self.read_whole(_good('a', 1), ('odd', 2, odd))
                self.assertEqual(self.names(), {'a'})
                await self.read_more(4, _good('c', 3))
                self.assertEqual(self.names(), {'a', 'c'})
                self.assert_told_whole()

    async def test_following(self) -> None:
        """An odd entry comes between two others."""
        for name, odd in ODD_ENTRIES.items():
            with self.subTest(name=name):
                self.setUp()
                await self.read_whole(_good('a', 1))
                await self.read_more(
                    5, _good('b', 2), ('odd', 3, odd), _good('c', 4)
                )
                await self.read_more(6, _good('d', 5))
                self.assertEqual(self.names(), {'a', 'b', 'c', 'd'})
                self.assert_told_whole()

    async def test_last_good_entry_holds(self) -> None:
        """An odd entry under a known name takes nothing from its target."""
        for name, odd in ODD_ENTRIES.items():
            with self.subTest(name=name):
                self.setUp()
                await self.read_whole(_good('a', 1), _good('b', 2))
                if odd:
                    await self.read_more(4, ('a', 3, odd))
                self.assertEqual(self.names(), {'a', 'b'})
                await self.read_more(5, _good('a', 4, is_leaving=True))
                listed = self.reader.known.directory
                self.assertTrue(listed.targets['a'].is_draining)

    async def test_told_by_another_instance(self) -> None:
        """An odd entry arrives as a message."""
        for name, odd in ODD_ENTRIES.items():
            with self.subTest(name=name):
                self.setUp()
                self.reader.hear(_relay(('odd', 1, odd), _good('a', 2)))
                self.assertEqual(self.names(), {'a'})

    def names(self) -> set[str]:
        """Returns the targets that are known."""
        return set(self.reader.known.directory.targets)

    async def read_whole(self, *rows: tuple[str, int, bytes]) -> None:
        """Reads everything there is."""
        end = max(offset for _, offset, _ in rows) + 1
        batch = stored.Batch(_records(rows), end, is_whole=True)
        self.client.newest.return_value = result.Ok(batch)
        self.assertTrue(await self.reader.read_targets())

    async def read_more(self, end: int, *rows: tuple[str, int, bytes]) -> None:
        """Reads what is new."""
        batch = stored.Batch(_records(rows), end, is_whole=False)
        self.client.read.return_value = result.Ok(batch)
        self.assertTrue(await self.reader.read_targets())
        self.assertEqual(self.reader.known.ends[topics.TARGETS], end)

    def assert_told_whole(self) -> None:
        """Checks that an instance that starts later learns the same."""
        told = self.reader.whole(topics.TARGETS)
        assert told is not None
        known = self.names()
        self.setUp()
        self.reader.hear(told)
        self.assertEqual(self.names(), known)


def _good(
    name: str, offset: int, *, is_leaving: bool = False
) -> tuple[str, int, bytes]:
    state = 'draining' if is_leaving else 'ready'
    return (name, offset, samples.entry(seq=offset, state=state))


def _records(
    rows: tuple[tuple[str, int, bytes], ...],
) -> tuple[stored.Record, ...]:
    return tuple(
        stored.Record(key, offset, payload or None)
        for key, offset, payload in rows
    )


def _relay(*rows: tuple[str, int, bytes]) -> messages.Relay:
    records = [
        messages.RelayedRecord(
            key=record.key, offset=record.offset, value=record.payload
        )
        for record in _records(rows)
    ]
    return {
        'kind': 'relay',
        'sender': 'a',
        'topic': topics.TARGETS,
        'start': 0,
        'end': len(records) + 1,
        'age_ms': 10,
        'is_whole': True,
        'records': records,
    }
