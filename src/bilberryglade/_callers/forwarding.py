"""Which headers pass from callers to targets, and from targets to callers."""

import typing

from bilberryglade._callers import credentials
from bilberryglade._targets import client
from bilberryglade._values import outcomes

#: Written by this router alone; a caller's own copy is dropped.
INTERNAL: typing.Final = frozenset(
    (
        'deadline-ms',
        'grant-fence',
        'grant-slot',
        'organisation',
        'request-id',
        'request-timeout-ms',
        'routing-key',
        'run-state',
    ),
)
#: Would let a request run as another than the rules saw.
OVERRIDES: typing.Final = frozenset(
    (
        'x-http-method',
        'x-http-method-override',
        'x-method-override',
        'x-original-url',
        'x-rewrite-url',
    ),
)
HOP_BY_HOP: typing.Final = frozenset(
    ('expect', 'proxy-authenticate', 'proxy-connection'),
)
DROPPED: typing.Final = INTERNAL | OVERRIDES | HOP_BY_HOP | client.HOP_HEADERS
NO_STORE: typing.Final = outcomes.Header('cache-control', 'no-store')


def to_target(
    headers: tuple[outcomes.Header, ...],
    secret: str,
) -> tuple[outcomes.Header, ...]:
    """Returns the headers of a caller that its target may see."""
    named = _named_by_connection(headers)
    return tuple(
        header
        for header in credentials.without_key(headers, secret)
        if credentials.plain_name(header.name) not in DROPPED
        and header.name not in named
    )


def to_caller(
    headers: tuple[outcomes.Header, ...],
) -> tuple[outcomes.Header, ...]:
    """Returns the headers of a target that the caller may see.

    Answers belong to one organisation, so no cache on the way may keep them
    unless the target itself said how.
    """
    named = _named_by_connection(headers)
    kept = tuple(
        header
        for header in headers
        if credentials.plain_name(header.name) not in DROPPED
        and header.name not in named
    )
    if any(header.name == NO_STORE.name for header in kept):
        return kept
    return (*kept, NO_STORE)


def _named_by_connection(
    headers: tuple[outcomes.Header, ...],
) -> frozenset[str]:
    return frozenset(
        name.strip().lower()
        for header in headers
        if header.name == 'connection'
        for name in header.text.split(',')
    )
