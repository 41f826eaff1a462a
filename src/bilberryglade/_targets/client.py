"""HTTP towards targets: one request, one attempt, one outcome."""

import typing
from collections import abc

import aiosonic
from aiosonic import exceptions, timeout

from bilberryglade._codec import codec
from bilberryglade._values import outcomes, requests
from bilberryglade_schema import platform

CONNECT_SECONDS: typing.Final = 0.5
GRANT_SECONDS: typing.Final = 0.5
OK_STATUS: typing.Final = 200
NOT_STARTED: typing.Final = 'not-started'
RUN_STATE_HEADER: typing.Final = 'run-state'
HOP_HEADERS: typing.Final = frozenset(
    (
        'connection',
        'content-length',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'host',
        'date',
        'server',
    ),
)


class GrantHeaders(typing.NamedTuple):
    """The grant that a request runs under."""

    slot: int
    fence: int


class TargetClient:
    """Sends requests and grants to targets."""

    def __init__(self, http: aiosonic.HTTPClient) -> None:
        """Talks through `http`."""
        self.http = http

    async def run(
        self,
        address: str,
        request: requests.RoutedRequest,
        grant: GrantHeaders,
        seconds: float,
    ) -> outcomes.Outcome:
        """Sends `request` once and returns what became of it.

        The body goes as a stream, which the library never sends twice.
        """
        limits = timeout.Timeouts(
            sock_connect=CONNECT_SECONDS,
            sock_read=seconds,
            request_timeout=seconds,
        )
        try:
            response = await self.http.request(
                f'http://{address}{request.path}',
                request.method,
                headers=_headers(request, grant, seconds),
                data=_single_use(request.body),
                timeouts=limits,
            )
            body = await response.content()
        except (exceptions.ConnectTimeout, ConnectionRefusedError):
            return outcomes.NotRun(outcomes.Reason.target_unreachable)
        except (exceptions.AiosonicError, exceptions.BaseTimeout, OSError):
            return outcomes.Unknown(outcomes.Reason.answer_lost)
        headers = _answer_headers(response)
        if headers.get(RUN_STATE_HEADER) == NOT_STARTED:
            return outcomes.NotRun(outcomes.Reason.target_refused)
        return outcomes.Answered(
            status=response.status_code,
            headers=tuple(
                outcomes.Header(name, text) for name, text in headers.items()
            ),
            body=body,
        )

    async def grant(
        self,
        address: str,
        grants: list[platform.Grant],
    ) -> bool:
        """Hands out grants; returns whether the target took all of them."""
        batch: platform.GrantBatch = {'grants': grants}
        limits = timeout.Timeouts(
            sock_connect=CONNECT_SECONDS,
            request_timeout=GRANT_SECONDS,
        )
        try:
            response = await self.http.put(
                f'http://{address}/-/grants',
                data=codec.encode_json(batch),
                timeouts=limits,
            )
            await response.content()
        except (exceptions.AiosonicError, exceptions.BaseTimeout, OSError):
            return False
        return bool(response.status_code == OK_STATUS)


async def _single_use(body: bytes) -> abc.AsyncIterator[bytes]:
    if body:
        yield body


def _headers(
    request: requests.RoutedRequest,
    grant: GrantHeaders,
    seconds: float,
) -> dict[str, str]:
    headers = {header.name: header.text for header in request.headers}
    headers.update(
        {
            'request-id': request.request_id,
            'organisation': request.organisation,
            'routing-key': request.key,
            'grant-slot': str(grant.slot),
            'grant-fence': str(grant.fence),
            'deadline-ms': str(int(seconds * 1000)),
        },
    )
    return headers


def _answer_headers(response: aiosonic.HttpResponse) -> dict[str, str]:
    return {
        name.lower(): text
        for name, text in response.headers.items()
        if name.lower() not in HOP_HEADERS
    }
