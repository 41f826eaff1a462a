"""Whether a request may run, decided from the configuration alone."""

import typing

from bilberryglade._routing import catalogue
from bilberryglade._values import outcomes, request_progress


class Incoming(typing.NamedTuple):
    """A caller's request as it came in."""

    #: Given by the caller; each of its attempts has its own.
    request_id: str
    #: In lower case, without a port.
    host: str
    #: As the caller sent it.
    host_header: str
    method: str
    path: str
    #: Without the question mark; empty if there is none.
    query: str
    #: Headers that its target may see.
    headers: tuple[outcomes.Header, ...]
    body: bytes
    #: Empty if it came without one.
    api_key: str
    #: None if it came without one.
    routing_key: int | None
    #: Seconds that the caller waits, from the arrival; None if it said none.
    patience: float | None
    #: Seconds at which it arrived.
    arrived_at: float
    progress: request_progress.Progress


class Admitted(typing.NamedTuple):
    """A request that the configuration allows."""

    route: catalogue.Route
    #: None on public routes, and where there are no organisations.
    organisation: catalogue.Organisation | None


def admit(
    known: catalogue.Catalogue | None,
    request: Incoming,
) -> Admitted | outcomes.NotRun:
    """Returns the route and the organisation of a request, or a refusal."""
    if known is None:
        return outcomes.NotRun(outcomes.Reason.no_knowledge, RETRY_MS)
    if not request.request_id:
        return outcomes.NotRun(outcomes.Reason.bad_request)
    route = catalogue.match(known, request.host, request.path)
    if route is None:
        return outcomes.NotRun(outcomes.Reason.no_route)
    if not route.parts:
        return outcomes.NotRun(outcomes.Reason.not_understood, RETRY_MS)
    if route.is_public or not known.organisations:
        return Admitted(route, None)
    return _admit_organisation(known, request, route)


def _admit_organisation(
    known: catalogue.Catalogue,
    request: Incoming,
    route: catalogue.Route,
) -> Admitted | outcomes.NotRun:
    name = known.api_keys.get(request.api_key)
    if name is None:
        return outcomes.NotRun(outcomes.Reason.no_credentials)
    organisation = known.organisations[name]
    if not organisation.is_understood:
        return outcomes.NotRun(outcomes.Reason.not_understood, RETRY_MS)
    return Admitted(route, organisation)


#: Milliseconds after which an instance without a configuration may have one.
RETRY_MS: typing.Final = 300
