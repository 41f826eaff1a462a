"""The store's client against a stand-in that comes back older."""

import unittest

import result

from bilberryglade._era import eras
from bilberryglade._values import stored
from bilberryglade.platform.tests import servers

TOPIC = 'test'
WIRE_TOPIC = f'keyed.{TOPIC}'
#: So many seconds ago the store was empty.
BEFORE_ALL = 60


def at(era: int, offset: int) -> int:
    """Returns a packed position."""
    return stored.Position(era, offset).packed


class EraCase(unittest.IsolatedAsyncioTestCase):
    """A store in era 0 with three records."""

    async def asyncSetUp(self) -> None:
        """Starts it, and a client that has read everything."""
        self.store = await servers.start_store()
        self.addAsyncCleanup(self.store.stop)
        self.client = self.store.client
        self.model = self.store.service.model
        self.model.names_era = True
        for key in ('a', 'b', 'c'):
            await self.client.append(TOPIC, key, b'1')
        await self.client.newest(TOPIC)


class GoingBackTests(EraCase):
    """Positions and conditions of the era before."""

    async def test_positions_rise_though_offsets_fall(self) -> None:
        """What is written first in an era is later than all before it."""
        self.model.go_back(BEFORE_ALL)
        appended = await self.client.append(TOPIC, 'd', b'1')
        self.assertEqual(appended, result.Ok(at(1, 0)))
        newest = (await self.client.newest(TOPIC)).unwrap()
        self.assertEqual(newest.records, (stored.Record('d', at(1, 0), b'1'),))
        self.assertEqual(newest.end, at(1, 1))

    async def test_condition_of_the_era_before(self) -> None:
        """An offset that is given out again meets no earlier condition."""
        self.model.go_back(BEFORE_ALL)
        for key in ('a', 'b', 'c'):
            self.model.write(WIRE_TOPIC, key, b'2')
        condition = stored.Condition(end=at(0, 3))
        coincidence = await self.client.append(TOPIC, 'e', b'1', condition)
        self.assertEqual(coincidence, result.Err(stored.Failure.unclear))
        again = await self.client.append(TOPIC, 'e', b'1', condition)
        self.assertEqual(again, result.Err(stored.Failure.conflict))
        current = stored.Condition(end=at(1, 4))
        written = await self.client.append(TOPIC, 'f', b'1', current)
        self.assertEqual(written, result.Ok(at(1, 4)))

    async def test_epoch_of_the_era_before(self) -> None:
        """A writer fenced off before the store went back stays fenced off."""
        self.assertTrue((await self.client.fence(TOPIC, 'w', 9)).is_ok())
        self.model.go_back(BEFORE_ALL)
        await self.client.newest(TOPIC)
        late = stored.Condition(writer='w', epoch=8, sequence=1)
        self.assertEqual(
            await self.client.append(TOPIC, 'a', b'1', late),
            result.Err(stored.Failure.conflict),
        )
        fenced = await self.client.fence(TOPIC, 'w', 9)
        self.assertEqual(fenced, result.Err(stored.Failure.conflict))
        self.assertTrue((await self.client.fence(TOPIC, 'w', at(1, 0))).is_ok())

    async def test_read_from_the_era_before(self) -> None:
        """Whoever follows a topic is told to read it anew as a whole."""
        self.model.go_back(BEFORE_ALL)
        for _ in range(5):
            self.model.write(WIRE_TOPIC, 'a', b'2')
        for _ in range(2):
            read = await self.client.read(TOPIC, at(0, 3), 0)
            self.assertEqual(read, result.Err(stored.Failure.expired))
        read = await self.client.read(TOPIC, at(1, 3), 0)
        self.assertEqual(read.unwrap().end, at(1, 5))

    async def test_offset_that_the_store_does_not_have(self) -> None:
        """It answers 410, which is not taken for an empty answer."""
        read = await self.client.read(TOPIC, at(0, 4), 0)
        self.assertEqual(read, result.Err(stored.Failure.expired))


class OddEraTests(EraCase):
    """Headers that cannot be; each is counted, and the era stands."""

    async def assert_fault(self, named: str, fault: eras.Fault) -> None:
        """Reads while answers name `named` as the era."""
        self.model.go_back(0)
        await self.client.newest(TOPIC)
        self.store.service.faults.era = named
        newest = await self.client.newest(TOPIC)
        self.assertEqual(newest.unwrap().end, at(1, 3))
        self.assertEqual(self.client.eras.faults, {fault: 1})
        self.assertEqual(self.client.eras.era, 1)

    async def test_era_falls(self) -> None:
        """The store is served on, in the era known."""
        await self.assert_fault('0', eras.Fault.falls)

    async def test_era_missing(self) -> None:
        """It is the one known before."""
        await self.assert_fault('', eras.Fault.missing)

    async def test_era_is_no_number(self) -> None:
        """It says nothing."""
        await self.assert_fault('two', eras.Fault.invalid)

    async def test_store_that_goes_back_and_does_not_say_so(self) -> None:
        """A topic that has become shorter tells it."""
        self.store.service.faults.era = '0'
        self.model.go_back(BEFORE_ALL)
        self.model.write(WIRE_TOPIC, 'a', b'2')
        newest = await self.client.newest(TOPIC)
        self.assertEqual(newest.unwrap().end, at(1, 1))
        self.assertEqual(self.client.eras.rises, {'lower_end': 1})

    async def test_store_that_never_names_an_era(self) -> None:
        """Nothing is counted, and positions are offsets."""
        store = await servers.start_store()
        self.addAsyncCleanup(store.stop)
        appended = await store.client.append(TOPIC, 'a', b'1')
        self.assertEqual(appended, result.Ok(0))
        self.assertEqual(store.client.eras.faults, {})
        self.assertEqual(store.client.eras.known, eras.Known())
