"""Checks that nothing new begins for what operators have withdrawn."""

import typing
from collections import abc

from bilberryglade_lab.observers import history, violations
from bilberryglade_schema import platform

Subject: typing.TypeAlias = abc.Callable[[platform.JournalEntry], str]


@history.checkers.register('withdrawn_key')
def check_withdrawn_key(seen: history.History) -> list[violations.Violation]:
    """Finds work that began for an API key after its withdrawal."""
    used = {record.request_id: record.api_key_id for record in seen.callers}
    return _late(
        seen,
        'key_withdrawn',
        'withdrawn_key',
        lambda entry: used.get(entry['request_id'], ''),
    )


@history.checkers.register('failure_domain_out')
def check_failure_domain_out(
    seen: history.History,
) -> list[violations.Violation]:
    """Finds work that began in a failure domain that was taken out."""
    return _late(
        seen,
        'failure_domain_out',
        'failure_domain_out',
        lambda entry: seen.failure_domains.get(entry['target'], ''),
    )


@history.checkers.register('leaving_target')
def check_leaving_target(seen: history.History) -> list[violations.Violation]:
    """Finds work that began at a target after it began to leave."""
    return _late(
        seen,
        'target_leaving',
        'leaving_target',
        lambda entry: entry['target'],
    )


def _late(
    seen: history.History,
    kind: str,
    promise: str,
    subject: Subject,
) -> list[violations.Violation]:
    return [
        _violation(promise, act, entry)
        for act in seen.acts
        if act.kind == kind
        for entry in history.runs(seen)
        if subject(entry) == act.subject and _is_late(seen, act, entry)
    ]


def _is_late(
    seen: history.History,
    act: history.OperatorAct,
    entry: platform.JournalEntry,
) -> bool:
    started = history.started_at(entry)
    return act.at + seen.grace_seconds < started < act.until


def _violation(
    promise: str,
    act: history.OperatorAct,
    entry: platform.JournalEntry,
) -> violations.Violation:
    late = history.started_at(entry) - act.at
    detail = (
        f'{entry["request_id"]} began at {entry["target"]} '
        f'{late:.3f} s after {act.kind} of {act.subject}'
    )
    return violations.Violation(promise, detail)
