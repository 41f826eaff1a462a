"""The intent stream of one service: group commits, and reads to its end."""

import asyncio
import time
import typing

import result

from bilberryglade._codec import codec
from bilberryglade._delivery import batching, intents
from bilberryglade._log import log_client, recorder
from bilberryglade._values import steps
from bilberryglade_schema import platform, records

APPEND: typing.Final = steps.declare(
    'intents.append',
    steps.StepKind.append,
)
READ: typing.Final = steps.declare('intents.read', steps.StepKind.read)
#: Timeout of one append or read of the log.
REQUEST_TIMEOUT_SECONDS: typing.Final = 0.5
#: Time in which a batch is tried again until the log confirms it.
COMMIT_TIMEOUT_SECONDS: typing.Final = 2.0
#: Appends of a service that may await their answer at the same time.
MAX_APPENDS_IN_FLIGHT: typing.Final = 4
#: Newest records that a leader reads; intents in older ones are ignored.
WINDOW_RECORDS: typing.Final = 65_536
#: Records that are folded before the event loop runs other tasks.
FOLDS_PER_YIELD: typing.Final = 50
#: Pause before an append or read of the log is repeated.
RETRY_DELAY_SECONDS: typing.Final = 0.02


class CommitResult(typing.NamedTuple):
    """The result of recording an intent."""

    attempt: intents.Attempt
    #: Whether the log has confirmed it; otherwise it may still appear.
    is_durable: bool


class WaitingIntent(typing.NamedTuple):
    """An intent that waits to be appended."""

    entry: records.IntentEntry
    committed: asyncio.Future[CommitResult]


class Batch(typing.NamedTuple):
    """The intents and releases that one append records."""

    waiting: list[WaitingIntent]
    releases: list[intents.Attempt]


class IntentLog:
    """Writes and reads the intents of one service."""

    def __init__(
        self,
        instance: str,
        service: str,
        log: log_client.LogClient,
        pacer: batching.Pacer,
    ) -> None:
        """Writes as `instance`; `pacer` limits the rate of appends."""
        self.instance = instance
        self.stream = f'intents.{service}'
        self.log = log
        self.pacer = pacer
        self.waiting: list[WaitingIntent] = []
        self.releases: list[intents.Attempt] = []
        self.append_semaphore = asyncio.Semaphore(MAX_APPENDS_IN_FLIGHT)
        self.flusher: asyncio.Task[None] | None = None
        self.commit_tasks: set[asyncio.Task[None]] = set()
        self.ledger = intents.Ledger()
        #: Offset of the last record that was folded.
        self.offset = 0
        self.appends = 0

    async def record(self, digest: str, organisation: str) -> CommitResult:
        """Records the intent of a request, in a batch with others."""
        committed: asyncio.Future[CommitResult] = asyncio.Future()
        entry: records.IntentEntry = {
            'digest': digest,
            'organisation': organisation,
        }
        self.waiting.append(WaitingIntent(entry, committed))
        self._start_flusher()
        return await committed

    def release(self, attempt: intents.Attempt) -> None:
        """Records, with the next append, that an attempt never ran."""
        self.releases.append(attempt)
        self._start_flusher()

    async def catch_up(self, timeout_seconds: float) -> bool:
        """Folds all records that were acknowledged before this call.

        A lagging replica of the log lacks the newest records, and its head
        does not show that. So a marker record is appended and read back: all
        records acknowledged earlier have lower offsets than the marker.
        Returns False if that takes longer than `timeout_seconds`.
        """
        deadline = time.monotonic() + timeout_seconds
        if not self.offset and not await self._skip_old_records():
            return False
        marker = self._build_record([], [])
        is_appended = False
        while time.monotonic() < deadline:
            is_appended = is_appended or await self._append(marker)
            if marker['id'] in await self._read_new_records():
                return True
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        return False

    async def poll(self) -> None:
        """Folds new records, so that a later `catch_up` has few to read."""
        if self.offset or await self._skip_old_records():
            await self._read_new_records()

    async def _skip_old_records(self) -> bool:
        """Skips records older than the window; returns False if the log fails."""
        answer = await self.log.read(self.stream, 1, 0, REQUEST_TIMEOUT_SECONDS)
        if isinstance(answer, result.Err):
            return False
        self.offset = max(answer.ok_value['head'] - WINDOW_RECORDS, 0)
        return True

    def _start_flusher(self) -> None:
        if self.flusher is None or self.flusher.done():
            self.flusher = asyncio.create_task(self._flush())

    async def _flush(self) -> None:
        while self.waiting or self.releases:
            plan = self.pacer.plan(len(self.waiting), time.monotonic())
            if plan.wait_seconds:
                await asyncio.sleep(plan.wait_seconds)
                continue
            await self.append_semaphore.acquire()
            batch = self._take_batch(plan.entries)
            task = asyncio.create_task(self._commit(batch))
            self.commit_tasks.add(task)
            task.add_done_callback(self._end_commit)

    def _take_batch(self, entries: int) -> Batch:
        batch = Batch(
            self.waiting[:entries],
            self.releases[: batching.MAX_BATCH_ENTRIES],
        )
        self.waiting = self.waiting[entries:]
        self.releases = self.releases[batching.MAX_BATCH_ENTRIES :]
        return batch

    def _end_commit(self, task: asyncio.Task[None]) -> None:
        self.commit_tasks.discard(task)
        self.append_semaphore.release()

    async def _commit(self, batch: Batch) -> None:
        record = self._build_record(
            [intent.entry for intent in batch.waiting],
            batch.releases,
        )
        is_durable = await self._append_until_confirmed(record)
        if not is_durable:
            self.releases.extend(batch.releases)
        for intent in batch.waiting:
            attempt = intents.Attempt(intent.entry['digest'], record['id'])
            if is_durable:
                self.ledger = intents.on_recorded(self.ledger, attempt)
            if not intent.committed.done():
                intent.committed.set_result(CommitResult(attempt, is_durable))

    async def _append_until_confirmed(
        self,
        record: records.IntentsRecorded,
    ) -> bool:
        """Repeats an append until it is acknowledged or its record is read."""
        deadline = time.monotonic() + COMMIT_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            if await self._append(record):
                return True
            if record['id'] in await self._read_new_records():
                return True
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        return False

    async def _append(self, record: records.IntentsRecorded) -> bool:
        self.appends += 1
        appended = await self.log.append(
            self.stream,
            dict(record),
            REQUEST_TIMEOUT_SECONDS,
        )
        return isinstance(appended, result.Ok)

    async def _read_new_records(self) -> set[str]:
        """Folds the records after `offset` and returns the ids of those read."""
        ids: set[str] = set()
        has_more = True
        while has_more:
            answer = await self.log.read(
                self.stream,
                self.offset + 1,
                0,
                REQUEST_TIMEOUT_SECONDS,
            )
            if isinstance(answer, result.Err):
                return ids
            stored_records = answer.ok_value['records']
            for index, stored in enumerate(stored_records):
                ids.add(str(stored['record'].get('id', '')))
                self._fold(stored)
                if index % FOLDS_PER_YIELD == 0:
                    await asyncio.sleep(0)
            has_more = (
                bool(stored_records) and self.offset < answer.ok_value['head']
            )
        return ids

    def _fold(self, stored: platform.StoredRecord) -> None:
        if stored['offset'] <= self.offset:
            return
        self.offset = stored['offset']
        record = codec.convert(stored['record'], records.IntentsRecorded)
        if isinstance(record, result.Ok):
            self.ledger = intents.fold(self.ledger, record.ok_value)

    def _build_record(
        self,
        entries: list[records.IntentEntry],
        releases: list[intents.Attempt],
    ) -> records.IntentsRecorded:
        return {
            'id': recorder.new_record_id(),
            'kind': 'intents_recorded',
            'leader': self.instance,
            'term': 0,
            'entries': entries,
            'released': [
                {'digest': released.digest, 'record': released.record}
                for released in releases
            ],
        }
