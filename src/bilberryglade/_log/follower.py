"""Follows the control stream and keeps the newest folded state."""

import asyncio
import random
import time
import typing
from collections import abc

import result

from bilberryglade._log import intake, log_client, snapshots
from bilberryglade._state import state
from bilberryglade_schema import platform

CONTROL_STREAM: typing.Final = 'control'
READ_TIMEOUT_SECONDS: typing.Final = 1.0
#: Wait after the first failed read; it doubles with each further one.
RETRY_SECONDS: typing.Final = 0.1
MAX_RETRY_SECONDS: typing.Final = 1.0
MAX_DOUBLINGS: typing.Final = 10
#: Share by which waits are spread, so that instances do not ask in step.
JITTER: typing.Final = 0.2
MILLISECONDS: typing.Final = 1000

Listener: typing.TypeAlias = abc.Callable[[state.ClusterState], None]


class Follower:
    """Holds the state at the newest offset taken in; it never goes back."""

    def __init__(self, log: log_client.LogClient, wait_ms: int) -> None:
        """Reads from `log`; each read waits about `wait_ms` for news."""
        self.log = log
        self.wait_ms = wait_ms
        self.snapshot_stream = snapshots.SnapshotStream(log)
        self.known = intake.Intake()
        self.listeners: list[Listener] = []
        self.advanced = asyncio.Event()
        self.failed_reads = 0
        #: Failed reads since the last that succeeded.
        self.failures_in_a_row = 0
        #: Offset of the oldest record that the log still keeps.
        self.oldest = 0
        self.random = random.Random()
        #: Monotonic seconds.
        self.clock: abc.Callable[[], float] = time.monotonic

    @property
    def view(self) -> state.ClusterState:
        """The newest folded state."""
        return self.known.view

    @property
    def age_seconds(self) -> float:
        """Age of the knowledge that nothing newer was in the log.

        The least over the own reads and those that peers relay.
        """
        return self.clock() - self.known.fresh_at

    @property
    def is_ready(self) -> bool:
        """Whether all that was known at the start has been folded."""
        return intake.is_ready(self.known, self.clock())

    async def follow(self) -> None:
        """Reads until cancelled."""
        while True:
            wait_ms = self.wait_ms * (1 - self.random.random() * JITTER)
            if not await self.read_once(int(wait_ms)):
                await asyncio.sleep(self._retry_seconds())

    async def read_once(self, wait_ms: int) -> bool:
        """Reads and folds one batch; returns whether it was of use.

        It is not if the log failed, if its answer did not join on to what is
        folded, or if records had expired and no snapshot could be read.
        """
        before = self.view.offset
        asked = intake.ask(self.known, self.clock())
        answer = await self.log.read(
            CONTROL_STREAM,
            self.view.offset + 1,
            wait_ms,
            READ_TIMEOUT_SECONDS + wait_ms / MILLISECONDS,
        )
        if isinstance(answer, result.Err):
            self.failed_reads += 1
            self.failures_in_a_row += 1
            return False
        batch = _batch_of(answer.ok_value)
        self.oldest = batch.oldest
        self.adopt(intake.take_batch(self.known, batch, asked))
        if self.known.has_gap:
            await self._restore()
        after = self.view.offset
        is_stuck = after == before and after < batch.head
        self.failures_in_a_row = self.failures_in_a_row + 1 if is_stuck else 0
        return not is_stuck

    def adopt(self, known: intake.Intake) -> None:
        """Makes `known` the intake and tells the listeners of a new state."""
        before = self.known.view
        self.known = known
        if known.view is before:
            return
        advanced = self.advanced
        self.advanced = asyncio.Event()
        advanced.set()
        for listener in self.listeners:
            listener(known.view)

    def require(self, offset: int) -> None:
        """Makes an offset that was learnt after the start due for readiness."""
        self.adopt(intake.require(self.known, offset))

    async def wait_for_advance(self, seconds: float) -> None:
        """Waits for a newer state, `seconds` at most."""
        try:
            await asyncio.wait_for(self.advanced.wait(), seconds)
        except TimeoutError:
            return

    async def wait_for_verdict(
        self,
        record_id: str,
        seconds: float,
    ) -> state.Verdict | None:
        """Returns the verdict on a record once it was folded, else None."""
        deadline = self.clock() + seconds
        while record_id not in self.view.verdicts:
            left = deadline - self.clock()
            if left <= 0:
                return None
            await self.wait_for_advance(left)
        return self.view.verdicts[record_id]

    async def _restore(self) -> None:
        stored = await self.snapshot_stream.newest()
        if stored is None:
            return
        self.adopt(
            intake.take_state(
                self.known,
                stored,
                intake.NEVER,
                self.clock(),
            ),
        )

    def _retry_seconds(self) -> float:
        doublings = min(self.failures_in_a_row, MAX_DOUBLINGS)
        longest = min(RETRY_SECONDS * float(2**doublings), MAX_RETRY_SECONDS)
        return longest * (1 - self.random.random() / 2)


def _batch_of(answer: platform.ReadAnswer) -> intake.Batch:
    return intake.Batch(
        records=tuple(
            intake.Numbered(stored['offset'], stored['record'])
            for stored in answer['records']
        ),
        head=answer['head'],
        oldest=answer['oldest'],
    )
