"""What is known of the leases that targets may hold, and when a key is free.

A lease that a target may hold ends when the target confirms its release, or when
its whole time has passed since the last order that may still arrive. That the
target has started again ends nothing: its later life may have taken the order.
"""

import typing
from collections import abc

from bilberryglade._ownership import ranges
from bilberryglade._values import leases

#: A target's clock that measures a lease may run slow by this part.
TARGET_DRIFT_PART: typing.Final = 0.02
#: Seconds added to the end of a lease for work on the way.
LEASE_MARGIN_SECONDS: typing.Final = 0.2


class Hold(typing.NamedTuple):
    """Keys that a target may hold because of orders sent to it."""

    first: int
    last: int
    owner: ranges.Owner
    fence: int
    #: Seconds at which the last lease that was ordered ends for certain.
    until: float
    #: The same for orders that were not answered: they may be carried out
    #: after a release.
    unanswered_until: float = 0
    is_released: bool = False
    #: What the target said at its release.
    handover: str = ''


class Noted(typing.NamedTuple):
    """An order as it was noted before it was sent."""

    #: What targets might hold before it.
    before: tuple[Hold, ...]
    #: Seconds at which it has arrived, or has been given up.
    arrives_by: float
    #: Seconds of the lease.
    seconds: float

    @property
    def until(self) -> float:
        """Seconds at which its lease ends for certain."""
        return lease_end(self.arrives_by, self.seconds)


def lease_end(sent_at: float, seconds: float) -> float:
    """Returns when a lease ordered at `sent_at` has ended for certain."""
    return sent_at + seconds * (1 + TARGET_DRIFT_PART) + LEASE_MARGIN_SECONDS


def ordered(
    holds: tuple[Hold, ...],
    entry: ranges.Range,
    until: float,
) -> tuple[Hold, ...]:
    """Takes in that a lease is being ordered, before the order is sent."""
    kept: list[Hold] = []
    found = False
    for hold in holds:
        if _is_same(hold, entry):
            found = True
            hold = hold._replace(
                until=max(hold.until, until),
                unanswered_until=max(hold.unanswered_until, until),
                is_released=False,
            )
        kept.append(hold)
    if not found:
        kept.append(
            Hold(
                entry.first,
                entry.last,
                entry.owner,
                entry.fence,
                until,
                unanswered_until=until,
            ),
        )
    return tuple(kept)


def confirmed(
    holds: tuple[Hold, ...],
    entry: ranges.Range,
    before: float,
) -> tuple[Hold, ...]:
    """Takes in the answer to an order; `before` is the end of older doubts."""
    return tuple(
        hold._replace(unanswered_until=before)
        if _is_same(hold, entry)
        else hold
        for hold in holds
    )


def settled(
    holds: tuple[Hold, ...],
    entry: ranges.Range,
    noted: Noted,
    failure: leases.Failure | None,
    now: float,
) -> tuple[Hold, ...]:
    """Takes in what came of an order by `now`; `failure` is None if it was taken.

    One that ended later than it should have may have arrived as late: the loop
    stood still, and with it what bounds an arrival.
    """
    if failure is leases.Failure.unreachable:
        return withdrawn(holds, noted.before, entry, noted.until)
    if now > noted.arrives_by:
        holds = ordered(holds, entry, lease_end(now, noted.seconds))
    if failure is None:
        return confirmed(holds, entry, doubt(noted.before, entry))
    return holds


def withdrawn(
    holds: tuple[Hold, ...],
    before: tuple[Hold, ...],
    entry: ranges.Range,
    until: float,
) -> tuple[Hold, ...]:
    """Takes back an order of which no byte was sent.

    `before` are the holds before it, and `until` is what it was noted with. The
    keys may have been cut since then.
    """
    kept: list[Hold] = []
    for hold in holds:
        is_raised = until in {hold.until, hold.unanswered_until}
        if not is_raised or not _is_part(hold, entry):
            kept.append(hold)
            continue
        kept.extend(
            known._replace(
                first=hold.first,
                last=hold.last,
                is_released=known.is_released or hold.is_released,
                handover=hold.handover or known.handover,
            )
            for known in before
            if _is_part(hold, known)
        )
    return tuple(kept)


def released(
    holds: tuple[Hold, ...],
    target: str,
    given: leases.Lease,
    handover: str,
) -> tuple[Hold, ...]:
    """Takes in that a target gave back the keys in `given`.

    Leases that it was given under the fence of the release or a higher one stay:
    they came later, and an answer may be late.
    """
    kept: list[Hold] = []
    for hold in holds:
        is_meant = hold.owner.target == target and hold.fence < given.fence
        if is_meant and not hold.is_released:
            kept.extend(_cut(hold, given, handover))
        else:
            kept.append(hold)
    return tuple(kept)


def in_the_way(
    holds: tuple[Hold, ...],
    entry: ranges.Range,
    now: float,
) -> tuple[Hold, ...]:
    """Returns the holds of others that keep a range from its new owner.

    An earlier life of the new owner keeps nothing from it.
    """
    return tuple(
        hold
        for hold in holds
        if hold.owner.target != entry.owner.target
        and hold.first <= entry.last
        and hold.last >= entry.first
        and now < end_of(hold)
    )


def end_of(hold: Hold) -> float:
    """Returns when the target holds the keys no more, in seconds."""
    return hold.unanswered_until if hold.is_released else hold.until


def without_ended(
    holds: tuple[Hold, ...],
    now: float,
) -> tuple[Hold, ...]:
    """Drops what no target can hold any more."""
    return tuple(hold for hold in holds if now < end_of(hold))


def doubt(holds: tuple[Hold, ...], entry: ranges.Range) -> float:
    """Returns until when unanswered orders to a range's owner may count."""
    return max(
        (
            hold.unanswered_until
            for hold in holds
            if hold.owner == entry.owner
            and hold.first <= entry.last
            and hold.last >= entry.first
        ),
        default=0,
    )


def handover(holds: tuple[Hold, ...], entry: ranges.Range) -> str:
    """Returns the word of the one owner that released a whole range."""
    words = {
        hold.handover
        for hold in holds
        if hold.is_released
        and hold.first <= entry.first
        and hold.last >= entry.last
    }
    return words.pop() if len(words) == 1 else ''


def _cut(
    hold: Hold,
    given: leases.Lease,
    handover: str,
) -> abc.Iterator[Hold]:
    """Yields the pieces of a hold, of which those keys are released."""
    first = max(hold.first, given.first)
    last = min(hold.last, given.last)
    if first > last:
        yield hold
        return
    pieces = (
        hold._replace(last=first - 1),
        hold._replace(
            first=first, last=last, is_released=True, handover=handover
        ),
        hold._replace(first=last + 1),
    )
    yield from (piece for piece in pieces if piece.first <= piece.last)


def _is_part(hold: Hold, whole: Hold | ranges.Range) -> bool:
    """Tells whether a hold is on keys of a lease, under its fence."""
    return (
        (hold.owner, hold.fence) == (whole.owner, whole.fence)
        and hold.first >= whole.first
        and hold.last <= whole.last
    )


def _is_same(hold: Hold, entry: ranges.Range) -> bool:
    return (hold.first, hold.last, hold.owner, hold.fence) == (
        entry.first,
        entry.last,
        entry.owner,
        entry.fence,
    )
