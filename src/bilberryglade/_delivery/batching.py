"""When gathered intents are appended: registered gathering policies."""

import typing
from collections import abc

from bilberryglade._values import registry

#: Appends a second that all instances together spend on intents.
FLEET_APPENDS_PER_SECOND: typing.Final = 240.0
BURST_APPENDS: typing.Final = 4.0
MAX_BATCH_ENTRIES: typing.Final = 4096


class TokenBucket(typing.NamedTuple):
    """Token bucket of the appends of one instance."""

    tokens: float = BURST_APPENDS
    #: Monotonic seconds at which `tokens` was right.
    updated_at: float = 0


class AppendPlan(typing.NamedTuple):
    """What to do with the intents gathered so far."""

    bucket: TokenBucket
    #: Seconds to go on gathering; 0 to append now.
    wait_seconds: float
    #: Entries of the next append.
    entries: int


BatchingPolicy: typing.TypeAlias = abc.Callable[
    [TokenBucket, int, float, float], AppendPlan
]

policies: typing.Final = registry.Registry[BatchingPolicy]('batching policy')


def append_rate(member_count: int) -> float:
    """Returns the appends a second that one of `members` may make."""
    return FLEET_APPENDS_PER_SECOND / max(member_count, 1)


@policies.register('group')
def plan_group(
    bucket: TokenBucket, waiting: int, rate: float, now: float
) -> AppendPlan:
    """Appends all that waits as soon as the pace allows one append.

    At low load an intent goes at once; at high load the pace makes each
    append carry more.
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
    """Appends each intent alone and at once, whatever the log bears."""
    return AppendPlan(bucket, 0, 1)


class Pacer:
    """The pace that all intent streams of one instance share."""

    def __init__(self, policy: str = 'group') -> None:
        """Plans by the policy named."""
        self.policy = policies.entries[policy]
        self.bucket = TokenBucket()
        self.rate = append_rate(1)

    def plan(self, waiting: int, now: float) -> AppendPlan:
        """Plans the next append and takes it off the pace."""
        plan = self.policy(self.bucket, waiting, self.rate, now)
        self.bucket = plan.bucket
        return plan
