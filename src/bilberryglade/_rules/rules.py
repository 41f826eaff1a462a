"""Typed values of the rules file."""

import enum
import typing


class KeyPlace(enum.StrEnum):
    """Where a request carries the key that divides a service."""

    nowhere = 'none'
    path = 'path'
    header = 'header'
    query = 'query'


class Isolation(enum.StrEnum):
    """What happens to the keys of a failure domain that is cut off."""

    keep = 'keep'
    surrender = 'yield'


class ServiceRule(typing.NamedTuple):
    """A service, the path prefix that leads to it, and where its key stands."""

    service: str
    prefix: str
    key_place: KeyPlace
    #: Path segment number from 1, header name or query name; else empty.
    key_name: str
    isolation: Isolation


class AllowRule(typing.NamedTuple):
    """An organisation may reach a service at a rate and a burst."""

    organisation: str
    service: str
    #: Requests a second over all instances together.
    rate: float
    #: Requests that may come at once over all instances together.
    burst: int


class OpenRule(typing.NamedTuple):
    """Every organisation with a valid API key may reach a path prefix."""

    service: str
    prefix: str
    rate: float
    burst: int


class OnceRule(typing.NamedTuple):
    """Requests that must never run twice."""

    service: str
    method: str
    prefix: str


Rule: typing.TypeAlias = ServiceRule | AllowRule | OpenRule | OnceRule


class RuleLine(typing.NamedTuple):
    """A rule with its line number and who asked for it."""

    line: int
    rule: Rule
    asked_by: str


class RuleError(typing.NamedTuple):
    """A line that is refused: where, what was wrong, what is allowed."""

    line: int
    #: Column from 1, or 0 if the whole line is meant.
    column: int
    problem: str
    allowed: str


class RuleBook(typing.NamedTuple):
    """All rules of one revision, indexed for routing."""

    services: tuple[ServiceRule, ...] = ()
    allows: tuple[AllowRule, ...] = ()
    opens: tuple[OpenRule, ...] = ()
    onces: tuple[OnceRule, ...] = ()
