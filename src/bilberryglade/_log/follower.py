"""Follows the control stream and keeps the newest folded state."""

import asyncio
import time
import typing
from collections import abc

import result

from bilberryglade._log import log_client
from bilberryglade._state import folding, state
from bilberryglade_schema import platform

CONTROL_STREAM: typing.Final = 'control'
READ_TIMEOUT_SECONDS: typing.Final = 1.0
RETRY_SECONDS: typing.Final = 0.1

Listener: typing.TypeAlias = abc.Callable[[state.ClusterState], None]


class Follower:
    """Holds the state at the newest offset read; it never goes back."""

    def __init__(self, log: log_client.LogClient, wait_ms: int) -> None:
        """Reads from `log`; each read waits `wait_ms` for news."""
        self.log = log
        self.wait_ms = wait_ms
        self.view = state.ClusterState()
        #: Monotonic seconds at which the newest complete read began.
        self.fresh_at = float('-inf')
        self.listeners: list[Listener] = []
        self.advanced = asyncio.Event()
        self.failed_reads = 0

    @property
    def age_seconds(self) -> float:
        """Age of the knowledge that nothing newer was in the log."""
        return time.monotonic() - self.fresh_at

    async def follow(self) -> None:
        """Reads until cancelled."""
        while True:
            caught_up = await self.read_once(self.wait_ms)
            if not caught_up:
                await asyncio.sleep(RETRY_SECONDS)

    async def read_once(self, wait_ms: int) -> bool:
        """Reads and folds one batch; returns whether the log answered."""
        began = time.monotonic()
        answer = await self.log.read(
            CONTROL_STREAM,
            self.view.offset + 1,
            wait_ms,
            READ_TIMEOUT_SECONDS + wait_ms / 1000,
        )
        if isinstance(answer, result.Err):
            self.failed_reads += 1
            return False
        self._take(answer.ok_value, began)
        return True

    async def wait_for_verdict(
        self,
        record_id: str,
        seconds: float,
    ) -> state.Verdict | None:
        """Returns the verdict on a record once it was folded, else None."""
        deadline = time.monotonic() + seconds
        while record_id not in self.view.verdicts:
            left = deadline - time.monotonic()
            if left <= 0:
                return None
            await self._wait_for_advance(left)
        return self.view.verdicts[record_id]

    def _take(self, answer: platform.ReadAnswer, began: float) -> None:
        before = self.view
        for stored in answer['records']:
            if stored['offset'] != self.view.offset + 1:
                break
            step = folding.fold(self.view, stored['offset'], stored['record'])
            self.view = step.state
        if answer['head'] == self.view.offset:
            self.fresh_at = began
        if self.view is not before:
            self._announce()

    def _announce(self) -> None:
        advanced = self.advanced
        self.advanced = asyncio.Event()
        advanced.set()
        for listener in self.listeners:
            listener(self.view)

    async def _wait_for_advance(self, seconds: float) -> None:
        try:
            await asyncio.wait_for(self.advanced.wait(), seconds)
        except TimeoutError:
            return
