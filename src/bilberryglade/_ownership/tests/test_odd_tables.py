"""Records of the owners of keys of which nothing can be made."""

import typing
import unittest

import hypothesis
import msgspec
import result
from hypothesis import strategies

from bilberryglade._ownership import owners, ranges, steward
from bilberryglade._ownership.tests import test_steward
from bilberryglade._values import leases
from bilberryglade_schema import fleet as messages

LIFE: typing.Final = messages.OwnerLife(target='t1', born=1)
WHOLE: typing.Final = (0, leases.LAST_KEY, 0, 4, 0)
SETTINGS: typing.Final = hypothesis.settings(derandomize=True, deadline=None)


def _record(*rows: object, former: object = ()) -> dict[str, typing.Any]:
    return {
        'kind': 'assignment',
        'sender': 'e9',
        'version': 0,
        'services': {'s': {'owners': [LIFE], 'rows': rows}},
        'former': {'s': {'owners': [LIFE], 'rows': former}},
    }


ODD: typing.Final = {  # noqa: WPS407
    'no record': 5,
    'row too short': _record(WHOLE[1:]),
    'row too long': _record((*WHOLE, 0)),
    'no such owner': _record((0, 9, 1, 4, 0)),
    'owner before the first': _record((0, 9, -1, 4, 0)),
    'key beyond the last': _record((0, leases.LAST_KEY + 1, 0, 4, 0)),
    'ends before it begins': _record((9, 8, 0, 4, 0)),
    'overlap': _record(WHOLE, WHOLE),
    'not in order': _record((16, 31, 0, 4, 0), (0, 15, 0, 4, 0)),
    'negative fence': _record((0, 9, 0, -4, 0)),
    'no such earlier owner': _record(WHOLE, former=[(0, 9, 1, 4, 5)]),
    'lease without end': _record(WHOLE, former=[(0, 9, 0, 4, 2**62)]),
}


class OddTableTests(test_steward.StewardCase):
    """Tables in the store that another writer has written."""

    async def test_the_last_good_ones_hold(self) -> None:
        """An odd record neither ends the reading nor takes a table away."""
        await self.rounds(2)
        before = self.steward.tables
        for name, odd in ODD.items():
            with self.subTest(name=name):
                await self.write(msgspec.msgpack.encode(odd))
                read = await self.steward.read_tables()
                self.assertIsInstance(read, result.Ok)
                self.assertEqual(self.steward.tables, before)

    async def test_odd_bytes(self) -> None:
        """Also such as are no message at all."""
        await self.rounds(2)
        before = self.steward.tables
        for raw in (b'\xc1', b'\x91' * 60_000):
            await self.write(raw)
            read = await self.steward.read_tables()
            self.assertIsInstance(read, result.Ok)
            self.assertEqual(self.steward.tables, before)

    async def test_a_coordinator_begins_after_an_odd_record(self) -> None:
        """It writes its tables, and these are read again."""
        await self.write(b'\xc1')
        await self.rounds(2)
        found = await self.stored()
        self.assertTrue(found.services['s'])

    async def write(self, raw: bytes) -> None:
        """Writes as somebody else."""
        await self.store.client.append(steward.TOPIC, steward.KEY, raw)


class SoundTests(unittest.TestCase):
    """Tables that instances make."""

    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.integers(0, leases.LAST_KEY), min_size=2, unique=True
        ),
        strategies.integers(1, 3),
    )
    def test_all_are_sound(self, borders: list[int], count: int) -> None:
        """Ranges in order, with gaps or without, whoever owns them."""
        firsts = sorted(borders)
        entries = tuple(
            owners.Owned(
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
        self.assertIsInstance(owners.sound(read), result.Ok)
