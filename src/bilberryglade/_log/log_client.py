"""Client of the platform's append-only log."""

import asyncio
import enum
import typing

import aiosonic
import result
from aiosonic import timeout

from bilberryglade._codec import codec
from bilberryglade._log import answers
from bilberryglade._state import folding
from bilberryglade._targets import sender
from bilberryglade_schema import platform

CONNECT_SECONDS: typing.Final = 1.0
#: Records of one answer; each may have up to 1 MiB.
READ_LIMIT: typing.Final = 100
OK_STATUS: typing.Final = 200
TOO_LARGE_STATUS: typing.Final = 413


class LogFailure(enum.StrEnum):
    """Why the log gave no usable answer."""

    #: The append may or may not have taken effect.
    unclear = 'unclear'
    too_large = 'too_large'
    unreadable = 'unreadable'


class LogClient:
    """Appends to and reads from the streams of one log service."""

    def __init__(self, url: str, http: aiosonic.HTTPClient) -> None:
        """Talks to the service at `url` through `http`."""
        self.url = url
        self.http = http

    async def append(
        self,
        stream: str,
        record: folding.Record,
        timeout_seconds: float,
    ) -> result.Result[int, LogFailure]:
        """Appends `record` once and returns its offset.

        Every failure but `too_large` leaves open whether it took effect.
        """
        exchanged = await self._exchange(
            'POST',
            f'{self.url}/streams/{stream}/records',
            codec.encode_json(record),
            timeout_seconds,
        )
        if isinstance(exchanged, result.Err):
            return exchanged
        return _decoded(exchanged.ok_value, platform.AppendAnswer).map(
            lambda answer: answer['offset'],
        )

    async def read(
        self,
        stream: str,
        start: int,
        wait_ms: int,
        timeout_seconds: float,
        limit: int = READ_LIMIT,
    ) -> result.Result[platform.ReadAnswer, LogFailure]:
        """Reads up to `limit` records from `start`, waiting for news."""
        query = f'from={start}&limit={limit}&wait_ms={wait_ms}'
        exchanged = await self._exchange(
            'GET',
            f'{self.url}/streams/{stream}/records?{query}',
            None,
            timeout_seconds,
        )
        if isinstance(exchanged, result.Err):
            return exchanged
        return answers.read(exchanged.ok_value).map_err(
            lambda _: LogFailure.unreadable,
        )

    async def _exchange(
        self,
        method: str,
        url: str,
        body: bytes | None,
        timeout_seconds: float,
    ) -> result.Result[bytes, LogFailure]:
        limits = timeout.Timeouts(
            sock_connect=CONNECT_SECONDS,
            sock_read=timeout_seconds,
            request_timeout=timeout_seconds,
        )
        try:
            async with asyncio.timeout(timeout_seconds):
                response = await self.http.request(
                    url,
                    method,
                    data=body,
                    timeouts=limits,
                )
                raw = await response.content()
        except sender.BROKEN_EXCHANGE:
            return result.Err(LogFailure.unclear)
        if response.status_code == TOO_LARGE_STATUS:
            return result.Err(LogFailure.too_large)
        if response.status_code != OK_STATUS:
            return result.Err(LogFailure.unclear)
        return result.Ok(raw)


Answer = typing.TypeVar('Answer')


def _decoded(
    raw: bytes,
    kind: type[Answer],
) -> result.Result[Answer, LogFailure]:
    return codec.decode_json(raw, kind).map_err(
        lambda _: LogFailure.unreadable,
    )
