"""Failures of operations as problem documents (RFC 9457)."""

import types
import typing

from starlette import responses

from bilberryglade._codec import codec
from bilberryglade._operations import failures
from bilberryglade_schema import admin

MEDIA_TYPE: typing.Final = 'application/problem+json'
INTERNAL_STATUS: typing.Final = 500
STATUSES: typing.Final = types.MappingProxyType(
    {
        failures.FailureKind.invalid: 400,
        failures.FailureKind.unauthorized: 401,
        failures.FailureKind.not_found: 404,
        failures.FailureKind.wrong_method: 405,
        failures.FailureKind.rejected: 409,
        failures.FailureKind.too_large: 413,
        failures.FailureKind.unclear: 504,
    },
)


def document(failure: failures.Failure) -> admin.Problem:
    """Returns the problem document that tells of `failure`."""
    problem: admin.Problem = {
        'type': f'urn:bilberryglade:admin:{failure.kind}',
        'title': failure.kind.replace('_', ' '),
        'status': STATUSES.get(failure.kind, INTERNAL_STATUS),
        'detail': failure.detail,
        'outcome': _outcome(failure.kind),
        'record_id': failure.record_id,
        'winner': failure.winner,
        'errors': list(failure.errors),
    }
    if failure.race is not None:
        problem['race'] = failure.race
    return problem


def response(
    failure: failures.Failure,
    headers: typing.Mapping[str, str] | None = None,
) -> responses.Response:
    """Returns the HTTP response that tells of `failure`."""
    problem = document(failure)
    sent = dict(headers or {})
    if failure.kind is failures.FailureKind.unauthorized:
        sent['www-authenticate'] = 'Bearer'
    return responses.Response(
        codec.encode_json(problem),
        status_code=problem['status'],
        headers=sent,
        media_type=MEDIA_TYPE,
    )


def _outcome(
    kind: failures.FailureKind,
) -> typing.Literal['not_done', 'rejected', 'unclear']:
    if kind is failures.FailureKind.unclear:
        return 'unclear'
    if kind is failures.FailureKind.rejected:
        return 'rejected'
    return 'not_done'
