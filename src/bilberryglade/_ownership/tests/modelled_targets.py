"""Targets as the users' protocol describes them, on virtual time.

A target remembers the fences that it has seen, until it stops: a later
incarnation starts without them. Orders are carried out when they arrive, or
seconds later without an answer; a lease runs from the arrival in both cases.
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
#: Greatest fraction by which a target's clock may run slow, by the protocol.
MAX_CLOCK_SLOWDOWN: typing.Final = 0.02
#: Longest time for which work on released keys goes on.
MAX_WORK_SECONDS: typing.Final = 1.4


class Lease(typing.NamedTuple):
    """A lease on the keys from `first` to `last`, or an order for one."""

    first: int
    last: int
    fence: int
    #: Virtual seconds at which a lease ends, or duration of an ordered lease.
    until: float


class RemainingWork(typing.NamedTuple):
    """Work on keys that goes on after the target has released them."""

    first: int
    last: int
    #: Virtual seconds at which the work ends.
    ends_at: float
    #: Virtual seconds at which the released lease would have ended.
    lease_until: float


class Target:
    """A modelled target, with all its incarnations."""

    def __init__(
        self,
        name: str,
        address: str,
        domain: str,
        clock_slowdown: float,
        *,
        keeps_newer_leases: bool,
    ) -> None:
        """Starts the first incarnation of the target.

        `clock_slowdown` is the fraction by which its clock runs slow.
        `keeps_newer_leases` says whether an order to release keys leaves
        leases with higher fences in place, which the protocol does not define.
        """
        self.name = name
        self.address = address
        self.domain = domain
        self.clock_slowdown = clock_slowdown
        self.keeps_newer_leases = keeps_newer_leases
        #: Number of the current incarnation.
        self.born = 1
        self.is_up = True
        self.is_draining = False
        self.leases: list[Lease] = []
        #: Orders of the current incarnation, whose fences bound later ones.
        self.seen_orders: list[Lease] = []
        self.remaining_work: list[RemainingWork] = []

    def stop(self) -> None:
        """Stops the target, which loses its leases, fences and work."""
        self.is_up = False
        self.leases.clear()
        self.seen_orders.clear()
        self.remaining_work.clear()

    def restart(self, address: str) -> None:
        """Starts the next incarnation under the same name, at `address`."""
        self.born += 1
        self.address = address
        self.is_up = True
        self.is_draining = False

    def holdings(self, now: float) -> list[owner_rules.HeldKeys]:
        """Returns the keys that the target holds or still works on."""
        held = [
            owner_rules.HeldKeys(
                lease.first, lease.last, self.name, lease.until
            )
            for lease in self.leases
            if lease.until > now
        ]
        held.extend(
            owner_rules.HeldKeys(
                work.first, work.last, self.name, work.lease_until, work.ends_at
            )
            for work in self.remaining_work
            if work.ends_at > now
        )
        return held

    def grant(
        self, arrived_at: float, order: Lease, *, creates_lease: bool
    ) -> int:
        """Carries out a grant and returns the HTTP status of the answer.

        The lease lasts for `order.until` seconds from `arrived_at`. Without
        `creates_lease`, the target only remembers the fence: the rules do not
        count the lease.
        """
        if any(
            _overlap(earlier, order) and earlier.fence > order.fence
            for earlier in self.seen_orders
        ):
            return CONFLICT_STATUS
        self._remember_order(order)
        if creates_lease:
            until = arrived_at + order.until * (1 + self.clock_slowdown)
            remaining = _without_keys(self.leases, order)
            self.leases = [*remaining, order._replace(until=until)]
        return OK_STATUS

    def release(self, now: float, order: Lease, work_seconds: float) -> float:
        """Releases the keys of `order`; returns when work on them ends.

        The work goes on for `work_seconds` if a lease on the keys is valid.
        """
        work_ends_at = now
        remaining: list[Lease] = []
        for lease in self.leases:
            if self.keeps_newer_leases and lease.fence > order.fence:
                remaining.append(lease)
                continue
            remaining.extend(_without_keys([lease], order))
            if _overlap(lease, order) and lease.until > now and work_seconds:
                work_ends_at = now + work_seconds
                self.remaining_work.append(
                    _work_after_release(lease, order, work_ends_at)
                )
        self._remember_order(order)
        self.leases = remaining
        other_work_ends = [
            work.ends_at
            for work in self.remaining_work
            if _work_overlaps(work, order)
        ]
        return max(work_ends_at, *other_work_ends, now)

    def _remember_order(self, order: Lease) -> None:
        self.seen_orders = [
            earlier for earlier in self.seen_orders if earlier != order
        ]
        self.seen_orders.append(order._replace(until=0))


def parse_order(call: sender.Call) -> Lease:
    """Returns the order in a call; `until` is the duration of the lease."""
    body: dict[str, typing.Any] = json.loads(call.body)
    seconds = durations.seconds_of(body.get('hold_time', '0ms'))
    return Lease(body['from'], body['to'], body['fence'], seconds)


def order_answer(
    status: int,
    handover: str = '',
) -> outcomes.Answered:
    """Returns the answer to an order, with `handover` as header if set."""
    answer_headers = (
        (outcomes.Header(headers.HANDOVER, handover),) if handover else ()
    )
    return outcomes.Answered(status, answer_headers, b'')


def check_grant(
    rules: owner_rules.OwnerRules,
    targets: abc.Iterable[Target],
    receiver: Target,
    order: Lease,
    now: float,
) -> None:
    """Checks a grant that `receiver` has just accepted against `rules`."""
    until = max(
        (
            lease.until
            for lease in receiver.leases
            if lease.fence == order.fence
        ),
        default=now,
    )
    if until <= now:
        return
    other_holdings = [
        holding
        for target in targets
        if target is not receiver and target.is_up
        for holding in target.holdings(now)
    ]
    granted = owner_rules.GrantedKeys(
        order.first, order.last, receiver.name, order.fence
    )
    rules.check_grant(now, granted, until, other_holdings)


def _work_after_release(
    lease: Lease, order: Lease, ends: float
) -> RemainingWork:
    """Returns the work that goes on after a release, until `ends`."""
    first = max(lease.first, order.first)
    last = min(lease.last, order.last)
    return RemainingWork(first, last, ends, lease.until)


def _work_overlaps(work: RemainingWork, order: Lease) -> bool:
    return work.first <= order.last and work.last >= order.first


def _overlap(left: Lease, right: Lease) -> bool:
    return left.first <= right.last and left.last >= right.first


def _without_keys(leases: list[Lease], order: Lease) -> list[Lease]:
    """Returns `leases` without the keys of `order`."""
    remaining: list[Lease] = []
    for lease in leases:
        if not _overlap(lease, order):
            remaining.append(lease)
            continue
        if lease.first < order.first:
            remaining.append(lease._replace(last=order.first - 1))
        if lease.last > order.last:
            remaining.append(lease._replace(first=order.last + 1))
    return remaining
