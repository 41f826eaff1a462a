"""Checks that no organisation got more than its rate and burst."""

import typing

from bilberryglade_lab.observers import history, violations

#: Share of a request by which rounding of times may be off.
TOLERANCE: typing.Final = 1e-6


@history.checkers.register('within_rate')
def check_within_rate(seen: history.History) -> list[violations.Violation]:
    """Finds windows of any length with more runs than rate and burst allow.

    A bucket of `burst` that leaks at `rate` overflows exactly when some
    window holds more than `burst + rate * length` runs. Runs are counted
    where targets began them, so the time in queues widens the window.
    """
    found: list[violations.Violation] = []
    for limit in seen.limits:
        found.extend(_over_limit(limit, _starts(seen, limit)))
    return found


def _starts(seen: history.History, limit: history.Limit) -> list[float]:
    first: dict[str, float] = {}
    for entry in history.runs(seen):
        if entry['organisation'] != limit.organisation:
            continue
        if entry['service'] == limit.service:
            first.setdefault(entry['request_id'], history.started_at(entry))
    return sorted(first.values())


def _over_limit(
    limit: history.Limit,
    starts: list[float],
) -> list[violations.Violation]:
    most = limit.burst + limit.rate * limit.queue_seconds + TOLERANCE
    level = float(0)
    before = starts[0] if starts else level
    for start in starts:
        level = max(level - limit.rate * (start - before), 0) + 1
        before = start
        if level > most:
            detail = (
                f'{limit.organisation} at {limit.service}: {level:.2f} runs '
                f'above the rate at {start:.3f}, burst {limit.burst}'
            )
            return [violations.Violation('within_rate', detail)]
    return []
