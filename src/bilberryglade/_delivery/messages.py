"""Converts requests and outcomes to peer messages, and back."""

import time

import loguru

from bilberryglade._peers import handlers
from bilberryglade._values import outcomes, requests
from bilberryglade_schema import peer

MS_PER_SECOND = 1000


def forward_message(
    sender: str,
    request: requests.RoutedRequest,
    target: str,
) -> peer.Forward:
    """Returns the message that forwards `request` to the leader of `target`."""
    remaining_seconds = request.deadline - time.monotonic()
    return {
        'kind': 'forward',
        'version': handlers.VERSION,
        'sender': sender,
        'request_id': request.request_id,
        'organisation': request.organisation,
        'service': request.service,
        'slot': request.slot,
        'target': target,
        'key': request.key,
        'method': request.method,
        'path': request.path,
        'headers': _encode_headers(request.headers),
        'body': request.body,
        'remaining_ms': max(int(remaining_seconds * MS_PER_SECOND), 0),
        'repeatable': request.repeatable,
        'idempotency_digest': request.idempotency_digest,
    }


def request_from(message: peer.Forward) -> requests.RoutedRequest:
    """Returns the request that `message` forwards."""
    remaining_seconds = message['remaining_ms'] / MS_PER_SECOND
    return requests.RoutedRequest(
        request_id=message['request_id'],
        organisation=message['organisation'],
        service=message['service'],
        slot=message['slot'],
        key=message['key'],
        method=message['method'],
        path=message['path'],
        headers=_decode_headers(message['headers']),
        body=message['body'],
        deadline=time.monotonic() + remaining_seconds,
        repeatable=message['repeatable'],
        idempotency_digest=message['idempotency_digest'],
    )


def answer_message(
    sender: str,
    request_id: str,
    outcome: outcomes.Outcome,
) -> peer.Answer:
    """Returns the message that answers a forward with `outcome`."""
    answer: peer.Answer = {
        'kind': 'answer',
        'version': handlers.VERSION,
        'sender': sender,
        'request_id': request_id,
        'outcome': 'answered',
        'reason': '',
        'status': 0,
        'headers': [],
        'body': b'',
    }
    if isinstance(outcome, outcomes.Answered):
        answer['status'] = outcome.status
        answer['headers'] = _encode_headers(outcome.headers)
        answer['body'] = outcome.body
        return answer
    is_not_run = isinstance(outcome, outcomes.NotRun)
    answer['outcome'] = 'not_run' if is_not_run else 'unknown'
    answer['reason'] = outcome.reason
    return answer


def control_message(
    kind: str, sender: str, request_id: str
) -> dict[str, object]:
    """Returns a message of `kind` that carries only a forward's request id."""
    return {
        'kind': kind,
        'version': handlers.VERSION,
        'sender': sender,
        'request_id': request_id,
    }


def outcome_from(message: peer.Answer) -> outcomes.Outcome:
    """Returns the outcome that `message` carries.

    An answer whose status is none tells nothing: the request may have run.
    """
    if message['outcome'] == 'answered':
        if not outcomes.is_final(message['status']):
            loguru.logger.warning(
                'status {} of {} from {} is none',
                message['status'],
                message['request_id'],
                message['sender'],
            )
            return outcomes.Unknown(outcomes.Reason.answer_lost)
        return outcomes.Answered(
            status=message['status'],
            headers=_decode_headers(message['headers']),
            body=message['body'],
        )
    reason = _decode_reason(message['reason'])
    if message['outcome'] == 'not_run':
        return outcomes.NotRun(reason)
    return outcomes.Unknown(reason)


def _decode_reason(text: str) -> outcomes.Reason:
    if text in outcomes.Reason.__members__:
        return outcomes.Reason(text)
    return outcomes.Reason.answer_lost


def _encode_headers(headers: tuple[outcomes.Header, ...]) -> list[peer.Header]:
    return [{'name': header.name, 'value': header.text} for header in headers]


def _decode_headers(headers: list[peer.Header]) -> tuple[outcomes.Header, ...]:
    return tuple(
        outcomes.Header(header['name'], header['value']) for header in headers
    )
