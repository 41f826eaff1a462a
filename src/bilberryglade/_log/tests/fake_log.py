"""A log client over the stand-in's streams, without sockets."""

import result

from bilberryglade._log import log_client
from bilberryglade._state import folding
from bilberryglade_schema import platform
from bilberryglade_stand_ins import log_service


class FakeLogClient(log_client.LogClient):
    """Appends to and reads from streams in memory, with faults."""

    def __init__(self) -> None:
        """Starts empty, with no fault."""
        self.streams: dict[str, log_service.Stream] = {}
        self.is_down = False
        #: Appends that are still to lose their answer.
        self.lose_answers = 0
        #: Appends that are still to vanish.
        self.lose_appends = 0
        #: Records that reads leave out.
        self.stale = 0
        #: Records that a stream keeps; 0 keeps all.
        self.retention = 0

    def stream(self, name: str) -> log_service.Stream:
        """Returns a stream, empty at first."""
        return self.streams.setdefault(name, log_service.Stream())

    async def append(
        self,
        stream: str,
        record: folding.Record,
        timeout_seconds: float,
    ) -> result.Result[int, log_client.LogFailure]:
        """Appends unless a fault strikes."""
        if self.is_down or self.lose_appends:
            self.lose_appends = max(self.lose_appends - 1, 0)
            return result.Err(log_client.LogFailure.unclear)
        offset = self.stream(stream).append(record, self.retention)
        if self.lose_answers:
            self.lose_answers -= 1
            return result.Err(log_client.LogFailure.unclear)
        return result.Ok(offset)

    async def read(
        self,
        stream: str,
        start: int,
        wait_ms: int,
        timeout_seconds: float,
        limit: int = log_client.READ_LIMIT,
    ) -> result.Result[platform.ReadAnswer, log_client.LogFailure]:
        """Reads unless a fault strikes; never waits."""
        if self.is_down:
            return result.Err(log_client.LogFailure.unclear)
        return result.Ok(self.stream(stream).read(start, limit, self.stale))
