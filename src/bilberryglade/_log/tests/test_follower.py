"""Follower, recorder and snapshot writer over a log in memory."""

import asyncio
import types
import unittest
from unittest import mock

import result

from bilberryglade._log import (
    chunks,
    follower,
    log_client,
    log_duties,
    recorder,
    snapshots,
)
from bilberryglade._log.tests import fake_log
from bilberryglade._state import state
from bilberryglade._state.tests import test_folding

CONTROL = follower.CONTROL_STREAM
JOIN = types.MappingProxyType(
    {
        'id': 'join-entry-0',
        'kind': 'instance_joined',
        'instance': 'entry-0',
        'boot': 'boot-of-0',
        'failure_domain': 'north',
        'peer_address': '127.0.0.1:1',
        'admin_address': '127.0.0.1:2',
    }
)


class LogCase(unittest.IsolatedAsyncioTestCase):
    """One instance and its log."""

    def setUp(self) -> None:
        """Wires the parts."""
        self.log = fake_log.FakeLogClient()
        self.reader = self.new_reader()
        self.stream = self.reader.snapshot_stream
        self.writer = recorder.Recorder(self.log, self.reader)

    def new_reader(self) -> follower.Follower:
        """Returns a follower that knows nothing."""
        return follower.Follower(self.log, 0)

    async def issue(self, first: int, last: int) -> None:
        """Appends records past the recorder."""
        for number in range(first, last + 1):
            record = test_folding.key_issued(f'k{number}')
            await self.log.append(CONTROL, record, 1)


class FollowerTest(LogCase):
    """Reading, retention and restoring."""

    async def test_reader_behind_the_retention(self) -> None:
        """A reader whose next record has expired restores a snapshot."""
        await self.issue(1, 10)
        await self.reader.read_once(0)
        self.assertTrue(await self.stream.write(self.reader.view, 'entry-0'))
        await self.issue(11, 15)
        self.log.retention = 6
        await self.issue(16, 16)
        late = self.new_reader()
        for _ in range(2):
            await late.read_once(0)
        await self.reader.read_once(0)
        self.assertEqual(late.view, self.reader.view)
        self.assertLess(late.age_seconds, 1)

    async def test_restoring_matters(self) -> None:
        """Without the restore the same reader never gets on."""
        await self.issue(1, 10)
        await self.reader.read_once(0)
        await self.stream.write(self.reader.view, 'entry-0')
        self.log.retention = 2
        await self.issue(11, 11)
        late = self.new_reader()
        with mock.patch.object(late, '_restore'):
            self.assertFalse(await late.read_once(0))
        self.assertEqual(late.view.offset, 0)
        self.assertTrue(await late.read_once(0))
        self.assertEqual(late.view.offset, 10)

    async def test_failures_are_spaced(self) -> None:
        """Waits between failed reads grow to a bound and differ."""
        self.log.is_down = True
        enough = [*(None for _ in range(30)), asyncio.CancelledError]
        with (
            mock.patch.object(asyncio, 'sleep', side_effect=enough) as sleep,
            self.assertRaises(asyncio.CancelledError),
        ):
            await self.reader.follow()
        waits = [call.args[0] for call in sleep.call_args_list]
        longest = follower.MAX_RETRY_SECONDS
        self.assertLess(waits[0], waits[5])
        self.assertTrue(
            all(longest / 2 <= wait <= longest for wait in waits[5:])
        )
        self.assertGreater(len(set(waits[5:])), 20)

    async def test_without_snapshot_it_stays_stale(self) -> None:
        """With records expired and no snapshot it never claims to be fresh."""
        self.log.retention = 2
        await self.issue(1, 5)
        self.assertFalse(await self.reader.read_once(0))
        self.assertEqual(self.reader.view, state.ClusterState())
        self.assertEqual(self.reader.age_seconds, float('inf'))

    async def test_lagging_replica_takes_nothing_back(self) -> None:
        """The view keeps its offset while a replica lags behind it."""
        await self.issue(1, 4)
        await self.reader.read_once(0)
        self.log.stale = 2
        await self.reader.read_once(0)
        self.assertEqual(self.reader.view.offset, 4)
        self.assertEqual(self.reader.known.ignored['stale_read'], 1)


class RecorderTest(LogCase):
    """Unclear answers."""

    async def asyncSetUp(self) -> None:
        """Follows the log."""
        following = asyncio.create_task(self._follow())
        self.addCleanup(following.cancel)
        self.enterContext(mock.patch.object(recorder, 'VERDICT_SECONDS', 0.02))

    async def test_answers_lost(self) -> None:
        """Whether the append or its answer is lost, the record counts once."""
        for fault in ('lose_answers', 'lose_appends'):
            with self.subTest(fault):
                setattr(self.log, fault, 2)
                record = test_folding.key_issued(fault)
                verdict = await self.writer.commit(record, 2)
                self.assertTrue(verdict.unwrap().accepted)
                keys = self.reader.view.key_digests
                self.assertEqual(keys[fault], record['digest'])

    async def test_clear_answer_is_not_repeated(self) -> None:
        """After a clear answer the record is not appended again."""
        self.log.stale = 1
        asyncio.get_running_loop().call_later(0.2, self._catch_up)
        record = test_folding.key_issued('once')
        verdict = await self.writer.commit(record, 2)
        self.assertTrue(verdict.unwrap().accepted)
        self.assertEqual(self.log.stream(CONTROL).head, 1)

    async def test_log_down_is_unclear(self) -> None:
        """Without the log nothing is acknowledged."""
        self.log.is_down = True
        verdict = await self.writer.commit(test_folding.key_issued('a'), 0.1)
        self.assertEqual(verdict, result.Err(log_client.LogFailure.unclear))

    async def _follow(self) -> None:
        while True:
            await self.reader.read_once(0)
            await asyncio.sleep(0.005)

    def _catch_up(self) -> None:
        self.log.stale = 0


class SnapshotTest(LogCase):
    """Writing and finding snapshots."""

    async def test_writer_writes_what_is_due(self) -> None:
        """The member with the role writes once for each span of records."""
        self.enterContext(mock.patch.object(snapshots, 'EVERY_RECORDS', 5))
        await self.log.append(CONTROL, dict(JOIN), 1)
        await self.issue(1, 6)
        await self.reader.read_once(0)
        writer = log_duties.SnapshotWriter('entry-0', self.reader)
        stranger = log_duties.SnapshotWriter('entry-1', self.reader)
        for _ in range(3):
            await stranger.perform_once()
            await writer.perform_once()
        self.assertEqual((writer.written, stranger.written), (1, 0))
        self.assertEqual(await self.stream.newest(), self.reader.view)

    async def test_half_written_snapshot(self) -> None:
        """A writer that dies half-way leaves the older snapshot in use."""
        self.enterContext(mock.patch.object(chunks, 'split', _split_small))
        await self.issue(1, 3)
        await self.reader.read_once(0)
        older = self.reader.view
        await self.stream.write(older, 'entry-0')
        await self.issue(4, 90)
        await self.reader.read_once(0)
        await self.stream.write(self.reader.view, 'entry-0')
        parts = self.log.stream(snapshots.SNAPSHOT_STREAM)
        self.assertGreater(parts.head, 2 * snapshots.TAIL_PARTS)
        self.assertEqual(await self.stream.newest(), self.reader.view)
        parts.records.pop()
        self.assertEqual(await self.stream.newest(), older)

    async def test_unclear_append_of_a_part(self) -> None:
        """A part whose answer is lost is written again and does no harm."""
        await self.issue(1, 3)
        await self.reader.read_once(0)
        self.log.lose_answers = 2
        self.assertTrue(await self.stream.write(self.reader.view, 'entry-0'))
        self.assertEqual(self.stream.appended, 3)
        self.assertEqual(await self.stream.newest(), self.reader.view)
        self.log.is_down = True
        self.assertFalse(await self.stream.write(self.reader.view, 'entry-0'))

    def test_when_one_is_due(self) -> None:
        """By records, by retention and by time."""
        every = snapshots.EVERY_RECORDS
        mark = snapshots.Mark(100, 0)
        cases = {
            'nothing folded': (0, 1, 0, False),
            'nothing expired': (100 + every - 1, 1, 0, False),
            'enough records': (100 + every, 1, 0, True),
            'in the newer half': (140, 60, 0, False),
            'in the older half': (142, 60, 0, True),
            'all expired, unchanged': (100, 101, 0, False),
            'refresh': (100, 1, snapshots.REFRESH_SECONDS, True),
        }
        for name, (offset, oldest, now, is_due) in cases.items():
            with self.subTest(name):
                self.assertEqual(
                    snapshots.is_due(offset, mark, oldest, now),
                    is_due,
                )


def _split_small(view: state.ClusterState) -> list[chunks.Part]:
    packed = chunks.packed(view)
    return chunks.cut(view.offset, packed, 48)
