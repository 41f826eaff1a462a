"""The bucket of one quota at its home: subtracts tokens before they are given.

`level + outstanding` never exceeds the burst and grows by the rate at most.
Every admission spends an outstanding token, so in any window from s to t no
more than burst + rate * (t - s) requests are admitted, wherever they enter.
"""

import typing

import immutables

from bilberryglade._limits import tokens

#: Part of the level that a grant ahead of need may take.
EXTRA_SHARE: typing.Final = 0.125


class GrantName(typing.NamedTuple):
    """Names a grant by the process and the ask that it went to."""

    entry: str
    sequence: int


class Outstanding(typing.NamedTuple):
    """Tokens that were given and may yet be spent."""

    #: Tokens not known to be spent or returned.
    amount: int
    #: Tokens known to be spent.
    used: int
    #: Monotonic seconds from which the entry spends none of them.
    expires_at: float


class Bucket(typing.NamedTuple):
    """Tokens at the home, and those in the hands of entries."""

    #: Tokens that may be given.
    level: float
    refilled_at: float
    outstanding: immutables.Map[GrantName, Outstanding] = immutables.Map()
    #: Sum of the outstanding counts.
    given: int = 0


class Taken(typing.NamedTuple):
    """The bucket after tokens were taken, and how many."""

    bucket: Bucket
    amount: int


def refill(bucket: Bucket, limit: tokens.Limit, now: float) -> Bucket:
    """Adds what the rate allows up to `now`, and forgets expired grants.

    Tokens that may have been spent leave room only from the moment at which
    the home learns of it or they expire: what was earned before then was
    earned beside them. So `refill` goes before `settle`.
    """
    expired = [
        (given.expires_at, name)
        for name, given in bucket.outstanding.items()
        if given.expires_at <= now
    ]
    for expires_at, name in sorted(expired):
        bucket = _grown(bucket, limit, expires_at)
        lost = bucket.outstanding[name].amount
        bucket = bucket._replace(
            outstanding=bucket.outstanding.delete(name),
            given=bucket.given - lost,
        )
    return _grown(bucket, limit, now)


def take(
    bucket: Bucket,
    name: GrantName,
    ask: tokens.Ask,
    expires_at: float,
) -> Taken:
    """Takes what is needed and a small part ahead of need."""
    if name in bucket.outstanding:
        return Taken(bucket, 0)
    needed = min(max(ask.needed, 0), int(bucket.level))
    spare = int((bucket.level - needed) * EXTRA_SHARE)
    count = needed + min(max(ask.extra, 0), spare)
    if not count:
        return Taken(bucket, 0)
    given = Outstanding(count, 0, expires_at)
    taken = bucket._replace(
        level=bucket.level - count,
        outstanding=bucket.outstanding.set(name, given),
        given=bucket.given + count,
    )
    return Taken(taken, count)


def settle(
    bucket: Bucket,
    entry: str,
    settled: tokens.Settled,
) -> Bucket:
    """Takes note of spent and returned tokens; copies change nothing."""
    name = GrantName(entry, settled.sequence)
    known = bucket.outstanding.get(name)
    if known is None:
        return bucket
    newly_used = max(settled.used - known.used, 0)
    returned = max(min(settled.returned, known.amount - newly_used), 0)
    left = max(known.amount - newly_used, 0)
    if settled.returned:
        left = 0
    bucket = bucket._replace(
        level=bucket.level + returned,
        given=bucket.given - known.amount + left,
    )
    if not left:
        return bucket._replace(outstanding=bucket.outstanding.delete(name))
    kept = known._replace(amount=left, used=known.used + newly_used)
    return bucket._replace(outstanding=bucket.outstanding.set(name, kept))


def _grown(bucket: Bucket, limit: tokens.Limit, now: float) -> Bucket:
    elapsed = max(now - bucket.refilled_at, 0)
    room = limit.burst - bucket.given
    level = min(bucket.level + limit.rate * elapsed, room)
    return bucket._replace(
        level=max(level, 0),
        refilled_at=max(now, bucket.refilled_at),
    )
