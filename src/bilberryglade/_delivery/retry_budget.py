"""Retry budgets: retries allowed as a share of the requests, plus a reserve."""

import typing

from bilberryglade._values import site

#: Share of the budget for all instances that is used. The rest covers requests
#: that are spread unevenly over the window in which retries are counted.
USED_SHARE: typing.Final = 0.6


class RetryBudget(typing.NamedTuple):
    """Token bucket of the retries of one service by one instance."""

    #: Retries that are allowed now; each takes one token.
    tokens: float


def full_budget(bounds: site.Bounds, instances: int) -> RetryBudget:
    """Returns the budget of a service that has had no request yet: full."""
    return RetryBudget(capacity(bounds, instances))


def capacity(bounds: site.Bounds, instances: int) -> float:
    """Returns the most retries that one of `instances` may accumulate."""
    return bounds.retry_slack * USED_SHARE / max(instances, 1)


def after_request(
    budget: RetryBudget, bounds: site.Bounds, instances: int
) -> RetryBudget:
    """Returns the budget with the share of a retry that one request adds."""
    tokens = budget.tokens + bounds.retry_ratio * USED_SHARE
    return RetryBudget(min(tokens, capacity(bounds, instances)))


def after_retry(budget: RetryBudget) -> RetryBudget | None:
    """Returns the budget after one retry, or None if none is allowed."""
    if budget.tokens < 1:
        return None
    return RetryBudget(budget.tokens - 1)
