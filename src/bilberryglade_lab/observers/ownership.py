"""Checks that a key has one owner at any moment."""

from bilberryglade_lab.observers import history, violations
from bilberryglade_schema import platform


@history.checkers.register('one_owner')
def check_one_owner(
    seen: history.History,
) -> list[violations.Violation]:
    """Finds runs of one key at two targets that overlap in time."""
    latest: dict[tuple[str, str], platform.JournalEntry] = {}
    found: list[violations.Violation] = []
    for entry in history.runs(seen):
        if not entry['key']:
            continue
        subject = (entry['service'], entry['key'])
        other = latest.get(subject)
        if other is None:
            latest[subject] = entry
            continue
        overlaps = history.ended_at(other) > history.started_at(entry)
        if overlaps and other['target'] != entry['target']:
            found.append(_overlap(other, entry))
        if history.ended_at(entry) > history.ended_at(other):
            latest[subject] = entry
    return found


@history.checkers.register('fences_rise')
def check_fences_rise(
    seen: history.History,
) -> list[violations.Violation]:
    """Finds runs that began under an older grant than an earlier run had."""
    highest: dict[tuple[str, int], int] = {}
    found: list[violations.Violation] = []
    for entry in history.runs(seen):
        subject = (entry['service'], entry['slot'])
        fence = highest.get(subject, 0)
        if entry['key'] and entry['fence'] < fence:
            detail = (
                f'{entry["request_id"]} ran at {entry["target"]} under fence '
                f'{entry["fence"]} after fence {fence}'
            )
            found.append(violations.Violation('fences_rise', detail))
        highest[subject] = max(fence, entry['fence'])
    return found


def _overlap(
    first: platform.JournalEntry,
    second: platform.JournalEntry,
) -> violations.Violation:
    detail = (
        f'{first["key"]}: {first["request_id"]} at {first["target"]} and '
        f'{second["request_id"]} at {second["target"]} together'
    )
    return violations.Violation('one_owner', detail)
