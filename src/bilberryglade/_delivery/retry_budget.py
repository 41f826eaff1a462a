"""Retry budgets: retries allowed as a share of the requests, plus a reserve.

A process cannot know what one before it has used up, so its part of the reserve
grows over the window in which retries are counted. In any window the processes of
an instance thus use twice its part at most, however often it is started again.
"""

import typing

from bilberryglade._values import site

#: Share of the allowed retries per request that is used. The rest covers requests
#: that are spread unevenly over the window in which retries are counted.
REQUESTS_SHARE: typing.Final = 0.6
#: Share of the reserve for all instances that one life of each may use.
RESERVE_SHARE: typing.Final = 0.5


class RetryBudget(typing.NamedTuple):
    """Token bucket of the retries of one service by one instance."""

    #: Retries that are allowed now; each takes one token.
    tokens: float = 0
    #: Part of the reserve that has been added since the start, 0 to 1.
    added: float = 0


def capacity(bounds: site.Bounds, instances: int) -> float:
    """Returns the most retries that one of `instances` may accumulate."""
    return bounds.retry_slack * RESERVE_SHARE / max(instances, 1)


def after_request(
    budget: RetryBudget, bounds: site.Bounds, instances: int, age: float
) -> RetryBudget:
    """Returns the budget with the share of a retry that one request adds.

    `age` is the time since the start of the process in seconds; the reserve that
    has become due until then is added too.
    """
    most = capacity(bounds, instances)
    due = min(age / bounds.retry_window, 1)
    tokens = budget.tokens + most * (due - budget.added)
    tokens += bounds.retry_ratio * REQUESTS_SHARE
    return RetryBudget(min(tokens, most), due)


def after_retry(budget: RetryBudget) -> RetryBudget | None:
    """Returns the budget after one retry, or None if none is allowed."""
    if budget.tokens < 1:
        return None
    return budget._replace(tokens=budget.tokens - 1)
