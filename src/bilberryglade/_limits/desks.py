"""Admission of organisations' requests at one instance, by its shares."""

import math
import typing
from collections import abc

from bilberryglade._limits import shares
from bilberryglade._routing import catalogue
from bilberryglade._values import clock

#: Seconds over which the demand is counted.
DEMAND_SECONDS: typing.Final = 0.6


class Desk(typing.NamedTuple):
    """What an instance knows of one organisation's quota."""

    bucket: shares.Bucket
    #: Rate lent by the coordinator, and the seconds at which that ends.
    lent: float = 0
    lent_until: float = 0
    #: Moving count of requests a second, refused ones included.
    demand: float = 0
    counted_at: float = 0


class Desks:
    """The desks of all organisations."""

    def __init__(self, instances: abc.Callable[[], int]) -> None:
        """`instances` returns how many instances share each quota."""
        self.instances = instances
        self.desks: dict[str, Desk] = {}

    def admit(self, holder: catalogue.Organisation) -> float | None:
        """Takes a token; returns None, or the seconds until there is one."""
        if not holder.rate:
            return None
        now = clock.now()
        quota = shares.Quota(holder.rate, holder.burst)
        desk = _counted(self._desk(holder.name, quota, now), now)
        rate = self._rate(desk, quota, now)
        taken = shares.take(desk.bucket, quota, rate, now)
        self.desks[holder.name] = desk._replace(bucket=taken.bucket)
        return None if taken.is_admitted else taken.retry_seconds

    def give_back(self, organisation: str) -> None:
        """Returns the token of a request that reached no target."""
        desk = self.desks.get(organisation)
        if desk is not None:
            self.desks[organisation] = desk._replace(
                bucket=shares.give_back(desk.bucket)
            )

    def lend(self, lent: abc.Mapping[str, float], asked_at: float) -> None:
        """Takes in the coordinator's answer to what was asked then."""
        until = asked_at + shares.SHARE_SECONDS
        for name, rate in lent.items():
            desk = self.desks.get(name)
            if desk is not None:
                self.desks[name] = desk._replace(lent=rate, lent_until=until)

    def demands(self) -> dict[str, float]:
        """Returns the requests a second of each organisation."""
        now = clock.now()
        return {
            name: round(_faded(desk, now), 2)
            for name, desk in self.desks.items()
            if _faded(desk, now) > LEAST_DEMAND
        }

    def _desk(self, name: str, quota: shares.Quota, now: float) -> Desk:
        known = self.desks.get(name)
        if known is not None:
            return known
        floor = shares.floor_of(quota, self.instances())
        return Desk(shares.Bucket(shares.room_of(quota, floor), now))

    def _rate(self, desk: Desk, quota: shares.Quota, now: float) -> float:
        floor = shares.floor_of(quota, self.instances())
        if desk.lent_until <= now:
            return floor
        # A quota that was lowered binds at once, whatever was lent before.
        return min(max(desk.lent, floor), quota.rate)


#: Requests a second below which a demand is not worth a report.
LEAST_DEMAND: typing.Final = 0.05


def _counted(desk: Desk, now: float) -> Desk:
    demand = _faded(desk, now) + 1 / DEMAND_SECONDS
    return desk._replace(demand=demand, counted_at=now)


def _faded(desk: Desk, now: float) -> float:
    elapsed = max(now - desk.counted_at, 0)
    return desk.demand * math.exp(-elapsed / DEMAND_SECONDS)
