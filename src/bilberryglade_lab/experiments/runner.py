"""Runs an experiment file: every policy, every seed, side by side."""

import pathlib
import statistics
import types
import typing
from collections import abc

import fastjsonschema
import numpy
import result
from rich import progress, table as tables

from bilberryglade._codec import codec
from bilberryglade_lab.experiments import pool
from bilberryglade_schema import experiments, experiments_checks

MILLISECONDS: typing.Final = 1000


Reader: typing.TypeAlias = abc.Callable[[experiments.PolicyFigures], float]

FIGURES: typing.Final = types.MappingProxyType[str, Reader](
    {
        'p50 ms': lambda row: row['p50_ms'],
        'p99 ms': lambda row: row['p99_ms'],
        'p99.9 ms': lambda row: row['p999_ms'],
        'answered': lambda row: row['answered'],
        'falls': lambda row: row['falls'],
        'worst goodput': lambda row: row['worst_goodput'],
        'worst p99 ms': lambda row: row['worst_p99_ms'],
    },
)


class ExperimentError(typing.NamedTuple):
    """An experiment file that is refused."""

    path: str
    problem: str


def read_experiment(
    path: pathlib.Path,
) -> result.Result[experiments.Experiment, ExperimentError]:
    """Reads and checks an experiment file."""
    plain = codec.decode_yaml(path.read_bytes(), dict[str, object])
    if isinstance(plain, result.Err):
        return result.Err(ExperimentError('', plain.err_value.detail))
    try:
        experiments_checks.validate(  # type: ignore[no-untyped-call]
            {'Experiment': plain.ok_value},
        )
    except fastjsonschema.JsonSchemaValueException as error:
        where = '.'.join(str(part) for part in error.path[2:])
        return result.Err(ExperimentError(where, error.message))
    return codec.convert(plain.ok_value, experiments.Experiment).map_err(
        lambda problem: ExperimentError('', problem.detail),
    )


def run_all(
    experiment: experiments.Experiment,
) -> list[experiments.PolicyFigures]:
    """Runs every policy with every seed, showing progress."""
    seeds = range(
        experiment['seed'],
        experiment['seed'] + experiment['repetitions'],
    )
    cases = [
        (policy, seed) for seed in seeds for policy in experiment['policies']
    ]
    return [
        run_one(experiment, policy, seed)
        for policy, seed in progress.track(cases, experiment['name'])
    ]


def run_one(
    experiment: experiments.Experiment,
    policy: experiments.PolicySettings,
    seed: int,
) -> experiments.PolicyFigures:
    """Returns the figures of one policy with one seed."""
    done = pool.Pool(experiment, policy, seed)
    rows = done.run()
    worst = _worst_organisation(experiment, rows)
    return {
        'policy': policy['name'],
        'seed': seed,
        'p50_ms': _quantile_ms(rows, 0.5),
        'p99_ms': _quantile_ms(rows, 0.99),
        'p999_ms': _quantile_ms(rows, 0.999),
        'answered': sum(row.answered for row in rows) / max(len(rows), 1),
        'falls': sum(front.target.falls for front in done.fronts),
        'worst_goodput': worst.goodput,
        'worst_p99_ms': worst.p99_ms,
    }


def table_of(
    experiment: experiments.Experiment,
    figures: abc.Sequence[experiments.PolicyFigures],
) -> tables.Table:
    """Returns median and spread of each figure by policy."""
    table = tables.Table(title=f'{experiment["name"]} (virtual clock)')
    table.add_column('policy')
    for name in FIGURES:
        table.add_column(name, justify='right')
    for policy in experiment['policies']:
        rows = [row for row in figures if row['policy'] == policy['name']]
        cells = [
            _spread([read(row) for row in rows]) for read in FIGURES.values()
        ]
        table.add_row(policy['name'], *cells)
    return table


class _Worst(typing.NamedTuple):
    goodput: float
    p99_ms: float


def _worst_organisation(
    experiment: experiments.Experiment,
    rows: abc.Sequence[pool.Done],
) -> _Worst:
    fared: list[_Worst] = []
    for traffic in experiment['traffic']:
        due = min(traffic['rate'], traffic['entitled']) * experiment['seconds']
        for organisation in traffic['organisations']:
            own = [row for row in rows if row.organisation == organisation]
            goodput = sum(row.answered for row in own) / due
            fared.append(_Worst(goodput, _quantile_ms(own, 0.99)))
    return min(fared)


def _quantile_ms(rows: abc.Sequence[pool.Done], share: float) -> float:
    seconds = [row.seconds for row in rows if row.answered]
    if not seconds:
        return 0
    return float(numpy.quantile(seconds, share) * MILLISECONDS)


def _spread(seen: abc.Sequence[float]) -> str:
    middle = statistics.median(seen)
    return f'{middle:.3f} ({min(seen):.3f}-{max(seen):.3f})'
