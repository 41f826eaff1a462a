"""The store's client against a stand-in that keeps the published rules."""

import asyncio
import unittest
from unittest import mock

import result

from bilberryglade._targets.tests import raw_target
from bilberryglade._values import outcomes, stored
from bilberryglade.platform import store
from bilberryglade.platform.tests import servers

TOPIC = 'test'
FENCED = b'HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n'
WIRE_TOPIC = f'keyed.{TOPIC}'


class StoreTests(unittest.IsolatedAsyncioTestCase):
    """Appends, conditions, reads, outages."""

    async def asyncSetUp(self) -> None:
        """Starts an empty store."""
        self.store = await servers.start_store()
        self.client = self.store.client

    async def asyncTearDown(self) -> None:
        """Ends it."""
        await self.store.stop()

    async def test_newest_of_each_key(self) -> None:
        """Later records replace earlier ones; an empty one drops its key."""
        for key, payload in (('a', b'1'), ('b', b'2'), ('a', b'3')):
            await self.client.append(TOPIC, key, payload)
        await self.client.append(TOPIC, 'b', b'')
        batch = (await self.client.newest(TOPIC)).unwrap()
        self.assertEqual(batch.records, (stored.Record('a', 2, b'3'),))
        self.assertEqual(batch.end, 4)
        self.assertTrue(batch.is_whole)

    async def test_more_keys_than_a_page(self) -> None:
        """All pages are read, with the end of the first."""
        for number in range(501):
            self.store.service.model.write(WIRE_TOPIC, f'k{number:03}', b'x')
        batch = (await self.client.newest(TOPIC)).unwrap()
        self.assertEqual(len(batch.records), 501)
        self.assertEqual(batch.end, 501)

    async def test_condition_on_the_end(self) -> None:
        """Of two appends at one end the second is refused."""
        condition = stored.Condition(end=0)
        first = await self.client.append(TOPIC, 'a', b'1', condition)
        second = await self.client.append(TOPIC, 'a', b'2', condition)
        self.assertEqual(first, result.Ok(0))
        self.assertEqual(second, result.Err(stored.Failure.conflict))

    async def test_answer_to_another_append_confirms_nothing(self) -> None:
        """Where the topic was to end is where the record must be."""
        answer = raw_target.whole(b'{"offset": 7, "end": 8}')
        target = raw_target.RawTarget(raw_target.answering(answer, ends=False))
        self.addAsyncCleanup(target.stop)
        client = store.StoreClient(await target.start(), self.store.http)
        unclear = result.Err(stored.Failure.unclear)
        for end, meant in ((7, result.Ok(7)), (8, unclear), (6, unclear)):
            with self.subTest(end=end):
                condition = stored.Condition(end=end)
                given = await client.append(TOPIC, 'a', b'1', condition)
                self.assertEqual(given, meant)
        await client.append(TOPIC, 'a', b'1')
        self.assertEqual(target.connections, 3)

    async def test_late_answer_confirms_no_other_writers_append(self) -> None:
        """Only the end that a condition names tells whose an answer is."""
        writers: list[asyncio.StreamWriter] = []

        async def behave(  # noqa: WPS430
            _: raw_target.RawTarget,
            writer: asyncio.StreamWriter,
            number: int,
        ) -> bool:
            writers.append(writer)
            writers[0].write(raw_target.whole(b'{"offset": 7, "end": 8}'))
            if number > 1:
                await asyncio.sleep(0.05)
                writer.write(FENCED)
            return True

        conflict = result.Err(stored.Failure.conflict)
        condition = stored.Condition(writer='w', epoch=1, sequence=1)
        calls: dict[str, tuple[object, ...]] = {
            'append': (TOPIC, 'a', b'', condition),
            'fence': (TOPIC, 'w', 2),
        }
        for name, arguments in calls.items():
            writers.clear()
            target = raw_target.RawTarget(behave)
            self.addAsyncCleanup(target.stop)
            client = store.StoreClient(await target.start(), self.store.http)
            await client.append(TOPIC, 'a', b'', stored.Condition(end=7))
            given = await getattr(client, name)(*arguments)
            self.assertEqual(given, conflict)

    async def test_writers_are_fenced(self) -> None:
        """A higher epoch ends the appends of lower ones."""
        old = stored.Condition(writer='w', epoch=1, sequence=1)
        await self.client.append(TOPIC, 'a', b'1', old)
        end = await self.client.fence(TOPIC, 'w', 2)
        self.assertEqual(end, result.Ok(1))
        late = old._replace(sequence=2)
        refused = await self.client.append(TOPIC, 'a', b'2', late)
        self.assertEqual(refused, result.Err(stored.Failure.conflict))

    async def test_repeat_after_a_lost_answer(self) -> None:
        """An append repeated under its number is carried out once."""
        self.store.service.faults.unanswered_appends = 1
        condition = stored.Condition(writer='w', epoch=1, sequence=1)
        lost = await self.client.append(TOPIC, 'a', b'1', condition)
        again = await self.client.append(TOPIC, 'a', b'1', condition)
        self.assertEqual(lost, result.Err(stored.Failure.unclear))
        self.assertEqual(again, result.Ok(0))
        batch = (await self.client.newest(TOPIC)).unwrap()
        self.assertEqual(batch.end, 1)

    async def test_reading_on(self) -> None:
        """A read returns what came since, dropped keys included."""
        await self.client.append(TOPIC, 'a', b'1')
        await self.client.append(TOPIC, 'a', b'')
        batch = (await self.client.read(TOPIC, 1, 100)).unwrap()
        self.assertEqual(batch.records, (stored.Record('a', 1, None),))
        self.assertEqual(batch.end, 2)
        nothing = (await self.client.read(TOPIC, 2, 30)).unwrap()
        self.assertEqual(nothing.records, ())

    async def test_history_forgotten(self) -> None:
        """A read of expired records says so."""
        for payload in (b'1', b'2', b'3'):
            await self.client.append(TOPIC, 'a', payload)
        query = {'topic': WIRE_TOPIC}
        self.store.service.model.partition(query).compact()
        read = await self.client.read(TOPIC, 0, 0)
        self.assertEqual(read, result.Err(stored.Failure.expired))

    async def test_refusals(self) -> None:
        """Refused calls did nothing; a store that is gone was not reached."""
        for status in (429, 503, 507):
            with self.subTest(status=status):
                self.store.service.faults.refuses_with = status
                refused = await self.client.append(TOPIC, 'a', b'1')
                self.assertEqual(refused, result.Err(stored.Failure.refused))
        await self.store.running.stop()
        gone = await self.client.newest(TOPIC)
        self.assertIsInstance(gone, result.Err)

    async def test_call_after_one_without_an_answer(self) -> None:
        """It goes over a new connection; those that are kept may be silent."""
        http = mock.AsyncMock()
        page = outcomes.Answered(
            200, (), b'{"items":[],"has_more":false,"end":0}'
        )
        http.send.side_effect = (
            outcomes.Unknown(outcomes.Reason.deadline),
            page,
            page,
        )
        client = store.StoreClient('127.0.0.1:1', http)
        for _ in range(3):
            await client.newest(TOPIC)
        fresh = [call.kwargs['on_fresh'] for call in http.send.call_args_list]
        self.assertEqual(fresh, [False, True, False])
