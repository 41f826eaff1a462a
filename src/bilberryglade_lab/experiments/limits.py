"""Measures wrongful refusals and overshoot of admission policies.

`python -m bilberryglade_lab.experiments.limits` runs twelve entries and eight
organisations on a virtual clock. The demand of each organisation moves to
other entries every ten seconds, and one instance is replaced. It prints the
median and the range over the seeds of each policy.
"""

import functools
import random
import statistics
import sys
import typing

from rich import console, table

from bilberryglade._limits import tokens
from bilberryglade_lab.experiments import limits_model, limits_observer

INSTANCES: typing.Final = tuple(f'entry-{number}' for number in range(12))
SEEDS: typing.Final = (1, 2, 3, 4, 5)
POLICIES: typing.Final = ('home', 'static')
START_SECONDS: typing.Final = 3
SECONDS: typing.Final = 40
SHIFT_SECONDS: typing.Final = 10
REPLACED_AT_SECONDS: typing.Final = 25
DETECTION_SECONDS: typing.Final = 1.0
START_UP_SECONDS: typing.Final = 0.5
PERCENT: typing.Final = 100


class Demand(typing.NamedTuple):
    """An organisation's limit and the part of its rate that it sends."""

    organisation: str
    limit: tokens.Limit
    part: float


DEMANDS: typing.Final = (
    Demand('large-0', tokens.Limit(400, 80), 0.9),
    Demand('flood', tokens.Limit(200, 40), 3),
    Demand('large-1', tokens.Limit(100, 20), 0.8),
    Demand('middle-0', tokens.Limit(50, 10), 0.8),
    Demand('middle-1', tokens.Limit(20, 8), 0.8),
    Demand('small-0', tokens.Limit(10, 5), 0.8),
    Demand('small-1', tokens.Limit(5, 5), 0.8),
    Demand('small-2', tokens.Limit(2, 4), 0.5),
)


class Row(typing.NamedTuple):
    """One organisation under one policy over all seeds."""

    policy: str
    demand: Demand
    judged: tuple[limits_observer.Judged, ...]


def quota_of(demand: Demand) -> tokens.QuotaName:
    """Returns the name of the quota of an organisation."""
    return tokens.QuotaName(demand.organisation, 'allow|service')


def run(policy: str, seed: int) -> limits_model.Model:
    """Returns the fleet after the whole traffic."""
    limits = {quota_of(demand): demand.limit for demand in DEMANDS}
    fleet = limits_model.Model(seed, limits, policy)
    for name in INSTANCES:
        fleet.join(name)
    traffic = random.Random(seed)
    for demand in DEMANDS:
        _plan(fleet, traffic, demand)
    lost = traffic.choice(INSTANCES)
    replaced_at = START_SECONDS + REPLACED_AT_SECONDS
    fleet.at(
        replaced_at,
        functools.partial(fleet.lose, lost, DETECTION_SECONDS),
    )
    fleet.at(
        replaced_at + DETECTION_SECONDS + START_UP_SECONDS,
        functools.partial(fleet.join, lost),
    )
    fleet.run(START_SECONDS + SECONDS + 1)
    return fleet


def measure(policy: str) -> list[Row]:
    """Returns a row for each organisation."""
    fleets = [run(policy, seed) for seed in SEEDS]
    return [
        Row(
            policy,
            demand,
            tuple(fleet.judge(quota_of(demand)) for fleet in fleets),
        )
        for demand in DEMANDS
    ]


def main() -> int:
    """Prints the measurement; returns the exit status."""
    shown = table.Table('policy', 'organisation', 'rate', 'burst')
    shown.add_column('offered, part of rate')
    shown.add_column('wrongfully refused, %: median (range)')
    shown.add_column('overshoot, requests: median (range)')
    for policy in POLICIES:
        for row in measure(policy):
            shown.add_row(*_facts(row.demand, policy), *_figures(row))
    console.Console(file=sys.stdout, width=120).print(shown)
    return 0


def _plan(
    fleet: limits_model.Model,
    traffic: random.Random,
    demand: Demand,
) -> None:
    moment: float = START_SECONDS
    end = START_SECONDS + SECONDS
    while moment < end:
        moment += traffic.expovariate(demand.limit.rate * demand.part)
        period = int((moment - START_SECONDS) / SHIFT_SECONDS)
        entry = _entry(traffic, f'{demand.organisation}|{period}')
        fleet.at(
            moment,
            functools.partial(_arrive, fleet, entry, quota_of(demand)),
        )


def _arrive(
    fleet: limits_model.Model,
    entry: str,
    quota: tokens.QuotaName,
) -> None:
    """Sends a request; a balancer knows at once which entry is lost."""
    if not fleet.instances[entry].alive:
        entry = next(name for name in INSTANCES if fleet.instances[name].alive)
    fleet.arrive(entry, quota)


def _entry(traffic: random.Random, subject: str) -> str:
    order = random.Random(subject).sample(INSTANCES, len(INSTANCES))
    weights = [1 / (place + 1) for place in range(len(order))]
    return traffic.choices(order, weights).pop()


def _wrongful(judged: limits_observer.Judged) -> float:
    missing = max(judged.ideal - judged.admitted, 0)
    return PERCENT * missing / max(judged.ideal, 1)


def _facts(demand: Demand, policy: str) -> list[str]:
    limit = demand.limit
    return [
        policy,
        demand.organisation,
        f'{limit.rate:g}',
        str(limit.burst),
        f'{demand.part:g}',
    ]


def _figures(row: Row) -> list[str]:
    wrongful = [_wrongful(judged) for judged in row.judged]
    overshoot = [judged.overshoot for judged in row.judged]
    return [_spread(wrongful), _spread(overshoot)]


def _spread(numbers: list[float]) -> str:
    median = statistics.median(numbers)
    return f'{median:.2f} ({min(numbers):.2f} to {max(numbers):.2f})'


if __name__ == '__main__':
    sys.exit(main())
