"""Rows of the matrix: cases that bring about faults at a step.

`row` registers a case that takes a seed alone. `sweep` registers a case that
is also told which faults strike; it is run with each of them alone and with
each pair of them together.
"""

import itertools
import typing
from collections import abc

from bilberryglade._values import registry
from bilberryglade_lab.observers import violations

Case: typing.TypeAlias = abc.Callable[[int], list[violations.Violation]]
SweptCase: typing.TypeAlias = abc.Callable[
    [int, frozenset[str]],
    list[violations.Violation],
]


class Row(typing.NamedTuple):
    """A case that proves how a step bears some faults."""

    step: str
    #: Faults that the case brings about; several strike together.
    faults: tuple[str, ...]
    case: Case


class Exclusion(typing.NamedTuple):
    """A fault that cannot make a difference at a step."""

    step: str
    fault: str
    reason: str


rows: typing.Final = registry.Registry[Row]('matrix row')
exclusions: typing.Final = registry.Registry[Exclusion]('matrix exclusion')


def row(step: str, *faults: str) -> abc.Callable[[Case], Case]:
    """Returns a decorator that registers a case for `faults` at `step`.

    The case brings about each of `faults`, alone or together as its seed
    says, and returns what the observers found; none is a pass.
    """

    def decorator(case: Case) -> Case:  # noqa: WPS430
        struck = '+'.join(faults)
        name = f'{step} x {struck} by {case.__qualname__}'
        rows.register(name)(Row(step, faults, case))
        return case

    return decorator


def sweep(step: str, *faults: str) -> abc.Callable[[SweptCase], SweptCase]:
    """Returns a decorator that registers each fault and each pair of them."""

    def decorator(case: SweptCase) -> SweptCase:  # noqa: WPS430
        for struck in _singles_and_pairs(faults):
            row(step, *struck)(_bound(case, frozenset(struck)))
        return case

    return decorator


def not_applicable(step: str, fault: str, reason: str) -> None:
    """States why `fault` cannot make a difference at `step`."""
    exclusion = Exclusion(step, fault, reason)
    exclusions.register(f'{step} x {fault}')(exclusion)


def _singles_and_pairs(faults: tuple[str, ...]) -> list[tuple[str, ...]]:
    singles = [(fault,) for fault in faults]
    return [*singles, *itertools.combinations(faults, 2)]


def _bound(case: SweptCase, struck: frozenset[str]) -> Case:
    def bound_case(seed: int) -> list[violations.Violation]:  # noqa: WPS430
        return case(seed, struck)

    bound_case.__qualname__ = case.__qualname__
    return bound_case
