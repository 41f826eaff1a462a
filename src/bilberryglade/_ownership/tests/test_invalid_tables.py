"""Tests records of key owners that are invalid or cannot be decoded."""

import typing
import unittest

import hypothesis
import msgspec
import result
from hypothesis import strategies

from bilberryglade._ownership import owners, ranges, table_manager
from bilberryglade._ownership.tests import test_table_manager
from bilberryglade._values import leases
from bilberryglade_schema import fleet as messages

OWNER: typing.Final = messages.OwnerLife(target='t1', born=1)
FULL_ROW: typing.Final = (0, leases.LAST_KEY, 0, 4, 0)
SETTINGS: typing.Final = hypothesis.settings(derandomize=True, deadline=None)


def _record(*rows: object, former: object = ()) -> dict[str, typing.Any]:
    return {
        'kind': 'assignment',
        'sender': 'e9',
        'version': 0,
        'services': {'s': {'owners': [OWNER], 'rows': rows}},
        'former': {'s': {'owners': [OWNER], 'rows': former}},
    }


INVALID_RECORDS: typing.Final = {  # noqa: WPS407
    'no record': 5,
    'row too short': _record(FULL_ROW[1:]),
    'row too long': _record((*FULL_ROW, 0)),
    'no such owner': _record((0, 9, 1, 4, 0)),
    'owner before the first': _record((0, 9, -1, 4, 0)),
    'key beyond the last': _record((0, leases.LAST_KEY + 1, 0, 4, 0)),
    'ends before it begins': _record((9, 8, 0, 4, 0)),
    'overlap': _record(FULL_ROW, FULL_ROW),
    'not in order': _record((16, 31, 0, 4, 0), (0, 15, 0, 4, 0)),
    'negative fence': _record((0, 9, 0, -4, 0)),
    'no such earlier owner': _record(FULL_ROW, former=[(0, 9, 1, 4, 5)]),
    'lease without end': _record(FULL_ROW, former=[(0, 9, 0, 4, 2**62)]),
}


class InvalidTableTests(test_table_manager.TableManagerCase):
    """Tests invalid records in the store, written by another writer."""

    async def test_invalid_record_keeps_last_tables(self) -> None:
        """An invalid record does not stop the reading or change the tables."""
        await self.run_rounds(2)
        before = self.manager.tables
        for name, record in INVALID_RECORDS.items():
            with self.subTest(name=name):
                await self.append_record(msgspec.msgpack.encode(record))
                read = await self.manager.read_tables()
                self.assertIsInstance(read, result.Ok)
                self.assertEqual(self.manager.tables, before)

    async def test_undecodable_bytes(self) -> None:
        """A record that cannot be decoded does not change the tables."""
        await self.run_rounds(2)
        before = self.manager.tables
        for raw in (b'\xc1', b'\x91' * 60_000):
            await self.append_record(raw)
            read = await self.manager.read_tables()
            self.assertIsInstance(read, result.Ok)
            self.assertEqual(self.manager.tables, before)

    async def test_takeover_after_invalid_record(self) -> None:
        """A coordinator writes its tables after an undecodable record."""
        await self.append_record(b'\xc1')
        await self.run_rounds(2)
        stored = await self.stored_tables()
        self.assertTrue(stored.services['s'])

    async def append_record(self, raw: bytes) -> None:
        """Appends raw bytes as another writer, without a condition."""
        await self.store.client.append(
            table_manager.TOPIC, table_manager.KEY, raw
        )


class ValidateTests(unittest.TestCase):
    """Tests that validation accepts the tables that instances write."""

    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.integers(0, leases.LAST_KEY), min_size=2, unique=True
        ),
        strategies.integers(1, 3),
    )
    def test_written_tables_are_valid(
        self, borders: list[int], count: int
    ) -> None:
        """Sorted ranges are valid, with gaps or without, for any owners."""
        firsts = sorted(borders)
        entries = tuple(
            owners.OwnedRange(
                ranges.Range(
                    first, last - 1, ranges.Owner(f't{first % count}', 1), 4
                ),
                is_moving=bool(first % 2),
            )
            for first, last in zip(firsts, firsts[1:])
        )
        tables = owners.Tables(1, 0, {'s': entries})
        message = owners.to_message(tables, 'e1')
        raw = msgspec.msgpack.encode(message)
        read = msgspec.msgpack.decode(raw, type=messages.Assignment)
        self.assertIsInstance(owners.validate(read), result.Ok)
