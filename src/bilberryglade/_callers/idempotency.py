"""Names of requests that must not run twice, and callers' own deadlines."""

import hashlib
import typing

import result

from bilberryglade._values import outcomes

IDEMPOTENCY_HEADER: typing.Final = 'idempotency-key'
TIMEOUT_HEADER: typing.Final = 'request-timeout-ms'
MAX_KEY_LENGTH: typing.Final = 255
MAX_TIMEOUT_DIGITS: typing.Final = 9
DIGEST_DIGITS: typing.Final = 32
MILLISECONDS: typing.Final = 1000


def digest_for(
    organisation: str,
    service: str,
    headers: tuple[outcomes.Header, ...],
) -> result.Result[str, outcomes.Reason]:
    """Returns the digest that names a request of one organisation."""
    keys = _texts(headers, IDEMPOTENCY_HEADER)
    if not any(keys):
        return result.Err(outcomes.Reason.idempotency_key_missing)
    if len(keys) > 1 or len(max(keys)) > MAX_KEY_LENGTH:
        return result.Err(outcomes.Reason.bad_request)
    parts = (organisation, service, keys.pop())
    named = ''.join(f'{len(part)}:{part}' for part in parts)
    digest = hashlib.sha256(named.encode()).hexdigest()
    return result.Ok(digest[:DIGEST_DIGITS])


def seconds_allowed(
    headers: tuple[outcomes.Header, ...],
    most: float,
) -> result.Result[float, outcomes.Reason]:
    """Returns the seconds that a request may take: the caller's, or `most`."""
    limits = _texts(headers, TIMEOUT_HEADER)
    if not limits:
        return result.Ok(most)
    text = limits.pop()
    is_number = text.isascii() and text.isdigit()
    if limits or not is_number or len(text) > MAX_TIMEOUT_DIGITS:
        return result.Err(outcomes.Reason.bad_request)
    return result.Ok(min(int(text) / MILLISECONDS, most))


def _texts(headers: tuple[outcomes.Header, ...], name: str) -> set[str]:
    return {header.text.strip() for header in headers if header.name == name}
