"""Stand-in of the platform's append-only log service.

`POST /streams/{stream}/records` appends a JSON object, `GET` reads from an
offset and may wait for news, `PUT /faults` sets delay, outage, lost answers
and how many records a stale replica lags behind.
"""

import asyncio
import typing

import msgspec
from starlette import applications, requests, responses, routing

from bilberryglade_schema import platform

MAX_RECORD_BYTES: typing.Final = 1_048_576


class LogFaults(typing.NamedTuple):
    """Faults in force at the log service."""

    #: Seconds added to each request.
    delay_seconds: float = 0
    #: Whether every request is answered 503.
    outage: bool = False
    #: How many of the next appends take effect and lose their answer.
    lose_answers: int = 0
    #: How many of the newest records reads leave out.
    stale_records: int = 0
    #: Records kept in a stream; older ones are dropped. 0 keeps all.
    retention_records: int = 0


class Stream:
    """One append-only sequence of records; offsets start at 1."""

    def __init__(self) -> None:
        """Starts empty."""
        self.records: list[dict[str, typing.Any]] = []
        self.dropped = 0
        self.changed = asyncio.Event()

    def append(self, record: dict[str, typing.Any], retention: int) -> int:
        """Adds `record` and returns its offset."""
        self.records.append(record)
        surplus = len(self.records) - retention
        if retention and surplus > 0:
            del self.records[:surplus]  # noqa: WPS420
            self.dropped += surplus
        self.changed.set()
        self.changed = asyncio.Event()
        return self.head

    @property
    def head(self) -> int:
        """Offset of the newest record, 0 if there was none."""
        return self.dropped + len(self.records)

    def read(self, start: int, limit: int, stale: int) -> platform.ReadAnswer:
        """Returns up to `limit` records from offset `start` on."""
        head = max(self.head - stale, self.dropped)
        first = max(start, self.dropped + 1)
        last = min(head, first + limit - 1)
        rows: list[platform.StoredRecord] = [
            {
                'offset': offset,
                'record': self.records[offset - self.dropped - 1],
            }
            for offset in range(first, last + 1)
        ]
        return {'records': rows, 'head': head, 'oldest': self.dropped + 1}


class LogService:
    """The streams, the faults, and the HTTP handlers over them."""

    def __init__(self) -> None:
        """Starts with no stream and no fault."""
        self.streams: dict[str, Stream] = {}
        self.faults = LogFaults()
        self.appends = 0

    async def append(self, request: requests.Request) -> responses.Response:
        """Handles an append."""
        if await self._faulty():
            return _unavailable()
        raw = await request.body()
        if len(raw) > MAX_RECORD_BYTES:
            return responses.Response('record too large', status_code=413)
        record = msgspec.json.decode(raw, type=dict[str, typing.Any])
        stream = self._stream(request)
        offset = stream.append(record, self.faults.retention_records)
        self.appends += 1
        if self.faults.lose_answers:
            lose_answers = self.faults.lose_answers - 1
            self.faults = self.faults._replace(lose_answers=lose_answers)
            return _unavailable()
        return _json({'offset': offset})

    async def read(self, request: requests.Request) -> responses.Response:
        """Handles a read; with `wait_ms` it waits for a record to come."""
        if await self._faulty():
            return _unavailable()
        start = int(request.query_params.get('from', '1'))
        limit = int(request.query_params.get('limit', '1000'))
        wait_seconds = int(request.query_params.get('wait_ms', '0')) / 1000
        stream = self._stream(request)
        stale = self.faults.stale_records
        if stream.head - stale < start and wait_seconds:
            await _wait(stream.changed, wait_seconds)
        if self.faults.outage:
            return _unavailable()
        return _json(stream.read(start, limit, stale))

    async def set_faults(self, request: requests.Request) -> responses.Response:
        """Replaces the faults in force."""
        raw = await request.body()
        changes = msgspec.json.decode(raw, type=dict[str, typing.Any])
        self.faults = LogFaults(**changes)
        return _json({'appends': self.appends})

    async def report(self, request: requests.Request) -> responses.Response:
        """Returns how many appends took effect."""
        return _json({'appends': self.appends})

    async def _faulty(self) -> bool:
        if self.faults.delay_seconds:
            await asyncio.sleep(self.faults.delay_seconds)
        return self.faults.outage

    def _stream(self, request: requests.Request) -> Stream:
        name = request.path_params['stream']
        return self.streams.setdefault(name, Stream())


async def _wait(event: asyncio.Event, seconds: float) -> None:
    try:
        await asyncio.wait_for(event.wait(), seconds)
    except TimeoutError:
        return


def _json(message: object) -> responses.Response:
    return responses.Response(
        msgspec.json.encode(message),
        media_type='application/json',
    )


def _unavailable() -> responses.Response:
    return responses.Response('unavailable', status_code=503)


def application(service: LogService) -> applications.Starlette:
    """Returns the HTTP application of `service`."""
    path = '/streams/{stream}/records'
    return applications.Starlette(
        routes=[
            routing.Route(path, service.append, methods=['POST']),
            routing.Route(path, service.read, methods=['GET']),
            routing.Route('/faults', service.set_faults, methods=['PUT']),
            routing.Route('/report', service.report, methods=['GET']),
        ],
    )
