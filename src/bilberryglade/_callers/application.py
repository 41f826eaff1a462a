"""The callers' listener: authenticates, admits, delivers, answers."""

import time
import typing
import uuid

import result
from starlette import applications, requests, responses, routing

from bilberryglade._callers import (
    credentials,
    forwarding,
    intake,
    observing,
    problems,
)
from bilberryglade._delivery import delivery
from bilberryglade._limits import policies, tokens
from bilberryglade._log import follower
from bilberryglade._values import exchanges, outcomes, steps
from bilberryglade_schema import settings

METHODS: typing.Final = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE')
#: Open routes need knowledge of withdrawn keys that is younger than this.
KEY_AGE_SECONDS: typing.Final = 3.0
MILLISECONDS: typing.Final = 1000

steps.declare('api_key.read_body', steps.StepKind.check_to_act)
steps.declare('api_key.answer', steps.StepKind.check_to_act)


class CallerFront:
    """Serves callers over HTTP."""

    def __init__(
        self,
        reader: follower.Follower,
        deliverer: delivery.Delivery,
        admission: policies.Policy,
        authority: policies.HasAuthority,
        config: settings.InstanceSettings,
    ) -> None:
        """Reads agreed state from `reader`, runs requests by `deliverer`."""
        self.reader = reader
        self.deliverer = deliverer
        self.admission = admission
        self.authority = authority
        self.config = config

    async def serve(self, request: requests.Request) -> responses.Response:
        """Answers one request."""
        raw = _raw(request)
        caller = intake.identify(self.reader.view, raw.headers)
        if isinstance(caller, result.Err):
            return _refuse(caller.err_value)
        observing.note(request, caller.ok_value.api_key.organisation)
        accepted = intake.accept(
            self.reader.view,
            caller.ok_value,
            raw,
            self.config['timings']['request_limit_ms'] / MILLISECONDS,
        )
        if isinstance(accepted, result.Err):
            return _refuse(accepted.err_value)
        return await self._run(request, accepted.ok_value)

    async def _run(
        self,
        request: requests.Request,
        accepted: intake.Accepted,
    ) -> responses.Response:
        observing.note(
            request,
            accepted.api_key.organisation,
            accepted.route,
        )
        began = time.monotonic()
        body = await self._body(request)
        if body is None:
            return _refuse(outcomes.Reason.too_large)
        refusal = await self._admit(accepted)
        if refusal is not None:
            return problems.refusal(refusal)
        routed = intake.routed(
            self.reader.view,
            accepted,
            uuid.uuid4().hex,
            body,
            began,
        )
        outcome = await self.deliverer.deliver(routed)
        return self._response(accepted, outcome)

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

    async def _admit(
        self,
        accepted: intake.Accepted,
    ) -> outcomes.NotRun | None:
        """Returns why a request may not run, or None after it was counted.

        The API key is checked after the waits for the body and for a token.
        """
        route = accepted.route
        api_key = accepted.api_key
        if not credentials.is_valid(self.reader.view, api_key):
            return outcomes.NotRun(outcomes.Reason.no_credentials)
        refusal = await self.admission.admit(
            tokens.QuotaName(api_key.organisation, route.limit),
            tokens.Limit(route.rate, route.burst),
        )
        if refusal is not None:
            return refusal
        if not credentials.is_valid(self.reader.view, api_key):
            return outcomes.NotRun(outcomes.Reason.no_credentials)
        if route.is_open and not self._knows_keys():
            return outcomes.NotRun(outcomes.Reason.key_unconfirmed)
        return None

    def _knows_keys(self) -> bool:
        is_young = self.reader.age_seconds <= KEY_AGE_SECONDS
        return is_young or self.authority.has_authority

    def _response(
        self,
        accepted: intake.Accepted,
        outcome: outcomes.Outcome,
    ) -> responses.Response:
        if not isinstance(outcome, outcomes.Answered):
            return problems.refusal(outcome)
        if not credentials.is_valid(self.reader.view, accepted.api_key):
            return problems.withheld(outcomes.Reason.key_withdrawn)
        if accepted.route.is_open and not self._knows_keys():
            return problems.withheld(outcomes.Reason.key_unconfirmed)
        response = responses.Response(
            outcome.body,
            status_code=outcome.status,
        )
        for header in forwarding.to_caller(outcome.headers):
            # They came in UTF-8; the library would write Latin-1.
            response.raw_headers.append(
                (header.name.encode(), header.text.encode())
            )
        return response


def application(
    front: CallerFront,
    observe: exchanges.Observer,
) -> applications.Starlette:
    """Returns the HTTP application of `front`; `observe` sees exchanges."""
    serve = observing.observed(front.serve, observe)
    route = routing.Route('/{path:path}', serve, methods=list(METHODS))
    return applications.Starlette(routes=[route])


def _raw(request: requests.Request) -> intake.Raw:
    raw_path: bytes = request.scope['raw_path']
    query: bytes = request.scope['query_string']
    return intake.Raw(
        method=request.method,
        path=raw_path.decode('latin-1').partition('?')[0],
        query=query.decode('latin-1'),
        headers=tuple(
            outcomes.Header(
                name.decode('latin-1').lower(), text.decode('latin-1')
            )
            for name, text in request.headers.raw
        ),
    )


def _refuse(reason: outcomes.Reason) -> responses.Response:
    return problems.refusal(outcomes.NotRun(reason))
