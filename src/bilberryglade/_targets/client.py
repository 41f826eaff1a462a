"""HTTP towards targets: one request, one attempt, one outcome."""

import asyncio
import time
import typing

from aiosonic import timeout

from bilberryglade._codec import codec
from bilberryglade._targets import answers, connections, sender
from bilberryglade._values import outcomes, requests
from bilberryglade_schema import platform

CONNECT_SECONDS: typing.Final = sender.CONNECT_SECONDS
GRANT_SECONDS: typing.Final = 0.5
HEALTH_SECONDS: typing.Final = 0.5
OK_STATUS: typing.Final = 200
DOWN_STATUS: typing.Final = 503
#: Time after which every kept connection to a silent target was closed.
SILENT_SECONDS: typing.Final = 2 * connections.IDLE_MS / 1000
BROKEN_EXCHANGE: typing.Final = sender.BROKEN_EXCHANGE
#: Callers of this client are not told late answers from lost ones.
LOST: typing.Final = outcomes.Unknown(outcomes.Reason.answer_lost)
HOP_HEADERS: typing.Final = answers.HOP_HEADERS


class GrantHeaders(typing.NamedTuple):
    """The grant that a request runs under."""

    slot: int
    fence: int


class Limits(typing.NamedTuple):
    """Bounds on what the client holds."""

    #: Connections to all targets together, of each class.
    connections: int
    #: The longest answer that is taken in, in bytes.
    answer_bytes: int


class TargetClient:
    """Sends requests and grants to targets."""

    def __init__(self, limits: Limits) -> None:
        """Opens connections as they are needed, within `limits`."""
        self.limits = limits
        self.sender = sender.Sender(limits.connections, limits.answer_bytes)
        self.kept = self.sender.kept
        self.fresh = self.sender.fresh
        #: Nothing that was asked before can be answered on one of these.
        self.granting = sender.Sender(limits.connections, limits.answer_bytes)
        #: Monotonic seconds until which kept connections are distrusted.
        self.silent_until: dict[str, float] = {}

    async def run(
        self,
        address: str,
        request: requests.RoutedRequest,
        grant: GrantHeaders,
        seconds: float,
    ) -> outcomes.Outcome:
        """Sends `request` once and returns what became of it.

        A request that may not be repeated goes over a new connection: one
        that was kept may have gone silent, or be closed while it is written.
        Others may use a kept connection for half of their time; where that
        fails, the target's kept connections are not used until they have
        been closed, so that another try takes a new one.
        """
        now = time.monotonic()
        distrusted = self.silent_until.get(address, now) > now
        if distrusted or not request.repeatable:
            return await self._attempt(
                address, request, grant, seconds, on_fresh=True
            )
        outcome = await self._attempt(
            address, request, grant, seconds / 2, on_fresh=False
        )
        if isinstance(outcome, outcomes.Unknown):
            self.silent_until[address] = time.monotonic() + SILENT_SECONDS
        return outcome

    async def grant(
        self,
        address: str,
        grants: list[platform.Grant],
    ) -> bool:
        """Hands out grants; returns whether the target took all of them."""
        batch: platform.GrantBatch = {'grants': grants}
        call = sender.Call(
            address=address,
            method='PUT',
            path='/-/grants',
            headers={},
            body=codec.encode_json(batch),
            seconds=GRANT_SECONDS,
        )
        outcome = await self.granting.send(call, on_fresh=True)
        if not isinstance(outcome, outcomes.Answered):
            return False
        return outcome.status == OK_STATUS

    async def has_fallen(self, address: str) -> bool:
        """Tells whether a target refuses connections or says it is down.

        A target that does not answer in time may be cut off or frozen; that
        is no sign of a fall.
        """
        limits = timeout.Timeouts(
            sock_connect=CONNECT_SECONDS,
            request_timeout=HEALTH_SECONDS,
        )
        try:
            async with asyncio.timeout(HEALTH_SECONDS):
                response = await self.fresh.request(
                    f'http://{address}/-/health',
                    'GET',
                    timeouts=limits,
                    stream=True,
                )
                await answers.read_body(response, self.limits.answer_bytes)
        except ConnectionRefusedError:
            return True
        except BROKEN_EXCHANGE:
            return False
        return bool(response.status_code == DOWN_STATUS)

    async def close(self) -> None:
        """Closes every connection."""
        await self.sender.close()
        await self.granting.close()

    async def _attempt(
        self,
        address: str,
        request: requests.RoutedRequest,
        grant: GrantHeaders,
        seconds: float,
        *,
        on_fresh: bool,
    ) -> outcomes.Outcome:
        call = sender.Call(
            address=address,
            method=request.method,
            path=request.path,
            headers=_headers(request, grant, seconds),
            body=request.body,
            seconds=seconds,
            name=requests.caller_request_id(request.request_id),
        )
        outcome = await self.sender.send(call, on_fresh=on_fresh)
        if isinstance(outcome, outcomes.Unknown):
            is_large = outcome.reason is outcomes.Reason.too_large
            return outcome if is_large else LOST
        if isinstance(outcome, outcomes.NotRun):
            return outcome
        if answers.says_not_started(outcome.headers):
            return outcomes.NotRun(outcomes.Reason.target_refused)
        return outcome


def _headers(
    request: requests.RoutedRequest,
    grant: GrantHeaders,
    seconds: float,
) -> dict[str, str]:
    headers: dict[str, str] = {}
    for header in request.headers:
        known = headers.get(header.name)
        separator = '; ' if header.name == 'cookie' else ', '
        headers[header.name] = (
            header.text if known is None else f'{known}{separator}{header.text}'
        )
    headers.update(
        {
            'request-id': requests.caller_request_id(request.request_id),
            'organisation': request.organisation,
            'routing-key': request.key,
            'grant-slot': str(grant.slot),
            'grant-fence': str(grant.fence),
            'deadline-ms': str(int(seconds * 1000)),
        },
    )
    return headers
