"""Refusals as problem documents (RFC 9457)."""

import types
import typing

from starlette import responses

from bilberryglade._codec import codec
from bilberryglade._values import outcomes

MEDIA_TYPE: typing.Final = 'application/problem+json'
MILLISECONDS: typing.Final = 1000

STATUSES: typing.Final = types.MappingProxyType(
    {
        outcomes.Reason.no_route: 404,
        outcomes.Reason.no_credentials: 401,
        outcomes.Reason.not_allowed: 403,
        outcomes.Reason.key_missing: 400,
        outcomes.Reason.idempotency_key_missing: 400,
        outcomes.Reason.bad_request: 400,
        outcomes.Reason.over_rate: 429,
        outcomes.Reason.too_large: 413,
        outcomes.Reason.already_tried: 409,
        outcomes.Reason.deadline: 504,
        outcomes.Reason.quarantined: 422,
        outcomes.Reason.idempotency_key_reused: 422,
    }
)
UNAVAILABLE_STATUS: typing.Final = 503
UNKNOWN_STATUS: typing.Final = 502
UNKNOWN_STATUSES: typing.Final = types.MappingProxyType(
    {outcomes.Reason.already_tried: 409},
)
WITHHELD_STATUS: typing.Final = 401


class Problem(typing.TypedDict):
    """Body of a refusal."""

    type: str
    title: str
    status: int
    #: `not-run`, `unknown` or `ran`.
    run_state: str


class Refusal(responses.Response):
    """A problem document, with the outcome that it tells of."""

    outcome: outcomes.NotRun | outcomes.Unknown


class Withheld(responses.Response):
    """A problem document about a request that ran, with its reason."""

    reason: outcomes.Reason


def withheld(reason: outcomes.Reason) -> Withheld:
    """Returns the response to a request that ran but whose answer stays here."""
    problem: Problem = {
        'type': f'urn:bilberryglade:problem:{reason}',
        'title': reason.replace('_', ' '),
        'status': WITHHELD_STATUS,
        'run_state': 'ran',
    }
    response = Withheld(
        codec.encode_json(problem),
        status_code=WITHHELD_STATUS,
        media_type=MEDIA_TYPE,
    )
    response.reason = reason
    return response


def refusal(outcome: outcomes.NotRun | outcomes.Unknown) -> Refusal:
    """Returns the response that tells a caller of `outcome`."""
    is_not_run = isinstance(outcome, outcomes.NotRun)
    status = UNKNOWN_STATUSES.get(outcome.reason, UNKNOWN_STATUS)
    if is_not_run:
        status = STATUSES.get(outcome.reason, UNAVAILABLE_STATUS)
    problem: Problem = {
        'type': f'urn:bilberryglade:problem:{outcome.reason}',
        'title': outcome.reason.replace('_', ' '),
        'status': status,
        'run_state': 'not-run' if is_not_run else 'unknown',
    }
    headers = {}
    if isinstance(outcome, outcomes.NotRun) and outcome.retry_after_ms:
        seconds = -(-outcome.retry_after_ms // MILLISECONDS)
        headers['retry-after'] = str(seconds)
    response = Refusal(
        codec.encode_json(problem),
        status_code=status,
        headers=headers,
        media_type=MEDIA_TYPE,
    )
    response.outcome = outcome
    return response
