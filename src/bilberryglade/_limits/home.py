"""The quota home: the one instance that hands out a quota's tokens.

The home of a quota follows from the members in the log. A new home takes over
the bucket that its predecessor hands over. Without one it begins with an empty
bucket, and only after its predecessor's authority and the last token that it
gave have certainly ended.
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


class Received(typing.NamedTuple):
    """A handover and when it came."""

    handover: tokens.Handover
    #: Monotonic seconds.
    at: float


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
    handed: immutables.Map[tokens.QuotaName, Received] = immutables.Map()


class Answered(typing.NamedTuple):
    """The home after an ask, and its answer."""

    home: Home
    grant: tokens.Grant


class Observed(typing.NamedTuple):
    """The home after a change, and what it hands over to other instances."""

    home: Home
    handovers: tuple[tokens.Handover, ...] = ()


def observe(home: Home, view: state.ClusterState, now: float) -> Observed:
    """Follows the members; buckets whose home may have changed are dropped.

    A batch of records that changed the topology may hide a member that came
    and went, so only a single record leaves buckets as they are, or hands
    them over.
    """
    before = home.view
    if view.topology_changed_at == before.topology_changed_at:
        return Observed(home._replace(view=view))
    moved = home._replace(view=view, buckets=immutables.Map(), since=now)
    if view.offset > before.offset + 1 or not _is_member(home):
        return Observed(_without_outsider(moved))
    if view.members == before.members:
        return Observed(home._replace(view=view))
    kept = {
        name: bucket
        for name, bucket in home.buckets.items()
        if is_home(moved, name)
    }
    handovers = tuple(
        tokens.Handover(
            name, view.topology_changed_at, bucket.level, bucket.given
        )
        for name, bucket in home.buckets.items()
        if name not in kept
    )
    moved = moved._replace(buckets=immutables.Map(kept))
    return Observed(_without_outsider(moved), handovers)


def receive(home: Home, handover: tokens.Handover, now: float) -> Home:
    """Keeps a handover; it counts once the log says the same."""
    received = Received(handover, now)
    return home._replace(handed=home.handed.set(handover.name, received))


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
    bucket = _bucket_of(home, name)
    if bucket is None and now < opens_at:
        return _nothing(home, ask, opens_at - now)
    if bucket is None:
        bucket = bucketing.Bucket(0, opens_at)
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


def _bucket_of(
    home: Home,
    name: tokens.QuotaName,
) -> bucketing.Bucket | None:
    """Returns the bucket that is kept, or the one that was handed over.

    Tokens that the old home gave are held as given for as long as any entry
    may spend them.
    """
    received = home.handed.get(name)
    if name in home.buckets or received is None:
        return home.buckets.get(name)
    handover = received.handover
    if handover.term != home.view.topology_changed_at:
        return None
    given = bucketing.Outstanding(
        handover.given, 0, received.at + home.spans.token_at_home
    )
    unnamed = bucketing.GrantName('', handover.term)
    return bucketing.Bucket(
        handover.level,
        received.at,
        immutables.Map({unnamed: given}),
        handover.given,
    )


def _without_outsider(home: Home) -> Home:
    if _is_member(home):
        return home
    return home._replace(since=float('inf'), buckets=immutables.Map())


def _is_member(home: Home) -> bool:
    member = home.view.members.get(home.instance)
    return member is not None and member.boot == home.boot


def _until_next(bucket: bucketing.Bucket, limit: tokens.Limit) -> float:
    missing = max(1 - bucket.level, 0)
    return missing / limit.rate if limit.rate else 1.0


def _nothing(home: Home, ask: tokens.Ask, retry_seconds: float) -> Answered:
    grant = tokens.Grant(ask.sequence, 0, retry_seconds, confirmed=False)
    return Answered(home, grant)
