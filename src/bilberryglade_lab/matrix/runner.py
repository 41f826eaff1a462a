"""Runs rows of the matrix with many seeds."""

import random
import typing

from bilberryglade_lab.matrix import rows
from bilberryglade_lab.observers import violations

SEED_RANGE: typing.Final = 2**32


class Failure(typing.NamedTuple):
    """A case in which an observer found something."""

    row: str
    seed: int
    violations: tuple[violations.Violation, ...]


class Report(typing.NamedTuple):
    """What a run of the matrix did and found."""

    rows: int
    cases: int
    #: Rows with two faults or more that strike together.
    pairs: int
    failures: tuple[Failure, ...]


def run(seed: int, cases: int, only: str = '') -> Report:
    """Runs `cases` seeds drawn from `seed` of each row named like `only`."""
    names = [name for name in rows.rows.names() if only in name]
    failures: list[Failure] = []
    for name in names:
        failures.extend(_run_row(name, seed, cases))
    return Report(
        rows=len(names),
        cases=len(names) * cases,
        pairs=_count_pairs(names),
        failures=tuple(failures),
    )


def _count_pairs(names: list[str]) -> int:
    return sum(len(rows.rows.entries[name].faults) > 1 for name in names)


def _run_row(name: str, seed: int, cases: int) -> list[Failure]:
    draw = random.Random(f'{seed}|{name}')
    failures: list[Failure] = []
    for _ in range(cases):
        case_seed = draw.randrange(SEED_RANGE)
        found = rows.rows.entries[name].case(case_seed)
        if found:
            failures.append(Failure(name, case_seed, tuple(found)))
    return failures
