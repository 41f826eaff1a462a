"""Figures over calls: success, latency, the worst-served organisation."""

import typing
from collections import abc

from hdrh import histogram

from bilberryglade_lab import traffic

LOWEST_MICROSECONDS: typing.Final = 1
HIGHEST_MICROSECONDS: typing.Final = 60_000_000
SIGNIFICANT_DIGITS: typing.Final = 3
MICROSECONDS: typing.Final = 1_000_000
MILLISECOND_MICROSECONDS: typing.Final = 1_000
REFUSED_FOR_RATE: typing.Final = 429
ERROR_STATUS: typing.Final = 400


class Figures(typing.NamedTuple):
    """What the brief measures, over one set of calls."""

    calls: int
    #: Share of calls that got a target's answer, from 0 to 1.
    answered: float
    refused_for_rate: int
    not_run: int
    unknown: int
    p50_ms: float
    p99_ms: float
    p999_ms: float


class OrganisationFigures(typing.NamedTuple):
    """How one organisation fared."""

    organisation: str
    figures: Figures


def figures_of(calls: abc.Sequence[traffic.Call]) -> Figures:
    """Returns the figures of `calls`; latencies count answered calls."""
    latencies = histogram.HdrHistogram(
        LOWEST_MICROSECONDS,
        HIGHEST_MICROSECONDS,
        SIGNIFICANT_DIGITS,
    )
    answered = [call for call in calls if is_answered(call)]
    for call in answered:
        latencies.record_value(max(int(call.seconds * MICROSECONDS), 1))
    return Figures(
        calls=len(calls),
        answered=len(answered) / max(len(calls), 1),
        refused_for_rate=_count(
            calls, lambda call: call.status == REFUSED_FOR_RATE
        ),
        not_run=_count(calls, lambda call: call.run_state == 'not-run'),
        unknown=_count(calls, lambda call: call.run_state == 'unknown'),
        p50_ms=_quantile_ms(latencies, 50),
        p99_ms=_quantile_ms(latencies, 99),
        p999_ms=_quantile_ms(latencies, 99.9),
    )


def by_organisation(
    calls: abc.Sequence[traffic.Call],
) -> list[OrganisationFigures]:
    """Returns the figures of each organisation, worst served first."""
    names = sorted({call.organisation for call in calls})
    rows = [
        OrganisationFigures(
            name,
            figures_of([call for call in calls if call.organisation == name]),
        )
        for name in names
    ]
    return sorted(rows, key=lambda row: row.figures.answered)


def is_answered(call: traffic.Call) -> bool:
    """Tells whether a call got a target's good answer."""
    return 0 < call.status < ERROR_STATUS


def longest_gap_seconds(calls: abc.Sequence[traffic.Call]) -> float:
    """Returns the longest time in which no call to a key was answered.

    Only the time from a first failed call of a key to the end of the next
    answered call of that key counts.
    """
    failing_since: dict[str, int] = {}
    longest = 0
    for call in sorted(calls, key=lambda row: row.ended_ns):
        if not is_answered(call):
            failing_since.setdefault(call.key, call.due_ns)
            continue
        began = failing_since.pop(call.key, call.ended_ns)
        longest = max(longest, call.ended_ns - began)
    return longest / traffic.NANOSECONDS


def _count(
    calls: abc.Sequence[traffic.Call],
    matches: abc.Callable[[traffic.Call], bool],
) -> int:
    return sum(1 for call in calls if matches(call))


def _quantile_ms(latencies: typing.Any, percentile: float) -> float:
    microseconds = latencies.get_value_at_percentile(percentile)
    return float(microseconds / MILLISECOND_MICROSECONDS)
