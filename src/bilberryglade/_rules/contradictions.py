"""Registered checks for rules that contradict each other or themselves."""

import typing
from collections import abc

from bilberryglade._rules import rules
from bilberryglade._values import registry

#: Headers that carry API keys; targets never see them.
CREDENTIAL_HEADERS: typing.Final = frozenset(
    ('authorization', 'proxy-authorization', 'x-api-key'),
)

Lines: typing.TypeAlias = abc.Sequence[rules.RuleLine]
Errors: typing.TypeAlias = abc.Iterator[rules.RuleError]
Check: typing.TypeAlias = abc.Callable[[Lines], Errors]

contradictions: typing.Final = registry.Registry[Check]('rules contradiction')


def find(lines: Lines) -> list[rules.RuleError]:
    """Returns what every registered check finds."""
    return [
        error
        for check in contradictions.entries.values()
        for error in check(lines)
    ]


@contradictions.register('repeated')
def find_repeated(lines: Lines) -> Errors:
    """Each subject has one rule."""
    seen: dict[tuple[str, ...], int] = {}
    for line in lines:
        first = seen.setdefault(_subject(line.rule), line.line)
        if first != line.line:
            yield _error(line, f'repeats line {first}', 'one rule each')


@contradictions.register('unknown_service')
def find_unknown_service(lines: Lines) -> Errors:
    """Each rule names a service that has a service rule."""
    known = _services(lines)
    for line in lines:
        name = line.rule.service
        if name not in known:
            allowed = ', '.join(sorted(known)) or 'none is declared'
            problem = f'service {name!r} has no service rule'
            yield _error(line, problem, allowed)


@contradictions.register('shared_prefix')
def find_shared_prefix(lines: Lines) -> Errors:
    """A path leads to one service."""
    seen: dict[str, str] = {}
    for line in lines:
        if not isinstance(line.rule, rules.ServiceRule):
            continue
        prefix = _trimmed(line.rule.prefix)
        first = seen.setdefault(prefix, line.rule.service)
        if first != line.rule.service:
            problem = f'path {line.rule.prefix} leads to {first!r} already'
            yield _error(line, problem, 'a path of its own for each service')


@contradictions.register('outside_prefix')
def find_outside_prefix(lines: Lines) -> Errors:
    """Paths of `open` and `once` rules are under their service's path."""
    known = _services(lines)
    for line in lines:
        if not isinstance(line.rule, (rules.OpenRule, rules.OnceRule)):
            continue
        service = known.get(line.rule.service)
        if service is None or _is_under(line.rule.prefix, service.prefix):
            continue
        problem = f'path {line.rule.prefix} is outside {service.prefix}'
        yield _error(line, problem, f'{service.prefix} and paths under it')


@contradictions.register('empty_limit')
def find_empty_limit(lines: Lines) -> Errors:
    """A limit lets something through."""
    for line in lines:
        if not isinstance(line.rule, (rules.AllowRule, rules.OpenRule)):
            continue
        if line.rule.rate <= 0:
            problem = 'rate 0 lets nothing through'
            yield _error(line, problem, 'a rate above 0; no rule refuses all')
        if line.rule.burst < 1:
            problem = f'burst {line.rule.burst} lets nothing through'
            yield _error(line, problem, 'a burst of at least 1')


@contradictions.register('key_place')
def find_wrong_key_place(lines: Lines) -> Errors:
    """A key stands where a request can have it and a target may see it."""
    for line in lines:
        if not isinstance(line.rule, rules.ServiceRule):
            continue
        place = (line.rule.key_place, line.rule.key_name)
        if place == (rules.KeyPlace.path, '0'):
            yield _error(line, 'path 0 is no segment', 'segments from 1 on')
        if place[0] is not rules.KeyPlace.header:
            continue
        if place[1] in CREDENTIAL_HEADERS:
            problem = f'header {place[1]} carries API keys'
            yield _error(line, problem, 'any other header')


def _error(line: rules.RuleLine, problem: str, allowed: str) -> rules.RuleError:
    return rules.RuleError(line.line, 0, problem, allowed)


def _services(lines: Lines) -> dict[str, rules.ServiceRule]:
    return {
        line.rule.service: line.rule
        for line in lines
        if isinstance(line.rule, rules.ServiceRule)
    }


def _is_under(path: str, prefix: str) -> bool:
    trimmed = _trimmed(prefix)
    return path == prefix or f'{path}/'.startswith(f'{trimmed}/')


def _trimmed(prefix: str) -> str:
    return prefix.rstrip('/')


def _subject(rule: rules.Rule) -> tuple[str, ...]:
    kind = type(rule).__name__
    if isinstance(rule, rules.ServiceRule):
        return kind, rule.service
    if isinstance(rule, rules.AllowRule):
        return kind, rule.organisation, rule.service
    if isinstance(rule, rules.OpenRule):
        return kind, rule.service, rule.prefix
    return kind, rule.service, rule.method, rule.prefix
