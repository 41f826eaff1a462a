"""Divides the total load over targets by their speed.

At low load the fast targets get it all, as work at a slow target takes longer
than a short wait at a fast one. As the load grows, slower targets get some, so
that one more request would cost about the same time at each of them.
"""

import functools
import math
import typing
from collections import abc

#: Maximum utilisation of a target by planned load.
MAX_UTILISATION: typing.Final = 0.95
#: Steps from an idle target to one at `MAX_UTILISATION`.
UTILISATION_STEPS: typing.Final = 95
#: Part of an even share of the load that every target gets at least: without
#: requests its speed could not be measured.
MIN_SHARE_RATIO: typing.Final = 0.08
#: Steps of the bisection that finds the common cost of one more request.
SEARCH_STEPS: typing.Final = 24


class Capacity(typing.NamedTuple):
    """Concurrency and speed of a target."""

    #: Maximum number of requests that the target runs at the same time.
    places: int
    #: Mean time of the work on a request, in seconds.
    work_seconds: float

    @property
    def rate(self) -> float:
        """Requests a second that the target can finish."""
        return self.places / self.work_seconds


def divide(
    capacities: abc.Sequence[Capacity],
    load: float,
) -> list[float]:
    """Returns the requests a second that each target should carry.

    They add up to `load`, or slightly more: a target that would get none gets a
    small part, by which its speed is measured. A `load` close to the capacity
    of all targets, or above it, is divided in proportion to their capacities.
    """
    if not capacities:
        return []
    total_rate = sum(capacity.rate for capacity in capacities)
    if load >= total_rate * MAX_UTILISATION:
        return [load * capacity.rate / total_rate for capacity in capacities]
    low = min(capacity.work_seconds for capacity in capacities)
    high = max(
        capacity.work_seconds
        * _marginal_cost(UTILISATION_STEPS, capacity.places)
        for capacity in capacities
    )
    for _ in range(SEARCH_STEPS):
        marginal_seconds = (low + high) / 2
        if (
            sum(
                _load_at_cost(capacity, marginal_seconds)
                for capacity in capacities
            )
            < load
        ):
            low = marginal_seconds
        else:
            high = marginal_seconds
    min_share = load / len(capacities) * MIN_SHARE_RATIO
    return [
        max(_load_at_cost(capacity, high), min_share) for capacity in capacities
    ]


def _load_at_cost(capacity: Capacity, marginal_seconds: float) -> float:
    """Returns the load at which one more request costs `marginal_seconds`."""
    low = 0
    high = UTILISATION_STEPS
    while low < high:
        step = (low + high + 1) // 2
        cost = capacity.work_seconds * _marginal_cost(step, capacity.places)
        if cost <= marginal_seconds:
            low = step
        else:
            high = step - 1
    return capacity.rate * _utilisation(low)


def _utilisation(step: int) -> float:
    """Returns the utilisation of a target at a step of `UTILISATION_STEPS`."""
    return step * MAX_UTILISATION / UTILISATION_STEPS


@functools.lru_cache
def _marginal_cost(step: int, places: int) -> float:
    """Returns the time by which one more request delays all, its own included.

    The unit is the mean time of work on a request. The wait is Sakasegawa's
    approximation for a queue with `places` servers in parallel.
    """
    utilisation = _utilisation(step)
    power = math.sqrt(2 * (places + 1)) - 1
    wait: float = utilisation**power / (places * (1 - utilisation))
    slope = wait * (power + utilisation / (1 - utilisation))
    return 1 + wait + slope
