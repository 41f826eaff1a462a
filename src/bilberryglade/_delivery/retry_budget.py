"""The budget of second sends: a part of the requests, and a small number."""

import typing

from bilberryglade._values import site

#: Part of the fleet's budget that is used; the rest covers uneven windows.
USED_SHARE: typing.Final = 0.6


class RetryBudget(typing.NamedTuple):
    """Second sends that one instance may make to a service."""

    tokens: float


def full_budget(bounds: site.Bounds, instances: int) -> RetryBudget:
    """Returns the budget of a service that had no request yet."""
    return RetryBudget(capacity(bounds, instances))


def capacity(bounds: site.Bounds, instances: int) -> float:
    """Returns the second sends that may be saved up."""
    return bounds.retry_slack * USED_SHARE / max(instances, 1)


def after_request(
    budget: RetryBudget, bounds: site.Bounds, instances: int
) -> RetryBudget:
    """Adds what one more request allows."""
    tokens = budget.tokens + bounds.retry_ratio * USED_SHARE
    return RetryBudget(min(tokens, capacity(bounds, instances)))


def after_retry(budget: RetryBudget) -> RetryBudget | None:
    """Takes one second send, or returns None if there is none left."""
    if budget.tokens < 1:
        return None
    return RetryBudget(budget.tokens - 1)
