"""The budget of second sends: a part of the requests, and a small number."""

import typing

from bilberryglade._values import site

#: Part of the fleet's budget that is used; the rest covers uneven windows.
USED_PART: typing.Final = 0.6


class Budget(typing.NamedTuple):
    """Second sends that one instance may make to a service."""

    level: float


def start(bounds: site.Bounds, instances: int) -> Budget:
    """Returns the budget of a service that had no request yet."""
    return Budget(room_of(bounds, instances))


def room_of(bounds: site.Bounds, instances: int) -> float:
    """Returns the second sends that may be saved up."""
    return bounds.retry_slack * USED_PART / max(instances, 1)


def counted(budget: Budget, bounds: site.Bounds, instances: int) -> Budget:
    """Adds what one more request allows."""
    level = budget.level + bounds.retry_ratio * USED_PART
    return Budget(min(level, room_of(bounds, instances)))


def spent(budget: Budget) -> Budget | None:
    """Takes one second send, or returns None if there is none left."""
    if budget.level < 1:
        return None
    return Budget(budget.level - 1)
