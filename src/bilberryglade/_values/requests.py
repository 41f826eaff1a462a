"""A caller's request after it was matched to a route."""

import typing

from bilberryglade._values import outcomes


class RoutedRequest(typing.NamedTuple):
    """A request that may run, with everything its delivery needs."""

    #: Never reused; each attempt has its own, made by `attempt_id`.
    request_id: str
    organisation: str
    service: str
    #: Slot of the key or, where the service has no key, of the request itself.
    slot: int
    #: Empty where the service is not divided by key.
    key: str
    method: str
    #: Path and query string, as sent to the target.
    path: str
    headers: tuple[outcomes.Header, ...]
    body: bytes
    #: Monotonic seconds at which the caller gives up.
    deadline: float
    repeatable: bool
    #: Digest of organisation and `Idempotency-Key`; empty if repeatable.
    idempotency_digest: str


def attempt_id(request_id: str, attempts: int) -> str:
    """Returns the id of the attempt that follows `attempts` others."""
    return f'{request_id}.{attempts}' if attempts else request_id


def caller_request_id(request_id: str) -> str:
    """Returns the id that all attempts of one request share."""
    return request_id.partition('.')[0]


def is_bound(request: RoutedRequest) -> bool:
    """Tells whether only the owner of the request's slot may run it.

    A key binds it, and so does a name that its caller gave it.
    """
    return bool(request.key or request.idempotency_digest)
