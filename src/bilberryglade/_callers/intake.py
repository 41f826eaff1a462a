"""Decides what a caller's request is, before it costs anything."""

import typing

import result

from bilberryglade._callers import (
    credentials,
    forwarding,
    idempotency,
    request_line,
)
from bilberryglade._routing import matching, slots
from bilberryglade._state import state
from bilberryglade._values import outcomes, requests


class Raw(typing.NamedTuple):
    """The head of a request as it came."""

    method: str
    #: Path without query string, percent-encoded as the caller sent it.
    path: str
    query: str
    headers: tuple[outcomes.Header, ...]


class Caller(typing.NamedTuple):
    """Who sent a request, and the secret that must reach nobody."""

    api_key: state.ApiKey
    secret: str


class Accepted(typing.NamedTuple):
    """A request whose caller, route and name are known."""

    api_key: state.ApiKey
    secret: str
    route: matching.Route
    line: matching.RequestLine
    #: Empty if the request is repeatable.
    idempotency_digest: str
    seconds: float


def identify(
    view: state.ClusterState,
    headers: tuple[outcomes.Header, ...],
) -> result.Result[Caller, outcomes.Reason]:
    """Returns the caller by the one valid API key in `headers`."""
    secret = credentials.find_secret(headers)
    if isinstance(secret, result.Err):
        return result.Err(secret.err_value)
    api_key = credentials.find_key(view, secret.ok_value)
    if api_key is None:
        return result.Err(outcomes.Reason.no_credentials)
    return result.Ok(Caller(api_key, secret.ok_value))


def accept(
    view: state.ClusterState,
    caller: Caller,
    raw: Raw,
    most_seconds: float,
) -> result.Result[Accepted, outcomes.Reason]:
    """Checks form, route and name of a request."""
    if credentials.is_in_line(view, caller.secret, raw.path, raw.query):
        return result.Err(outcomes.Reason.bad_request)
    line = request_line.read_line(*raw)
    if isinstance(line, result.Err):
        return result.Err(line.err_value)
    return _matched(view, caller, line.ok_value, most_seconds)


def routed(
    view: state.ClusterState,
    accepted: Accepted,
    request_id: str,
    body: bytes,
    now: float,
) -> requests.RoutedRequest:
    """Returns the request as it goes to its target."""
    line = accepted.line
    path = f'{line.path}?{line.query}' if line.query else line.path
    name = accepted.idempotency_digest or request_id
    return requests.RoutedRequest(
        request_id=request_id,
        organisation=accepted.api_key.organisation,
        service=accepted.route.service,
        slot=slot_for(view, accepted.route, name),
        key=accepted.route.key,
        method=line.method,
        path=path,
        headers=forwarding.to_target(line.headers, accepted.secret),
        body=body,
        deadline=now + accepted.seconds,
        repeatable=accepted.route.repeatable,
        idempotency_digest=accepted.idempotency_digest,
    )


def slot_for(
    view: state.ClusterState,
    route: matching.Route,
    name: str,
) -> int:
    """Returns the slot of a request: its key's, or that of its own name.

    A repeat of a request that must not run twice finds the same slot.
    """
    if not route.key:
        return slots.slot_of(name)
    service = view.services.get(route.service, state.ServiceSlots())
    hot = service.hot_slots.get(slots.key_digest(route.key))
    return slots.slot_of(route.key) if hot is None else hot


def _matched(
    view: state.ClusterState,
    caller: Caller,
    line: matching.RequestLine,
    most_seconds: float,
) -> result.Result[Accepted, outcomes.Reason]:
    route = matching.match(
        view.rules.book,
        caller.api_key.organisation,
        line,
    )
    if isinstance(route, result.Err):
        return result.Err(route.err_value)
    if not request_line.is_key_safe(route.ok_value.key):
        return result.Err(outcomes.Reason.bad_request)
    seconds = idempotency.seconds_allowed(line.headers, most_seconds)
    if isinstance(seconds, result.Err):
        return result.Err(seconds.err_value)
    digest = _digest(caller.api_key.organisation, route.ok_value, line.headers)
    return digest.map(
        lambda name: Accepted(
            *caller, route.ok_value, line, name, seconds.ok_value
        ),
    )


def _digest(
    organisation: str,
    route: matching.Route,
    headers: tuple[outcomes.Header, ...],
) -> result.Result[str, outcomes.Reason]:
    if route.repeatable:
        return result.Ok('')
    return idempotency.digest_for(organisation, route.service, headers)
