"""Callers over the platform's HTTP: requests in, answers and refusals out."""

import asyncio
import contextlib
import functools
import traceback
import typing
from collections import abc

import loguru
import result
from starlette import applications, requests, responses, routing

from bilberryglade._codec import codec
from bilberryglade._delivery import router
from bilberryglade._instance import serving
from bilberryglade._routing import admission, catalogue
from bilberryglade._targets import answers
from bilberryglade._values import clock, leases, outcomes, request_progress
from bilberryglade.platform import headers
from bilberryglade_schema import provider

METHODS: typing.Final = (
    'GET',
    'HEAD',
    'POST',
    'PUT',
    'PATCH',
    'DELETE',
    'OPTIONS',
)
#: Headers that concern one connection, or that the router sets itself.
NOT_FORWARDED: typing.Final = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        headers.API_KEY,
        headers.DEADLINE,
        headers.EXPECTED_TARGET,
        headers.ORGANISATION,
        headers.REQUEST_ID,
        headers.ROUTING_KEY,
    ),
)
#: Texts of deadlines whose meaning is kept; most callers send the same few.
KEPT_PATIENCE: typing.Final = 1024
TOO_LARGE_STATUS: typing.Final = 413
MALFORMED_STATUS: typing.Final = 400
#: Statuses of refusals; every other reason is 503, which promises that the
#: request has not run.
REFUSALS: typing.Final = {  # noqa: WPS407
    outcomes.Reason.bad_request: MALFORMED_STATUS,
    outcomes.Reason.no_credentials: 401,
    outcomes.Reason.no_route: 404,
    outcomes.Reason.too_large: TOO_LARGE_STATUS,
    outcomes.Reason.over_rate: 429,
}
NOT_RUN_STATUS: typing.Final = 503
LOST_STATUS: typing.Final = 502
LATE_STATUS: typing.Final = 504
GONE_STATUS: typing.Final = 499

#: What a request met that is still under way when the instance ends.
ENDED: typing.Final = router.DeliveryResult(
    outcomes.Unknown(outcomes.Reason.stopping)
)

Observe: typing.TypeAlias = abc.Callable[
    [admission.Incoming, router.DeliveryResult, int, float],
    None,
]


class Front:
    """Serves callers."""

    def __init__(
        self,
        routing_core: router.Router,
        observe: Observe,
        is_known: abc.Callable[[], catalogue.CallerBounds],
    ) -> None:
        """`is_known` returns the bounds in force on what callers send."""
        self.router = routing_core
        self.observe = observe
        self.bounds = is_known
        #: Done when the instance ends: what still runs is answered then.
        self.ending: asyncio.Future[None] = asyncio.Future()

    async def serve(self, request: requests.Request) -> responses.Response:
        """Answers one request."""
        arrived_at = clock.now()
        body = await _body(request, self.bounds().body_bytes)
        if body is None:
            return responses.Response(status_code=TOO_LARGE_STATUS)
        incoming = incoming_of(
            request, body, arrived_at, serving.has_left_of(request.scope)
        )
        if incoming is None:
            return responses.Response(status_code=MALFORMED_STATUS)
        delivered = await self._run(request, incoming)
        if delivered is None:
            gone = router.DeliveryResult(
                outcomes.Unknown(outcomes.Reason.caller_gone)
            )
            self._observe(incoming, gone, GONE_STATUS)
            return responses.Response(status_code=GONE_STATUS)
        response = response_of(incoming, delivered)
        self._observe(incoming, delivered, response.status_code)
        return response

    async def _run(
        self,
        request: requests.Request,
        incoming: admission.Incoming,
    ) -> router.DeliveryResult | None:
        """Runs a request; None if its caller left before it was sent.

        A request that may run once and is at a target goes on without its
        caller: nobody can tell any more whether it has run.
        """
        work = asyncio.create_task(self.router.serve(incoming))
        leaving = _leaving(request)
        try:
            return await self._first_end(incoming, work, leaving)
        finally:
            leaving.cancel()
            work.cancel()

    async def _first_end(
        self,
        incoming: admission.Incoming,
        work: asyncio.Task[router.DeliveryResult],
        leaving: asyncio.Future[None],
    ) -> router.DeliveryResult | None:
        """Returns what ended a request first: `work`, its caller or the stop."""
        ending = self.ending
        await asyncio.wait(
            (work, leaving, ending), return_when=asyncio.FIRST_COMPLETED
        )
        if leaving.done():
            incoming.progress.note_left()
        if leaving.done() and not work.done():
            if not self.router.sender.is_unrepeatable_in_flight(incoming):
                work.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await work
                return None
            await asyncio.wait(
                (work, ending), return_when=asyncio.FIRST_COMPLETED
            )
        return work.result() if work.done() else ENDED

    def _observe(
        self,
        incoming: admission.Incoming,
        delivered: router.DeliveryResult,
        status: int,
    ) -> None:
        seconds = clock.now() - incoming.arrived_at
        self.observe(incoming, delivered, status, seconds)


def application(front: Front) -> serving.Application:
    """Returns the HTTP application for callers.

    Routing and middlewares of the framework took a quarter of the time in this
    module, and have one route. They see only what that route may not take.
    """
    framework = _framework(front)

    async def serve(  # noqa: WPS430
        scope: serving.Scope, receive: serving.Receive, send: serving.Send
    ) -> None:
        if not _is_routed(scope):
            await framework(scope, receive, send)
            return
        request = requests.Request(scope, receive, send)
        try:
            response = await front.serve(request)
        except Exception as fault:
            response = await answer_fault(request, fault)
            await response(scope, receive, send)
            raise
        await response(scope, receive, send)

    return serve


def _is_routed(scope: serving.Scope) -> bool:
    """Tells whether the one route certainly takes a request."""
    return (
        scope['type'] == 'http'
        and scope['method'] in METHODS
        and scope['path'].startswith('/')
        and '\n' not in scope['path']
    )


def _framework(front: Front) -> applications.Starlette:
    """Returns the application with routing, and answers to what has none."""
    route = routing.Route('/{path:path}', front.serve, methods=list(METHODS))
    return applications.Starlette(
        routes=[route],
        exception_handlers={Exception: answer_fault},
    )


async def answer_fault(
    request: requests.Request,
    fault: Exception,
) -> responses.Response:
    """Answers a request that met a fault of this program.

    Nothing is promised of it: it may have been sent.
    """
    request_id = request.headers.get(headers.REQUEST_ID, '')
    loguru.logger.opt(exception=fault).bind(
        request=request_id, trace=''.join(traceback.format_exception(fault))
    ).error('fault while a request was served: {!r}', fault)
    return responses.Response(status_code=LOST_STATUS)


def incoming_of(
    request: requests.Request,
    body: bytes,
    arrived_at: float,
    has_left: abc.Callable[[], bool] = request_progress.never,
) -> admission.Incoming | None:
    """Returns a caller's request, or None if it is malformed."""
    raw = tuple(
        outcomes.Header(name.decode('latin-1'), text.decode('latin-1'))
        for name, text in request.headers.raw
    )
    hosts = headers.all_of(raw, 'host')
    if len(hosts) != 1:
        return None
    raw_path: bytes = request.scope['raw_path']
    query: bytes = request.scope['query_string']
    try:
        routing_key = _routing_key(headers.find(raw, headers.ROUTING_KEY))
        patience = _patience(headers.find(raw, headers.DEADLINE))
    except ValueError:
        return None
    return admission.Incoming(
        request_id=headers.find(raw, headers.REQUEST_ID),
        host=hosts[0].partition(':')[0].lower(),
        host_header=hosts[0],
        method=request.method,
        path=raw_path.decode('latin-1').partition('?')[0],
        query=query.decode('latin-1'),
        headers=tuple(
            header for header in raw if header.name not in NOT_FORWARDED
        ),
        body=body,
        api_key=headers.find(raw, headers.API_KEY),
        routing_key=routing_key,
        patience=patience,
        arrived_at=arrived_at,
        progress=request_progress.Progress(has_left),
    )


def response_of(
    incoming: admission.Incoming,
    delivered: router.DeliveryResult,
) -> responses.Response:
    """Returns the answer to a caller."""
    outcome = delivered.outcome
    if isinstance(outcome, outcomes.Answered):
        response = responses.Response(outcome.body, outcome.status)
        response.raw_headers = [
            (header.name.encode('latin-1'), header.text.encode('latin-1'))
            for header in outcome.headers
        ]
        if _has_body(incoming.method, outcome.status):
            response.headers['content-length'] = str(len(outcome.body))
        return response
    if isinstance(outcome, outcomes.NotRun):
        status = REFUSALS.get(outcome.reason, NOT_RUN_STATUS)
    elif outcome.reason is outcomes.Reason.deadline:
        status = LATE_STATUS
    else:
        status = LOST_STATUS
    response = responses.Response(
        f'{outcome.reason}\n', status, media_type='text/plain'
    )
    if incoming.request_id:
        response.headers[headers.REQUEST_ID] = incoming.request_id
    if delivered.retry_after_ms:
        seconds = delivered.retry_after_ms / 1000
        response.headers[headers.RETRY_AFTER] = f'{seconds:.3f}'
    return response


def _has_body(method: str, status: int) -> bool:
    """Tells whether an answer has a body, of whose length it tells."""
    return method != 'HEAD' and status not in answers.NO_BODY_STATUSES


async def _body(request: requests.Request, most_bytes: int) -> bytes | None:
    parts: list[bytes] = []
    size = 0
    async for part in request.stream():
        size += len(part)
        if size > most_bytes:
            return None
        parts.append(part)
    return b''.join(parts)


def _leaving(request: requests.Request) -> asyncio.Future[None]:
    """Returns what is done once the caller has left."""
    leaving = serving.leaving_of(request.scope)
    if leaving is None:
        return asyncio.create_task(_wait_for_leaving(request))
    return leaving


async def _wait_for_leaving(request: requests.Request) -> None:
    while True:
        message = await request.receive()
        if message['type'] == 'http.disconnect':
            return


def _routing_key(text: str) -> int | None:
    if not text:
        return None
    key = int(text)
    if not 0 <= key <= leases.LAST_KEY:
        raise ValueError(f'routing key {key}')
    return key


@functools.lru_cache(maxsize=KEPT_PATIENCE)
def _patience(text: str) -> float | None:
    if not text:
        return None
    read = codec.convert_texts(text, provider.Patience)
    if isinstance(read, result.Err):
        raise ValueError(f'deadline: {read.err_value.detail}')
    return max(read.ok_value, 0) / 1000
