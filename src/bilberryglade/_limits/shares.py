"""Shares of an organisation's rate: one coordinator divides, entries spend.

Half of each rate is divided evenly over all known instances for good, so
that an instance without a coordinator still serves. The other half is lent
where the demand is, for a short time.
"""

import typing
from collections import abc

#: Part of a rate that instances keep without a coordinator.
FLOOR_PART: typing.Final = 0.5
#: Part of the burst that instances may save up together.
BURST_PART: typing.Final = 0.6
#: Part of the rate that is given out, for the time that messages take.
RATE_PART: typing.Final = 0.97
#: Seconds for which a share holds after it was asked for.
SHARE_SECONDS: typing.Final = 1.2


class Quota(typing.NamedTuple):
    """An organisation's limit over all instances."""

    #: Requests a second.
    rate: float
    burst: float


class Bucket(typing.NamedTuple):
    """The tokens of one organisation at one instance."""

    level: float
    #: Monotonic seconds.
    filled_at: float


class Loan(typing.NamedTuple):
    """A rate that was lent to an instance."""

    rate: float
    #: Seconds by the coordinator's clock.
    until: float


class Taken(typing.NamedTuple):
    """The bucket after an ask for a token."""

    bucket: Bucket
    is_admitted: bool
    #: Seconds until a token is there, if none was.
    retry_seconds: float = 0


def floor_of(quota: Quota, instances: int) -> float:
    """Returns the rate that an instance has without a coordinator."""
    return quota.rate * RATE_PART * FLOOR_PART / max(instances, 1)


def room_of(quota: Quota, rate: float) -> float:
    """Returns how many tokens an instance with a share of `rate` saves."""
    return max(quota.burst * BURST_PART * rate / quota.rate, 1.0)


def take(bucket: Bucket, quota: Quota, rate: float, now: float) -> Taken:
    """Fills the bucket at `rate` up to `now` and takes a token."""
    elapsed = max(now - bucket.filled_at, 0)
    level = min(bucket.level + elapsed * rate, room_of(quota, rate))
    if level < 1:
        wait = (1 - level) / rate if rate else 1.0
        return Taken(Bucket(level, now), is_admitted=False, retry_seconds=wait)
    return Taken(Bucket(level - 1, now), is_admitted=True)


def give_back(bucket: Bucket) -> Bucket:
    """Returns a token whose request reached no target."""
    return bucket._replace(level=bucket.level + 1)


def free_of(
    quota: Quota,
    instances: int,
    lent: abc.Sequence[float],
) -> float:
    """Returns the rate left for one instance beside what others hold.

    Instances without a loan still have their floor.
    """
    floor = floor_of(quota, instances)
    held = sum(max(rate, floor) for rate in lent)
    resting = max(instances - len(lent) - 1, 0) * floor
    return quota.rate * RATE_PART - held - resting


def divide(
    quota: Quota,
    instances: int,
    demands: abc.Mapping[str, float],
) -> dict[str, float]:
    """Returns the rate of each instance that named a demand.

    Every instance has its floor. The rest goes to those that ask for more,
    the smallest wish first; what is left over is spread evenly.
    """
    floor = floor_of(quota, instances)
    rest = quota.rate * RATE_PART - floor * max(instances, len(demands))
    wishes = {
        name: max(demand - floor, 0.0) for name, demand in demands.items()
    }
    shares: dict[str, float] = {}
    left = len(wishes)
    for name in sorted(wishes, key=lambda wisher: wishes[wisher]):
        lent = max(min(wishes[name], rest / left), 0.0)
        shares[name] = floor + lent
        rest -= lent
        left -= 1
    if not shares or rest <= 0:
        return shares
    extra = rest / max(instances, len(shares))
    return {name: share + extra for name, share in shares.items()}
