"""Batching policies, which decide when intents are appended to the log.

An intent is the record that a request, which may run only once, is about to run.
"""

import typing
from collections import abc

from bilberryglade._values import registry

#: Rate limit on the appends of intents by all instances together.
FLEET_APPENDS_PER_SECOND: typing.Final = 240.0
#: Appends that an instance may make at once after a time without any.
BURST_APPENDS: typing.Final = 4.0
#: Most intents in one append.
MAX_BATCH_ENTRIES: typing.Final = 4096


class TokenBucket(typing.NamedTuple):
    """Token bucket that limits the appends of one instance."""

    tokens: float = BURST_APPENDS
    #: Monotonic seconds at which `tokens` was computed.
    updated_at: float = 0


class AppendPlan(typing.NamedTuple):
    """Whether to append the waiting intents now, and how many of them."""

    bucket: TokenBucket
    #: Seconds to wait for more intents before the next plan; 0 to append now.
    wait_seconds: float
    #: Number of intents in the append.
    entries: int


#: Called with the token bucket, the number of waiting intents, the appends a
#: second that are allowed, and the time in monotonic seconds.
BatchingPolicy: typing.TypeAlias = abc.Callable[
    [TokenBucket, int, float, float], AppendPlan
]

policies: typing.Final = registry.Registry[BatchingPolicy]('batching policy')


def append_rate(member_count: int) -> float:
    """Returns the appends a second allowed to one of `member_count` instances."""
    return FLEET_APPENDS_PER_SECOND / max(member_count, 1)


@policies.register('group')
def plan_group(
    bucket: TokenBucket, waiting: int, rate: float, now: float
) -> AppendPlan:
    """Appends all waiting intents as soon as the token bucket allows it.

    At low load an intent is appended at once; at high load appends are limited
    by the bucket, so each carries more intents.
    """
    tokens = min(
        bucket.tokens + (now - bucket.updated_at) * rate, BURST_APPENDS
    )
    if tokens < 1:
        return AppendPlan(TokenBucket(tokens, now), (1 - tokens) / rate, 0)
    return AppendPlan(
        TokenBucket(tokens - 1, now), 0, min(waiting, MAX_BATCH_ENTRIES)
    )


@policies.register('single')
def plan_single(
    bucket: TokenBucket, waiting: int, rate: float, now: float
) -> AppendPlan:
    """Appends each intent alone and at once, without a rate limit."""
    return AppendPlan(bucket, 0, 1)


class Pacer:
    """Plans the appends of all intent streams of one instance.

    The streams share one token bucket.
    """

    def __init__(self, policy: str = 'group') -> None:
        """`policy` is the name of a registered batching policy."""
        self.policy = policies.entries[policy]
        self.bucket = TokenBucket()
        self.rate = append_rate(1)

    def plan(self, waiting: int, now: float) -> AppendPlan:
        """Returns the plan for `waiting` intents and stores its token bucket."""
        plan = self.policy(self.bucket, waiting, self.rate, now)
        self.bucket = plan.bucket
        return plan
