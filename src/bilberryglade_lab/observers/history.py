"""What observers look at: journals of targets, callers and operators."""

import typing
from collections import abc

from bilberryglade._values import registry
from bilberryglade_lab.observers import violations
from bilberryglade_schema import platform

NANOSECONDS: typing.Final = 1_000_000_000


class CallerRecord(typing.NamedTuple):
    """One request as its caller saw it; times are monotonic seconds."""

    request_id: str
    organisation: str
    #: Key that divides the service; empty if it has none.
    key: str
    sent_at: float
    ended_at: float
    #: `answered`, `not_run` or `unknown`.
    outcome: str
    #: HTTP status, 0 if none came.
    status: int
    #: Empty if the request may be repeated.
    idempotency_key: str
    #: Id of the API key that came with the request.
    api_key_id: str = ''
    #: Request that the answer was made for; empty if the caller cannot tell.
    answered_request_id: str = ''
    #: Whether the body was as long as its target made it.
    is_whole: bool = True


class OperatorAct(typing.NamedTuple):
    """Something withdrawn or taken out, and when it was acknowledged."""

    #: `key_withdrawn`, `failure_domain_out` or `target_leaving`.
    kind: str
    #: API key id, failure domain or target.
    subject: str
    at: float
    #: Monotonic seconds at which it was taken back.
    until: float = float('inf')


class Limit(typing.NamedTuple):
    """Rate and burst of an organisation on a service."""

    organisation: str
    service: str
    #: Requests a second.
    rate: float
    burst: int
    #: Longest time between admission and the start at a target.
    queue_seconds: float = 0


class History(typing.NamedTuple):
    """Everything that was recorded in one run."""

    journal: tuple[platform.JournalEntry, ...] = ()
    callers: tuple[CallerRecord, ...] = ()
    acts: tuple[OperatorAct, ...] = ()
    limits: tuple[Limit, ...] = ()
    #: Failure domain by target.
    failure_domains: abc.Mapping[str, str] = {}
    #: Seconds after an operator's act during which work may still begin.
    grace_seconds: float = 3.0


Checker: typing.TypeAlias = abc.Callable[[History], list[violations.Violation]]

checkers: typing.Final = registry.Registry[Checker]('observer')


def check(history: History) -> list[violations.Violation]:
    """Returns what all registered checkers find."""
    found: list[violations.Violation] = []
    for name in checkers.names():
        found.extend(checkers.entries[name](history))
    return found


def runs(history: History) -> list[platform.JournalEntry]:
    """Returns the entries of requests that a target began, by start."""
    begun = [entry for entry in history.journal if entry['state'] != 'refused']
    return sorted(begun, key=lambda entry: entry['started_ns'])


def started_at(entry: platform.JournalEntry) -> float:
    """Returns the monotonic seconds at which the target began."""
    return entry['started_ns'] / NANOSECONDS


def ended_at(entry: platform.JournalEntry) -> float:
    """Returns the monotonic seconds of the end, infinity while it runs."""
    if entry['state'] == 'running' or not entry['ended_ns']:
        return float('inf')
    return entry['ended_ns'] / NANOSECONDS
