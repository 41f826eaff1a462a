"""How an organisation's quota is divided: a part for good, a pool for need.

Every instance has an even part of the rate for good, so that it serves
without the coordinator. The rest is a pool at the coordinator, from which
tokens go to the instance that needs them. Tokens are subtracted before they
are given; what is given and not spent is lost.
"""

import typing

#: Part of a rate and of a burst that is divided evenly over the instances.
EVEN_PART: typing.Final = 0.45
#: Tokens that an instance can always save up.
LEAST_ROOM: typing.Final = 1.0


class Quota(typing.NamedTuple):
    """An organisation's limit over all instances."""

    #: Requests a second.
    rate: float
    burst: float


class Bucket(typing.NamedTuple):
    """Tokens that may be spent, each on one request."""

    level: float
    #: Seconds at which it was filled last.
    filled_at: float


class Flow(typing.NamedTuple):
    """How fast a bucket fills, and how far."""

    rate: float
    room: float


class Taken(typing.NamedTuple):
    """The bucket after an ask for tokens."""

    bucket: Bucket
    amount: int
    #: Seconds until a token is there, if none was.
    retry_seconds: float = 0


def even_flow(quota: Quota, instances: int) -> Flow:
    """Returns what fills the part of one instance."""
    share = EVEN_PART / max(instances, 1)
    return Flow(quota.rate * share, max(quota.burst * share, LEAST_ROOM))


def pool_flow(quota: Quota) -> Flow:
    """Returns what fills the pool at the coordinator."""
    share = 1 - EVEN_PART
    return Flow(quota.rate * share, max(quota.burst * share, LEAST_ROOM))


def take(
    bucket: Bucket,
    flow: Flow,
    needed: int,
    extra: int,
    now: float,
) -> Taken:
    """Fills the bucket up to `now` and takes what is needed.

    Tokens ahead of need are given from the upper half of the bucket alone,
    so that nobody's reserve starves another's need.
    """
    elapsed = max(now - bucket.filled_at, 0)
    level = min(bucket.level + elapsed * flow.rate, flow.room)
    amount = min(needed, int(level))
    spare = int(level - amount - flow.room / 2)
    if amount == needed:
        amount += max(min(extra, spare), 0)
    retry_seconds: float = 0
    if not amount:
        retry_seconds = (1 - level) / flow.rate if flow.rate else 1.0
    return Taken(Bucket(level - amount, now), amount, retry_seconds)


def give_back(bucket: Bucket) -> Bucket:
    """Returns a token whose request reached no target."""
    return bucket._replace(level=bucket.level + 1)
