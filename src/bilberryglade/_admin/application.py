"""The admin listener: operations, health and metrics over HTTP."""

import typing
from collections import abc

import result
from starlette import applications, exceptions, requests, responses, routing

from bilberryglade._admin import (
    authentication,
    decoding,
    description,
    problems,
)
from bilberryglade._codec import codec
from bilberryglade._operations import (
    catalogue,
    failures,
    operations,
    record_ids,
)

REGISTERED: typing.Final = (catalogue,)
IDEMPOTENCY_HEADER: typing.Final = 'idempotency-key'
JSON_TYPE: typing.Final = 'application/json'
LINES_TYPE: typing.Final = 'application/jsonl'
UNAVAILABLE_STATUS: typing.Final = 503
NOT_FOUND_STATUS: typing.Final = 404

Endpoint: typing.TypeAlias = abc.Callable[
    [requests.Request],
    abc.Awaitable[responses.Response],
]


class Probes(typing.NamedTuple):
    """What the listener tells without a token."""

    is_ready: abc.Callable[[], bool]
    #: Returns the metrics in the text format of Prometheus.
    scrape: abc.Callable[[], bytes]


class AdminFront:
    """Serves operators over HTTP."""

    def __init__(self, context: operations.Context, probes: Probes) -> None:
        """Runs operations on `context`."""
        self.context = context
        self.probes = probes

    def endpoint(self, operation: operations.Operation) -> Endpoint:
        """Returns the handler of requests for `operation`."""

        async def serve(  # noqa: WPS430
            request: requests.Request,
        ) -> responses.Response:
            if not self._is_authorized(request):
                return _unauthorized()
            return await self._perform(operation, request)

        return serve

    async def live(self, request: requests.Request) -> responses.Response:
        """Answers that the process runs."""
        return responses.Response(b'live\n')

    async def ready(self, request: requests.Request) -> responses.Response:
        """Answers whether the balancer may send callers here."""
        if self.probes.is_ready():
            return responses.Response(b'ready\n')
        return responses.Response(
            b'not ready\n',
            status_code=UNAVAILABLE_STATUS,
        )

    async def metrics(self, request: requests.Request) -> responses.Response:
        """Answers with the metrics of this instance."""
        return responses.Response(
            self.probes.scrape(),
            media_type='text/plain; version=0.0.4',
        )

    async def describe(self, request: requests.Request) -> responses.Response:
        """Answers with the OpenAPI description."""
        if not self._is_authorized(request):
            return _unauthorized()
        return _json(description.describe())

    async def _perform(
        self,
        operation: operations.Operation,
        request: requests.Request,
    ) -> responses.Response:
        decoded = await decoding.read_request(operation, request)
        if isinstance(decoded, result.Err):
            return problems.response(decoded.err_value)
        record_id = record_ids.record_id_for(
            operation.name,
            decoded.ok_value,
            request.headers.get(IDEMPOTENCY_HEADER, ''),
        )
        call = operations.Call(decoded.ok_value, record_id)
        outcome = await operation.function(self.context, call)
        if isinstance(outcome, result.Err):
            return problems.response(outcome.err_value)
        return _answer(outcome.ok_value)

    def _is_authorized(self, request: requests.Request) -> bool:
        return authentication.is_authorized(
            request.headers.get('authorization', ''),
            self.context.config['admin']['token_digest'],
        )


def application(front: AdminFront) -> applications.Starlette:
    """Returns the HTTP application of `front`."""
    routes = [
        routing.Route('/health/live', front.live),
        routing.Route('/health/ready', front.ready),
        routing.Route('/metrics', front.metrics),
        routing.Route(f'{description.PREFIX}/openapi.json', front.describe),
    ]
    for operation in operations.operations.entries.values():
        routes.append(
            routing.Route(
                f'{description.PREFIX}{operation.path}',
                front.endpoint(operation),
                methods=[operation.method],
            ),
        )
    served = applications.Starlette(
        routes=routes,
        exception_handlers={
            exceptions.HTTPException: _http_problem,
            Exception: _internal_problem,
        },
    )
    served.router.redirect_slashes = False
    return served


def _answer(message: object) -> responses.Response:
    if isinstance(message, abc.AsyncIterator):
        return responses.StreamingResponse(
            _lines(message),
            media_type=LINES_TYPE,
        )
    return _json(message)


async def _lines(
    messages: abc.AsyncIterator[object],
) -> abc.AsyncIterator[bytes]:
    async for message in messages:
        yield b'%s\n' % codec.encode_json(message)


def _json(message: object) -> responses.Response:
    return responses.Response(
        codec.encode_json(message),
        media_type=JSON_TYPE,
    )


def _unauthorized() -> responses.Response:
    return problems.response(
        failures.Failure(
            failures.FailureKind.unauthorized,
            'a bearer token of operators is needed',
        ),
    )


async def _http_problem(
    request: requests.Request,
    error: Exception,
) -> responses.Response:
    path = request.url.path
    if not isinstance(error, exceptions.HTTPException):
        return await _internal_problem(request, error)
    if error.status_code == NOT_FOUND_STATUS:
        detail = f'nothing is served at {path}'
        return problems.response(
            failures.Failure(failures.FailureKind.not_found, detail),
        )
    detail = f'{path} does not take {request.method}'
    return problems.response(
        failures.Failure(failures.FailureKind.wrong_method, detail),
        error.headers,
    )


async def _internal_problem(
    request: requests.Request,
    error: Exception,
) -> responses.Response:
    return problems.response(
        failures.Failure(
            failures.FailureKind.internal,
            'a fault of the program; see the log of the instance',
        ),
    )
