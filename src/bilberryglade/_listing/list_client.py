"""Client of the platform's lagging list of members."""

import asyncio
import typing

import aiosonic
import loguru
import result
from aiosonic import timeout

from bilberryglade._codec import codec
from bilberryglade._targets import sender
from bilberryglade_schema import platform

REQUEST_SECONDS: typing.Final = 2.0
OK_STATUS: typing.Final = 200


class ListUnavailable(typing.NamedTuple):
    """The list could not be read."""

    detail: str


class ListClient:
    """Reads the list of members."""

    def __init__(self, url: str, http: aiosonic.HTTPClient) -> None:
        """Talks to the service at `url` through `http`."""
        self.url = url
        self.http = http
        #: Rows that could not be read, each time that the list was.
        self.left_out = 0

    async def read(
        self,
    ) -> result.Result[list[platform.ListedMember], ListUnavailable]:
        """Returns the rows of the list; they may be out of date."""
        limits = timeout.Timeouts(request_timeout=REQUEST_SECONDS)
        try:
            async with asyncio.timeout(REQUEST_SECONDS):
                response = await self.http.get(
                    f'{self.url}/members',
                    timeouts=limits,
                )
                raw = await response.content()
        except sender.BROKEN_EXCHANGE as error:
            return result.Err(ListUnavailable(repr(error)))
        if response.status_code != OK_STATUS:
            return result.Err(ListUnavailable(f'status {response.status_code}'))
        return (
            codec.decode_open_json(raw)
            .and_then(lambda answer: codec.convert(answer, platform.MemberList))
            .map(lambda answer: self._rows(answer['members']))
            .map_err(lambda error: ListUnavailable(error.detail))
        )

    def _rows(self, found: list[typing.Any]) -> list[platform.ListedMember]:
        """Returns the rows that can be read."""
        rows = [codec.convert(row, platform.ListedMember) for row in found]
        sound = [row.ok_value for row in rows if isinstance(row, result.Ok)]
        left_out = len(rows) - len(sound)
        if left_out and not self.left_out:
            loguru.logger.warning('rows of the list of members left out')
        self.left_out += left_out
        return sound
