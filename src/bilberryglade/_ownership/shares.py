"""How much load each target should carry, by its speed and the load in all.

While there is little to do, the fast targets do it: work at a slow one takes
longer than a short wait at a fast one. As the load grows, slower ones join, so
that one more request would take about as long at each of them.
"""

import functools
import math
import typing
from collections import abc

#: Part of a target's time that planned load takes at most.
MAX_UTILISATION: typing.Final = 0.95
#: Steps from an idle target to one that is as busy as planned at most.
UTILISATION_STEPS: typing.Final = 95
#: Part of an even share that every target gets, so that its speed is known.
MIN_SHARE_RATIO: typing.Final = 0.08
#: Halvings of the range in which the time at all targets is looked for.
SEARCH_STEPS: typing.Final = 24


class Capacity(typing.NamedTuple):
    """What a target can do."""

    #: Requests that it runs at the same time.
    places: int
    #: Time of a request's work in the mean.
    work_seconds: float

    @property
    def rate(self) -> float:
        """Requests a second that it can finish."""
        return self.places / self.work_seconds


def divide(
    capacities: abc.Sequence[Capacity],
    load: float,
) -> list[float]:
    """Returns the requests a second that each target should carry.

    They add up to `load`, or to all that the targets can finish if that is
    less; a target without any gets a small part to be known by.
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
    """Returns the load at which one more request costs so much time."""
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
    """Returns the part of a target's time that is taken at a step."""
    return step * MAX_UTILISATION / UTILISATION_STEPS


@functools.lru_cache
def _marginal_cost(step: int, places: int) -> float:
    """Returns the time that one more request costs all, in times of work.

    The wait is Sakasegawa's approximation for several places in parallel.
    """
    utilisation = _utilisation(step)
    power = math.sqrt(2 * (places + 1)) - 1
    wait: float = utilisation**power / (places * (1 - utilisation))
    slope = wait * (power + utilisation / (1 - utilisation))
    return 1 + wait + slope
