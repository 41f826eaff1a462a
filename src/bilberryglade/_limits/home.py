"""The quota home: the one instance that hands out a quota's tokens.

The home of a quota follows from the members in the log. A new home begins
with empty buckets, and only after its predecessor's authority and the last
token that it gave have certainly ended.
"""

import typing

import immutables

from bilberryglade._limits import bucket as bucketing, tokens
from bilberryglade._routing import roles
from bilberryglade._state import state

#: Seconds for which an entry may spend a token, counted from its ask.
TOKEN_SECONDS: typing.Final = 0.4
UNAVAILABLE_SECONDS: typing.Final = 0.05


class Spans(typing.NamedTuple):
    """Bounds in seconds on this instance's own clock."""

    #: For how long a home may act on one complete read of the log.
    authority: float
    #: For how long an entry may spend a token.
    token: float
    #: Part by which two clocks may differ in speed.
    drift: float

    @property
    def token_at_home(self) -> float:
        """Seconds after which an entry, however slow, spends a token no more."""
        return self.token * (1 + self.drift)

    @property
    def succession(self) -> float:
        """Seconds after which a predecessor's tokens are certainly dead."""
        return (self.authority + self.token) * (1 + self.drift)


class Home(typing.NamedTuple):
    """All quotas that an instance is the home of."""

    instance: str
    boot: str
    spans: Spans
    #: State of the log that the buckets were kept under.
    view: state.ClusterState = state.ClusterState()
    #: Monotonic seconds at which this instance last may have become a home.
    since: float = float('inf')
    buckets: immutables.Map[tokens.QuotaName, bucketing.Bucket] = (
        immutables.Map()
    )


class Answered(typing.NamedTuple):
    """The home after an ask, and its answer."""

    home: Home
    grant: tokens.Grant


def observe(home: Home, view: state.ClusterState, now: float) -> Home:
    """Follows the members; buckets whose home may have changed are dropped.

    A batch of records that changed the topology may hide a member that came
    and went, so only a single record leaves buckets as they are.
    """
    before = home.view
    if view.topology_changed_at == before.topology_changed_at:
        return home._replace(view=view)
    home = home._replace(view=view)
    if not _is_member(home):
        return home._replace(since=float('inf'), buckets=immutables.Map())
    if view.offset > before.offset + 1:
        return home._replace(since=now, buckets=immutables.Map())
    if view.members == before.members:
        return home
    kept = {
        name: bucket
        for name, bucket in home.buckets.items()
        if roles.quota_home(before, *name) == home.instance
        and roles.quota_home(view, *name) == home.instance
    }
    return home._replace(since=now, buckets=immutables.Map(kept))


def answer(
    home: Home,
    name: tokens.QuotaName,
    limit: tokens.Limit,
    ask: tokens.Ask,
    authority: bool,
    now: float,
) -> Answered:
    """Settles earlier grants and gives tokens, if this is the home.

    `authority` says that no other instance can be the home at this moment.
    """
    if not authority or not is_home(home, name):
        return _nothing(home, ask, UNAVAILABLE_SECONDS)
    opens_at = home.since + home.spans.succession
    if name not in home.buckets and now < opens_at:
        return _nothing(home, ask, opens_at - now)
    bucket = home.buckets.get(name, bucketing.Bucket(0, opens_at))
    bucket = bucketing.refill(bucket, limit, now)
    for settled in ask.settled:
        bucket = bucketing.settle(bucket, ask.entry, settled)
    taken = bucketing.take(
        bucket,
        bucketing.GrantName(ask.entry, ask.sequence),
        ask,
        now + home.spans.token_at_home,
    )
    home = home._replace(buckets=home.buckets.set(name, taken.bucket))
    retry_seconds = _until_next(taken.bucket, limit)
    grant = tokens.Grant(ask.sequence, taken.amount, retry_seconds)
    return Answered(home, grant)


def is_home(home: Home, name: tokens.QuotaName) -> bool:
    """Tells whether this process is the home by the newest state it has."""
    if not _is_member(home):
        return False
    return roles.quota_home(home.view, *name) == home.instance


def _is_member(home: Home) -> bool:
    member = home.view.members.get(home.instance)
    return member is not None and member.boot == home.boot


def _until_next(bucket: bucketing.Bucket, limit: tokens.Limit) -> float:
    missing = max(1 - bucket.level, 0)
    return missing / limit.rate if limit.rate else 1.0


def _nothing(home: Home, ask: tokens.Ask, retry_seconds: float) -> Answered:
    grant = tokens.Grant(ask.sequence, 0, retry_seconds, confirmed=False)
    return Answered(home, grant)
