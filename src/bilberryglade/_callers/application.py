"""The callers' listener: authenticates, routes, delivers, answers."""

import time
import typing
import uuid

import result
from starlette import applications, requests, responses, routing

from bilberryglade._callers import credentials, observing, problems
from bilberryglade._delivery import delivery
from bilberryglade._log import follower
from bilberryglade._routing import matching, slots
from bilberryglade._state import state
from bilberryglade._targets import client
from bilberryglade._values import exchanges, outcomes, requests as routed
from bilberryglade_schema import settings

METHODS: typing.Final = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE')
IDEMPOTENCY_HEADER: typing.Final = 'idempotency-key'


class CallerFront:
    """Serves callers over HTTP."""

    def __init__(
        self,
        reader: follower.Follower,
        deliverer: delivery.Delivery,
        config: settings.InstanceSettings,
    ) -> None:
        """Reads agreed state from `reader`, runs requests by `deliverer`."""
        self.reader = reader
        self.deliverer = deliverer
        self.config = config

    async def serve(self, request: requests.Request) -> responses.Response:
        """Answers one request."""
        headers = tuple(
            outcomes.Header(
                name.decode('latin-1').lower(), text.decode('latin-1')
            )
            for name, text in request.headers.raw
        )
        secret = credentials.find_secret(headers)
        api_key = credentials.find_key(self.reader.view, secret)
        if api_key is None:
            return _refuse(outcomes.Reason.no_credentials)
        observing.note(request, api_key.organisation)
        line = matching.RequestLine(
            request.method,
            request.url.path,
            request.url.query,
            headers,
        )
        route = matching.match(
            self.reader.view.rules.book,
            api_key.organisation,
            line,
        )
        if isinstance(route, result.Err):
            return _refuse(route.err_value)
        observing.note(request, api_key.organisation, route.ok_value)
        body = await self._body(request)
        if body is None:
            return _refuse(outcomes.Reason.too_large)
        outcome = await self.deliverer.deliver(
            self._routed(api_key, route.ok_value, line, body, secret),
        )
        return _response(outcome)

    async def _body(self, request: requests.Request) -> bytes | None:
        limit = self.config['limits']['body_bytes']
        parts: list[bytes] = []
        size = 0
        async for part in request.stream():
            size += len(part)
            if size > limit:
                return None
            parts.append(part)
        return b''.join(parts)

    def _routed(
        self,
        api_key: state.ApiKey,
        route: matching.Route,
        line: matching.RequestLine,
        body: bytes,
        secret: str,
    ) -> routed.RoutedRequest:
        request_id = uuid.uuid4().hex
        seconds = self.config['timings']['request_limit_ms'] / 1000
        path = f'{line.path}?{line.query}' if line.query else line.path
        return routed.RoutedRequest(
            request_id=request_id,
            organisation=api_key.organisation,
            service=route.service,
            slot=slot_for(self.reader.view, route, request_id),
            key=route.key,
            method=line.method,
            path=path,
            headers=_forwardable(line.headers, secret),
            body=body,
            deadline=time.monotonic() + seconds,
            repeatable=route.repeatable,
            idempotency_digest='',
        )


def slot_for(
    view: state.ClusterState,
    route: matching.Route,
    request_id: str,
) -> int:
    """Returns the slot of a request: its key's, or one at random."""
    if not route.key:
        return slots.slot_of(request_id)
    service = view.services.get(route.service, state.ServiceSlots())
    hot = service.hot_slots.get(slots.key_digest(route.key))
    return slots.slot_of(route.key) if hot is None else hot


def application(
    front: CallerFront,
    observe: exchanges.Observer,
) -> applications.Starlette:
    """Returns the HTTP application of `front`; `observe` sees exchanges."""
    serve = observing.observed(front.serve, observe)
    route = routing.Route('/{path:path}', serve, methods=list(METHODS))
    return applications.Starlette(routes=[route])


def _forwardable(
    headers: tuple[outcomes.Header, ...],
    secret: str,
) -> tuple[outcomes.Header, ...]:
    kept = credentials.without_key(headers, secret)
    return tuple(
        header for header in kept if header.name not in client.HOP_HEADERS
    )


def _refuse(reason: outcomes.Reason) -> responses.Response:
    return problems.refusal(outcomes.NotRun(reason))


def _response(outcome: outcomes.Outcome) -> responses.Response:
    if not isinstance(outcome, outcomes.Answered):
        return problems.refusal(outcome)
    return responses.Response(
        outcome.body,
        status_code=outcome.status,
        headers={header.name: header.text for header in outcome.headers},
    )
