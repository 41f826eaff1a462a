"""Matches a request to a rule: service, limit, key and repeatability."""

import typing
from collections import abc
from urllib import parse as urls

import result

from bilberryglade._rules import rules
from bilberryglade._values import outcomes, registry


class Route(typing.NamedTuple):
    """What the rules say of a request."""

    service: str
    #: Empty if the service is not divided by key.
    key: str
    #: Whether the route is open to every organisation with a valid API key.
    is_open: bool
    repeatable: bool
    #: Requests a second for the organisation on this rule.
    rate: float
    burst: int
    #: Name of the limit: one bucket for each organisation and limit.
    limit: str


class RequestLine(typing.NamedTuple):
    """The parts of a request that rules look at."""

    method: str
    path: str
    query: str
    headers: tuple[outcomes.Header, ...]


KeyExtractor: typing.TypeAlias = abc.Callable[[str, RequestLine], str | None]

extractors: typing.Final = registry.Registry[KeyExtractor]('key place')


def match(
    book: rules.RuleBook,
    organisation: str,
    line: RequestLine,
) -> result.Result[Route, outcomes.Reason]:
    """Returns the route of a request, or why there is none."""
    service = find_service(book, line.path)
    if service is None:
        return result.Err(outcomes.Reason.no_route)
    key = extract_key(service, line)
    if key is None:
        return result.Err(outcomes.Reason.key_missing)
    repeatable = is_repeatable(book, service.service, line)
    return _limited(book, organisation, line, service.service).map(
        lambda limit: Route(
            service=service.service,
            key=key,
            is_open=limit.is_open,
            repeatable=repeatable,
            rate=limit.rate,
            burst=limit.burst,
            limit=limit.name,
        ),
    )


def find_service(
    book: rules.RuleBook,
    path: str,
) -> rules.ServiceRule | None:
    """Returns the service with the longest prefix of `path`."""
    for service in book.services:
        if _under(path, service.prefix):
            return service
    return None


def extract_key(service: rules.ServiceRule, line: RequestLine) -> str | None:
    """Returns the key of a request, '' if none is due, None if it is missing."""
    return extractors.entries[service.key_place](service.key_name, line)


def is_repeatable(
    book: rules.RuleBook,
    service: str,
    line: RequestLine,
) -> bool:
    """Tells whether a request may run more than once."""
    return not any(
        once.service == service
        and once.method == line.method
        and _under(line.path, once.prefix)
        for once in book.onces
    )


class _Limit(typing.NamedTuple):
    name: str
    rate: float
    burst: int
    is_open: bool


def _limited(
    book: rules.RuleBook,
    organisation: str,
    line: RequestLine,
    service: str,
) -> result.Result[_Limit, outcomes.Reason]:
    for rule in book.opens:
        if rule.service == service and _under(line.path, rule.prefix):
            name = f'open|{service}|{rule.prefix}'
            return result.Ok(_Limit(name, rule.rate, rule.burst, is_open=True))
    for allow in book.allows:
        if allow.service == service and allow.organisation == organisation:
            name = f'allow|{service}'
            return result.Ok(
                _Limit(name, allow.rate, allow.burst, is_open=False),
            )
    return result.Err(outcomes.Reason.not_allowed)


def _under(path: str, prefix: str) -> bool:
    if path == prefix or prefix == '/':
        return True
    return path.startswith(prefix if prefix.endswith('/') else f'{prefix}/')


@extractors.register('none')
def _no_key(name: str, line: RequestLine) -> str | None:
    return ''


@extractors.register('path')
def _path_key(name: str, line: RequestLine) -> str | None:
    segments = line.path.split('/')
    position = int(name)
    if position >= len(segments):
        return None
    return urls.unquote(segments[position]) or None


@extractors.register('header')
def _header_key(name: str, line: RequestLine) -> str | None:
    for header in line.headers:
        if header.name == name:
            return header.text or None
    return None


@extractors.register('query')
def _query_key(name: str, line: RequestLine) -> str | None:
    found = urls.parse_qs(line.query).get(name)
    return found[0] if found else None
