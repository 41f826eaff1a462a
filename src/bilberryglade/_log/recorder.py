"""Appends records and learns from the fold whether they were accepted."""

import random
import time
import typing
import uuid

import result

from bilberryglade._log import follower, intake, log_client
from bilberryglade._state import folding, state
from bilberryglade._values import steps

APPEND_SECONDS: typing.Final = 1.0
#: Wait for the verdict after an unclear answer, before the next append.
VERDICT_SECONDS: typing.Final = 0.5
#: Share by which that wait is spread.
JITTER: typing.Final = 0.5

APPEND_RECORD: typing.Final = steps.declare(
    'log.append_record',
    steps.StepKind.append,
)


def new_record_id() -> str:
    """Returns an id that no other record has."""
    return uuid.uuid4().hex


class Recorder:
    """Appends a record until its verdict is known.

    A record whose append gave an unclear answer is appended again under the
    same id; the fold takes the first copy and ignores the others. After a
    clear answer it is in the log, and only its verdict is waited for.
    """

    def __init__(
        self,
        log: log_client.LogClient,
        reader: follower.Follower,
    ) -> None:
        """Appends to `log` and learns verdicts from `reader`."""
        self.log = log
        self.reader = reader
        self.random = random.Random()

    async def commit(
        self,
        record: folding.Record,
        seconds: float,
    ) -> result.Result[state.Verdict, log_client.LogFailure]:
        """Returns the verdict on `record`, or a failure after `seconds`.

        After the failure `unclear` the record may still come into force.
        """
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            appended = await self.log.append(
                follower.CONTROL_STREAM,
                record,
                APPEND_SECONDS,
            )
            if appended == result.Err(log_client.LogFailure.too_large):
                return result.Err(log_client.LogFailure.too_large)
            left = deadline - time.monotonic()
            verdict = await self.reader.wait_for_verdict(
                record['id'],
                self._verdict_seconds(appended, left),
            )
            if verdict is not None:
                return result.Ok(verdict)
        return result.Err(log_client.LogFailure.unclear)

    def _verdict_seconds(
        self,
        appended: result.Result[int, log_client.LogFailure],
        left: float,
    ) -> float:
        if isinstance(appended, result.Err):
            spread = self.random.uniform(1 - JITTER, 1)
            return min(VERDICT_SECONDS * spread, left)
        known = intake.hear(
            self.reader.known,
            appended.ok_value,
            intake.NEVER,
        )
        self.reader.adopt(known)
        return left
