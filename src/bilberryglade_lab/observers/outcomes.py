"""Checks that callers were told the truth and that nothing ran twice."""

from bilberryglade_lab.observers import history, violations
from bilberryglade_schema import platform

IDEMPOTENCY_HEADER = 'idempotency-key'


@history.checkers.register('not_run_is_true')
def check_not_run(seen: history.History) -> list[violations.Violation]:
    """Finds requests that ran although their caller was told `not run`."""
    ran = {entry['request_id']: entry['target'] for entry in history.runs(seen)}
    refused = [
        record.request_id
        for record in seen.callers
        if record.outcome == 'not_run'
    ]
    return [
        violations.Violation('not_run_is_true', f'{name} ran at {ran[name]}')
        for name in refused
        if name in ran
    ]


@history.checkers.register('at_most_once')
def check_at_most_once(seen: history.History) -> list[violations.Violation]:
    """Finds requests that may not be repeated and ran a second time."""
    named = {
        record.request_id: record.idempotency_key for record in seen.callers
    }
    first: dict[tuple[str, str], platform.JournalEntry] = {}
    found: list[violations.Violation] = []
    for entry in history.runs(seen):
        header = entry['headers'].get(IDEMPOTENCY_HEADER, '')
        key = named.get(entry['request_id']) or header
        if not key:
            continue
        before = first.setdefault((entry['organisation'], key), entry)
        if before is entry:
            continue
        detail = (
            f'{key}: {before["request_id"]} at {before["target"]}, then '
            f'{entry["request_id"]} at {entry["target"]}'
        )
        found.append(violations.Violation('at_most_once', detail))
    return found


@history.checkers.register('own_answer')
def check_own_answer(seen: history.History) -> list[violations.Violation]:
    """Finds answers that were made for another request."""
    return [
        violations.Violation(
            'own_answer',
            f'{record.request_id} got that of {record.answered_request_id}',
        )
        for record in seen.callers
        if record.answered_request_id not in {'', record.request_id}
    ]


@history.checkers.register('whole_answer')
def check_whole_answer(seen: history.History) -> list[violations.Violation]:
    """Finds answers that were cut short and passed on as whole."""
    return [
        violations.Violation('whole_answer', f'{record.request_id} was cut')
        for record in seen.callers
        if record.outcome == 'answered' and not record.is_whole
    ]


@history.checkers.register('own_organisation')
def check_own_organisation(
    seen: history.History,
) -> list[violations.Violation]:
    """Finds requests that ran for another organisation than their caller's."""
    callers = {
        record.request_id: record.organisation for record in seen.callers
    }
    return [
        violations.Violation(
            'own_organisation',
            f'{entry["request_id"]} ran for {entry["organisation"]}',
        )
        for entry in history.runs(seen)
        if callers.get(entry['request_id'], entry['organisation'])
        != entry['organisation']
    ]
