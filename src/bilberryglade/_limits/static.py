"""The baseline: rate and burst divided evenly by the number of instances.

A share of the burst is one request at least, or a small burst would admit
nothing; the fleet may then exceed the limit.
"""

import time
import typing

from bilberryglade._limits import policies, tokens
from bilberryglade._values import outcomes

MILLISECONDS: typing.Final = 1000


class Share(typing.NamedTuple):
    """An instance's own bucket of one quota."""

    level: float
    refilled_at: float


class Spent(typing.NamedTuple):
    """The share after a request, and whether a token was there for it."""

    share: Share
    admitted: bool


def spend(
    share: Share | None,
    limit: tokens.Limit,
    instances: int,
    now: float,
) -> Spent:
    """Spends a token of one instance's share; a new share is full."""
    most = max(limit.burst / instances, 1)
    if share is None:
        share = Share(most, now)
    earned = limit.rate / instances * (now - share.refilled_at)
    level = min(share.level + earned, most)
    if level < 1:
        return Spent(Share(level, now), admitted=False)
    return Spent(Share(level - 1, now), admitted=True)


@policies.admission_policies.register('static')
class StaticShares:
    """Admits by the instance's own share, without any message."""

    def __init__(self, fleet: policies.Fleet) -> None:
        """Divides by the members that the instance knows."""
        self.fleet = fleet
        self.shares: dict[tokens.QuotaName, Share] = {}

    async def admit(
        self,
        name: tokens.QuotaName,
        limit: tokens.Limit,
    ) -> outcomes.NotRun | None:
        """Admits while the share lasts."""
        instances = max(len(self.fleet.reader.view.members), 1)
        now = time.monotonic()
        spent = spend(self.shares.get(name), limit, instances, now)
        self.shares[name] = spent.share
        if spent.admitted:
            return None
        retry_after_ms = int(MILLISECONDS * instances / limit.rate)
        return outcomes.NotRun(outcomes.Reason.over_rate, retry_after_ms)
