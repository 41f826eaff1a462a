"""How an organisation's quota is divided: even parts for good, a pool for need.

The instances that hold an even part of the rate have it for good (`division`).
The rest is a pool at the coordinator, from which tokens go to the instance that
needs them. Tokens are subtracted before they are given; what is given and not
spent is lost. What a process before it had spent is not known, so a pool begins
empty, and an own part with what flowed to nobody while no process of it ran.

A holder that hears of no coordinator takes its share of the pool for itself. The
pool is short of the shares of all holders that have not said lately that they
hear of the coordinator, so that no token is given twice.
"""

import typing

#: Part of a rate and of a burst that is divided evenly over its holders.
EVEN_PART: typing.Final = 0.45
#: Seconds after an instance's last word that it hears of the coordinator from
#: which its part of the pool is kept back: by then it still takes itself for
#: led, also if the sign of life before the last one was the last that it heard.
COVERED_SECONDS: typing.Final = 0.85
#: Least time, in seconds, from the end of a process to the start of the next one.
RESTART_SECONDS: typing.Final = 0.45
#: Tokens that a holder and the pool can always save up: a failure domain has one
#: holder at least.
LEAST_ROOM: typing.Final = 1.0
#: Tokens that a request which is late already leaves to those in time.
LATE_RESERVE: typing.Final = 1.0


class Quota(typing.NamedTuple):
    """An organisation's limit over all instances."""

    #: Requests a second.
    rate: float
    burst: float


class Flow(typing.NamedTuple):
    """How fast a bucket fills, and how far."""

    rate: float
    room: float


class Bucket(typing.NamedTuple):
    """Tokens that may be spent, each on one request."""

    level: float
    #: Seconds at which it was filled last.
    filled_at: float
    #: What filled it until then; None if it has not been filled yet.
    flow: Flow | None = None


class Taken(typing.NamedTuple):
    """The bucket after an ask for tokens."""

    bucket: Bucket
    amount: int
    #: Seconds until a token is there, if none was.
    retry_seconds: float = 0


def even_flow(quota: Quota, share: float, *, is_led: bool) -> Flow:
    """Returns what fills the bucket of a holder of this share.

    `is_led` tells whether it hears of a coordinator, which has the pool.
    """
    if not share:
        return Flow(0, 0)
    part = EVEN_PART * share if is_led else share
    return Flow(quota.rate * part, max(quota.burst * part, LEAST_ROOM))


def first_bucket(quota: Quota, share: float, started_at: float) -> Bucket:
    """Returns the own part of a process that started at `started_at`."""
    return Bucket(quota.rate * share * RESTART_SECONDS, started_at)


def pool_flow(quota: Quota, covered: float) -> Flow:
    """Returns what fills the pool at the coordinator.

    `covered` are the shares of the holders that hear of it.
    """
    share = (1 - EVEN_PART) * covered
    return Flow(quota.rate * share, max(quota.burst * share, LEAST_ROOM))


#: Bound on what a caller is told to wait: the least rates would tell for ever.
LONGEST_RETRY_SECONDS: typing.Final = 3600.0


class Need(typing.NamedTuple):
    """What an ask for tokens is for."""

    tokens: int = 1
    #: Tokens ahead of need that may come with them.
    extra: int = 0
    #: Whether the answer will be late in any case.
    is_late: bool = False


def take(bucket: Bucket, flow: Flow, need: Need, now: float) -> Taken:
    """Fills the bucket up to `now` and takes what is needed.

    Tokens ahead of need are given from the upper half of the bucket alone,
    so that nobody's reserve starves another's need. While tokens are scarce,
    requests that are late already leave them to those that are not.
    """
    level = _filled(bucket, flow, now)
    reserve = max(min(LATE_RESERVE, flow.room - 1), 0) if need.is_late else 0
    amount = min(need.tokens, max(int(level - reserve), 0))
    spare = int(level - amount - flow.room / 2)
    if amount == need.tokens:
        amount += max(min(need.extra, spare), 0)
    retry_seconds: float = 0
    if not amount:
        missing = max(1 + reserve - level, 0)
        retry_seconds = missing / flow.rate if flow.rate else 1.0
        retry_seconds = min(retry_seconds, LONGEST_RETRY_SECONDS)
    return Taken(Bucket(level - amount, now, flow), amount, retry_seconds)


def give_back(bucket: Bucket) -> Bucket:
    """Returns a token whose request reached no target."""
    return bucket._replace(level=bucket.level + 1)


def _filled(bucket: Bucket, flow: Flow, now: float) -> float:
    """Returns the tokens in a bucket at `now`.

    Since when a new flow fills it is not known: until now the lower one counts.
    """
    before = bucket.flow or flow
    elapsed = max(now - bucket.filled_at, 0)
    gained = elapsed * min(before.rate, flow.rate)
    return min(bucket.level + gained, before.room, flow.room)
