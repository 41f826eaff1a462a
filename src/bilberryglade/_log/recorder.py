"""Appends records and learns from the fold whether they were accepted."""

import time
import typing
import uuid

import result

from bilberryglade._log import follower, log_client
from bilberryglade._state import folding, state

APPEND_SECONDS: typing.Final = 1.0
VERDICT_SECONDS: typing.Final = 0.5


def new_record_id() -> str:
    """Returns an id that no other record has."""
    return uuid.uuid4().hex


class Recorder:
    """Appends a record until its verdict is known.

    A record whose append gave an unclear answer is appended again under the
    same id; the fold takes the first copy and ignores the others.
    """

    def __init__(
        self,
        log: log_client.LogClient,
        reader: follower.Follower,
    ) -> None:
        """Appends to `log` and learns verdicts from `reader`."""
        self.log = log
        self.reader = reader

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
            verdict = await self.reader.wait_for_verdict(
                record['id'],
                VERDICT_SECONDS,
            )
            if verdict is not None:
                return result.Ok(verdict)
        return result.Err(log_client.LogFailure.unclear)
