"""Tells an observer what became of each exchange with a caller."""

import time
import typing
from collections import abc

from starlette import requests, responses

from bilberryglade._callers import problems
from bilberryglade._routing import matching
from bilberryglade._values import exchanges, outcomes

Serve: typing.TypeAlias = abc.Callable[
    [requests.Request],
    abc.Awaitable[responses.Response],
]


class Matched(typing.NamedTuple):
    """What the front found out about a request before it ran."""

    organisation: str = ''
    #: None if no rule matched.
    route: matching.Route | None = None


def note(
    request: requests.Request,
    organisation: str,
    route: matching.Route | None = None,
) -> None:
    """Notes whose request it is, and its route once that is known."""
    request.state.matched = Matched(organisation, route)


def observed(serve: Serve, observe: exchanges.Observer) -> Serve:
    """Returns `serve` with each exchange told to `observe`."""

    async def serve_observed(  # noqa: WPS430
        request: requests.Request,
    ) -> responses.Response:
        request.state.matched = Matched()
        began = time.monotonic()
        response = await serve(request)
        seconds = time.monotonic() - began
        observe(exchange_of(request.state.matched, response, seconds))
        return response

    return serve_observed


def exchange_of(
    matched: Matched,
    response: responses.Response,
    seconds: float,
) -> exchanges.Exchange:
    """Returns what an observer is told of a response."""
    outcome, reason = _words(response)
    route = matched.route
    return exchanges.Exchange(
        outcome=outcome,
        reason=reason,
        organisation=matched.organisation,
        service=route.service if route else '',
        repeatable=route is None or route.repeatable,
        seconds=seconds,
    )


def _words(response: responses.Response) -> tuple[str, str]:
    """Returns outcome and reason."""
    if isinstance(response, problems.Withheld):
        return 'withheld', str(response.reason)
    if not isinstance(response, problems.Refusal):
        return 'answered', ''
    is_not_run = isinstance(response.outcome, outcomes.NotRun)
    word = 'not_run' if is_not_run else 'unknown'
    return word, str(response.outcome.reason)
