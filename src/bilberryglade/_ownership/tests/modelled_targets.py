"""Targets as the users' protocol describes them, on virtual time.

A target remembers the fences it has seen; a later life knows nothing. Orders
are carried out when they arrive, or seconds later without an answer; a lease
counts from the arrival.
"""

import json
import typing
from collections import abc

from bilberryglade._ownership.tests import owner_rules
from bilberryglade._targets import sender
from bilberryglade._values import outcomes
from bilberryglade.platform import durations, headers

OK_STATUS: typing.Final = 200
CONFLICT_STATUS: typing.Final = 409
MISDIRECTED_STATUS: typing.Final = 421
#: Part by which a target's clock may run slow, by the protocol.
SLOWEST_CLOCK: typing.Final = 0.02
#: Seconds of the longest work on a key.
LONGEST_WORK: typing.Final = 1.4


class Lease(typing.NamedTuple):
    """Keys that a target holds."""

    first: int
    last: int
    fence: int
    until: float


class Work(typing.NamedTuple):
    """Work that goes on after its keys were given back."""

    first: int
    last: int
    ends: float
    #: Seconds at which the lease would have ended.
    held_until: float


class Target:
    """One target through all its lives."""

    def __init__(
        self,
        name: str,
        address: str,
        domain: str,
        drift: float,
        *,
        keeps_newer: bool,
    ) -> None:
        """Starts its first life; `drift` is by what its clock runs slow.

        `keeps_newer` tells whether a release leaves leases of higher fences,
        which the protocol does not say.
        """
        self.name = name
        self.address = address
        self.domain = domain
        self.drift = drift
        self.keeps_newer = keeps_newer
        self.born = 1
        self.is_up = True
        self.is_draining = False
        self.leases: list[Lease] = []
        self.seen: list[Lease] = []
        self.work: list[Work] = []

    def end(self) -> None:
        """Ends this life with all it holds."""
        self.is_up = False
        self.leases.clear()
        self.seen.clear()
        self.work.clear()

    def begin(self, address: str) -> None:
        """Starts the next life under the same name."""
        self.born += 1
        self.address = address
        self.is_up = True
        self.is_draining = False

    def holdings(self, now: float) -> list[owner_rules.Holding]:
        """Returns what it holds and works on."""
        held = [
            owner_rules.Holding(lease.first, lease.last, self.name, lease.until)
            for lease in self.leases
            if lease.until > now
        ]
        held.extend(
            owner_rules.Holding(
                work.first, work.last, self.name, work.held_until, work.ends
            )
            for work in self.work
            if work.ends > now
        )
        return held

    def grant(self, arrived: float, order: Lease, *, counts: bool) -> int:
        """Takes a lease whose time in `order.until` runs from `arrived`.

        One that does not count by the rules is not kept as a lease.
        """
        if any(
            _overlap(known, order) and known.fence > order.fence
            for known in self.seen
        ):
            return CONFLICT_STATUS
        self._see(order)
        if counts:
            until = arrived + order.until * (1 + self.drift)
            kept = _without(self.leases, order)
            self.leases = [*kept, order._replace(until=until)]
        return OK_STATUS

    def release(self, now: float, order: Lease, work_seconds: float) -> float:
        """Gives keys back; returns the seconds at which their work ends."""
        ends = now
        kept: list[Lease] = []
        for lease in self.leases:
            if self.keeps_newer and lease.fence > order.fence:
                kept.append(lease)
                continue
            kept.extend(_without([lease], order))
            if _overlap(lease, order) and lease.until > now and work_seconds:
                ends = now + work_seconds
                self.work.append(_left(lease, order, ends))
        self._see(order)
        self.leases = kept
        going_on = [work.ends for work in self.work if _meets(work, order)]
        return max(ends, *going_on, now)

    def _see(self, order: Lease) -> None:
        self.seen = [known for known in self.seen if known != order]
        self.seen.append(order._replace(until=0))


def understood(call: sender.Call) -> Lease:
    """Returns the order in a call; `until` has the seconds of the lease."""
    body: dict[str, typing.Any] = json.loads(call.body)
    seconds = durations.seconds_of(body.get('hold_time', '0ms'))
    return Lease(body['from'], body['to'], body['fence'], seconds)


def answered(
    status: int,
    word: str = '',
) -> outcomes.Answered:
    """Returns the answer to an order."""
    found = (outcomes.Header(headers.HANDOVER, word),) if word else ()
    return outcomes.Answered(status, found, b'')


def look(
    rules: owner_rules.OwnerRules,
    targets: abc.Iterable[Target],
    taker: Target,
    order: Lease,
    now: float,
) -> None:
    """Checks a lease that `taker` has just taken."""
    until = max(
        (lease.until for lease in taker.leases if lease.fence == order.fence),
        default=now,
    )
    if until <= now:
        return
    others = [
        holding
        for target in targets
        if target is not taker and target.is_up
        for holding in target.holdings(now)
    ]
    taken = owner_rules.Given(order.first, order.last, taker.name, order.fence)
    rules.take(now, taken, until, others)


def _left(lease: Lease, order: Lease, ends: float) -> Work:
    """Returns the work that goes on after a release."""
    first = max(lease.first, order.first)
    last = min(lease.last, order.last)
    return Work(first, last, ends, lease.until)


def _meets(work: Work, order: Lease) -> bool:
    return work.first <= order.last and work.last >= order.first


def _overlap(one: Lease, other: Lease) -> bool:
    return one.first <= other.last and one.last >= other.first


def _without(known: list[Lease], order: Lease) -> list[Lease]:
    """Cuts the keys of an order out of leases."""
    left: list[Lease] = []
    for lease in known:
        if not _overlap(lease, order):
            left.append(lease)
            continue
        if lease.first < order.first:
            left.append(lease._replace(last=order.first - 1))
        if lease.last > order.last:
            left.append(lease._replace(first=order.last + 1))
    return left
