"""The stream of snapshots: when one is due, writing it, reading the newest."""

import typing
import uuid

import result

from bilberryglade._log import chunks, log_client
from bilberryglade._state import state
from bilberryglade._values import steps
from bilberryglade_schema import platform

SNAPSHOT_STREAM: typing.Final = 'snapshots'
#: Records of the control stream after which a snapshot is due.
EVERY_RECORDS: typing.Final = 2000
#: Seconds after which an unchanged state is written again, as the stream
#: of snapshots forgets its old records, too.
REFRESH_SECONDS: typing.Final = 3600.0
#: Parts looked at first, from the end; doubled until a whole state is found.
TAIL_PARTS: typing.Final = 16
READ_PARTS: typing.Final = 8
CALL_SECONDS: typing.Final = 2.0
MAX_APPENDS: typing.Final = 5

APPEND_CHUNK: typing.Final = steps.declare(
    'log.append_snapshot_chunk',
    steps.StepKind.append,
)
READ_SNAPSHOT: typing.Final = steps.declare(
    'log.read_snapshot',
    steps.StepKind.read,
)


class Mark(typing.NamedTuple):
    """The newest snapshot known to be whole."""

    #: Offset of its state, 0 if there is none.
    offset: int
    #: Monotonic seconds at which it was seen or written.
    seen_at: float


def is_due(
    view_offset: int,
    mark: Mark,
    oldest: int,
    now: float,
) -> bool:
    """Tells whether a new snapshot has to be written.

    One is due after `EVERY_RECORDS`, when the newest has come into the older
    half of what the log keeps, and after `REFRESH_SECONDS`.
    """
    if view_offset == 0:
        return False
    if now - mark.seen_at >= REFRESH_SECONDS:
        return True
    if view_offset - mark.offset >= EVERY_RECORDS:
        return True
    middle = oldest + (view_offset - oldest) // 2
    return oldest > 1 and mark.offset < min(middle, view_offset)


class SnapshotStream:
    """Writes snapshots to the log and finds the newest whole one."""

    def __init__(self, log: log_client.LogClient) -> None:
        """Talks to `log`."""
        self.log = log
        self.appended = 0

    async def write(self, view: state.ClusterState, writer: str) -> bool:
        """Appends every part as `writer`; returns whether all of them are in the log.

        A part whose append gave no clear answer is appended again: copies
        of a part do no harm.
        """
        for part in chunks.split(view):
            record = chunks.record_of(part, writer, uuid.uuid4().hex)
            if not await self._append(dict(record)):
                return False
        return True

    async def newest(self) -> state.ClusterState | None:
        """Returns the newest whole snapshot, or None if none can be read."""
        ends = await self._read(1, 1)
        if ends is None:
            return None
        tail = TAIL_PARTS
        while True:
            start = max(ends['head'] - tail + 1, ends['oldest'], 1)
            found = chunks.newest_whole(
                await self._parts(start, ends['head']),
            )
            if found is not None or start <= max(ends['oldest'], 1):
                return found
            tail *= 2

    async def _append(self, record: dict[str, typing.Any]) -> bool:
        for _ in range(MAX_APPENDS):
            appended = await self.log.append(
                SNAPSHOT_STREAM,
                record,
                CALL_SECONDS,
            )
            self.appended += 1
            if isinstance(appended, result.Ok):
                return True
        return False

    async def _parts(self, start: int, head: int) -> list[chunks.Part]:
        found: list[chunks.Part] = []
        while start <= head:
            answer = await self._read(start, READ_PARTS)
            if answer is None or not answer['records']:
                return found
            for stored in answer['records']:
                part = chunks.part_of(stored['record'])
                if part is not None:
                    found.append(part)
                start = stored['offset'] + 1
        return found

    async def _read(
        self,
        start: int,
        limit: int,
    ) -> platform.ReadAnswer | None:
        answer = await self.log.read(
            SNAPSHOT_STREAM,
            start,
            0,
            CALL_SECONDS,
            limit,
        )
        return answer.ok()
