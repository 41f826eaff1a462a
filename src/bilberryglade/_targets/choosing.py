"""Chooses the target of a request, or says at once that none can serve it.

The load that this answers: targets of unequal speed, stragglers, targets that
fail part of their work, cold ones that bear a few requests a second, and
bursts in which waiting longer serves nobody.
"""

import typing
from collections import abc

from bilberryglade._targets import directory, standing
from bilberryglade._values import outcomes

#: Factor on the cost of a target in another failure domain.
REMOTE_FACTOR: typing.Final = 1.08
#: Factor on the cost of a target that leaves: it is for what only it can serve.
LEAVING_FACTOR: typing.Final = 10.0
#: Factor on the cost of a cold target.
COLD_FACTOR: typing.Final = 1.5
#: Shortest time between two requests of one instance to a cold target.
COLD_SPACING_SECONDS: typing.Final = 1.06
#: Part of the time left that a late request may be expected to wait.
WAITING_PART: typing.Final = 0.5
#: The same in times of its own work: whatever a late one waits, those behind
#: it wait longer, and they can still be in time.
LATE_WAIT_WORKS: typing.Final = 1.0
#: Work takes up to so many times its usual time in most cases.
WORK_FACTOR: typing.Final = 1.3
#: Part of the time to its aim that a request waits for a target which wants
#: nothing for a while; the rest is for its work.
HOLD_PART: typing.Final = 0.5
#: Bounds of the time after which a refused caller may come back.
LEAST_RETRY_SECONDS: typing.Final = 0.08
MOST_RETRY_SECONDS: typing.Final = 0.6


class View(typing.NamedTuple):
    """A target as this instance sees it."""

    target: directory.Target
    standing: standing.Standing
    #: Whether this instance may send to it while it is cold.
    may_warm: bool
    #: Shortest time between two requests to it while it is cold.
    cold_spacing: float = COLD_SPACING_SECONDS
    #: Requests that it may run at the same time; its own places if 0.
    places: int = 0
    #: Whether it takes no further request at all now.
    is_full: bool = False


class Demand(typing.NamedTuple):
    """What a request needs of a target; times are in seconds."""

    failure_domain: str
    #: Time left until its answer loses most of its value; may be negative.
    aim_left: float
    #: Time left until its caller gives up.
    time_left: float
    #: Names of targets that had it before.
    tried: frozenset[str]
    #: Whether its answer takes a link's time beside the target's.
    has_large_answer: bool = False
    #: Version of software that alone may run it; '' if any may.
    version: str = ''
    #: 0 is the most urgent; None if its instance did not tell.
    urgency: int | None = None
    #: Whether its caller comes back after a refusal.
    is_retry: bool = False
    #: Time left until its caller itself gives up, if its route does so earlier;
    #: else 0.
    caller_left: float = 0


class Refusal(typing.NamedTuple):
    """No target can serve a request now."""

    reason: outcomes.Reason
    #: Seconds after which a target is expected to have room.
    retry_seconds: float
    #: The owner of the request's key; empty if any target would have done.
    owner: str = ''
    #: Why an admission policy refused; empty if the reason says it all.
    cause: str = ''
    #: Whether the time is drawn for this caller alone, so that it is told as is.
    is_drawn: bool = False


def cheapest(
    views: abc.Sequence[View],
    demand: Demand,
    now: float,
) -> View | Refusal:
    """Returns the usable target with the lowest expected cost.

    How long the request waits there is not looked at.
    """
    usable = [view for view in views if _is_usable(view, demand, now)]
    if not usable:
        return refuse(views, now)
    with_room = [view for view in usable if not view.is_full]
    if not with_room:
        return _refuse_full(usable, now)
    if demand.has_large_answer:
        with_room = _nearby(with_room, demand, now) or with_room
    return min(with_room, key=lambda view: _cost(view, demand, now))


def choose(
    views: abc.Sequence[View],
    demand: Demand,
    now: float,
) -> View | Refusal:
    """Returns the cheapest target if the request can wait for it."""
    best = cheapest(views, demand, now)
    if isinstance(best, Refusal):
        return best
    waiting = standing.waiting_seconds(best.standing, places_of(best), now)
    if waiting > patience(best.standing, demand, now):
        return Refusal(outcomes.Reason.queue_full, bounded_retry(waiting))
    return best


def _nearby(
    views: abc.Sequence[View],
    demand: Demand,
    now: float,
) -> list[View]:
    """Returns the targets of the own failure domain that have room.

    Links between failure domains are scarce, so a large answer crosses one only
    for want of room nearby.
    """
    return [
        view
        for view in views
        if view.target.failure_domain == demand.failure_domain
        and not is_cold(view, now)
        and not view.target.is_draining
        and standing.waiting_seconds(view.standing, places_of(view), now)
        <= patience(view.standing, demand, now)
    ]


def patience(
    known: standing.Standing,
    demand: Demand,
    now: float,
) -> float:
    """Returns how long a request may wait at a target.

    A request that can still be answered in time waits only as long as that
    holds: a longer queue would make those behind it late as well. One that
    is late already waits for a place, not for a queue.
    """
    work = standing.typical_seconds(known, now)
    in_time = demand.aim_left - work * WORK_FACTOR
    if in_time > 0:
        return in_time
    most = min((demand.time_left - work) * WAITING_PART, work * LATE_WAIT_WORKS)
    return max(most, 0)


def is_worth_waiting(refusal: Refusal, aim_left: float) -> bool:
    """Tells whether a refused request can wait and still be answered in time.

    This holds only for targets that named the time at which they take requests
    again; who can't wait for it comes back after that time.
    """
    is_held = refusal.reason is outcomes.Reason.held_off
    return is_held and refusal.retry_seconds <= aim_left * HOLD_PART


def is_cold(view: View, now: float) -> bool:
    """Tells whether a target bears only a few requests a second."""
    until = max(view.target.cold_until, view.standing.doubtful_until)
    return until > now


def excluded(
    views: abc.Sequence[View],
    demand: Demand,
    now: float,
) -> frozenset[str]:
    """Returns the names of the targets that a request cannot be sent to."""
    return frozenset(
        view.target.name for view in views if not _is_usable(view, demand, now)
    )


def refuse(views: abc.Sequence[View], now: float) -> Refusal:
    """Returns why none of `views` can be used."""
    if not views:
        return Refusal(outcomes.Reason.no_owner, MOST_RETRY_SECONDS)
    if any(is_cold(view, now) for view in views):
        return Refusal(outcomes.Reason.cold, LEAST_RETRY_SECONDS * 4)
    holds = [
        view.standing.held_off_until - now
        for view in views
        if view.standing.held_off_until > now
    ]
    if holds:
        return Refusal(
            outcomes.Reason.held_off, max(min(holds), LEAST_RETRY_SECONDS)
        )
    return Refusal(outcomes.Reason.target_unreachable, LEAST_RETRY_SECONDS * 4)


def _is_usable(view: View, demand: Demand, now: float) -> bool:
    if view.target.name in demand.tried or view.standing.held_off_until > now:
        return False
    if demand.version and view.target.version != demand.version:
        return False
    if view.target.is_draining and view.target.used_until <= now:
        return False
    if standing.is_paused(view.standing, view.target.offset, now):
        return False
    if not is_cold(view, now):
        return True
    spacing = now - view.standing.cold_sent_at
    return view.may_warm and spacing >= view.cold_spacing


def _cost(view: View, demand: Demand, now: float) -> float:
    factor = 1.0
    if view.target.failure_domain != demand.failure_domain:
        factor *= REMOTE_FACTOR
    if view.target.is_draining:
        factor *= LEAVING_FACTOR
    if is_cold(view, now):
        factor *= COLD_FACTOR
    return standing.cost(view.standing, places_of(view), now) * factor


def bounded_retry(seconds: float) -> float:
    """Returns the time that a refused caller is told, in seconds."""
    return min(max(seconds, LEAST_RETRY_SECONDS), MOST_RETRY_SECONDS)


def places_of(view: View) -> int:
    """Returns how many requests a target may run at the same time."""
    return view.places or view.target.places


def _refuse_full(views: abc.Sequence[View], now: float) -> Refusal:
    """Returns the refusal for want of room, with the time of the next place."""
    waiting = min(
        standing.waiting_seconds(view.standing, places_of(view), now)
        for view in views
    )
    return Refusal(outcomes.Reason.queue_full, bounded_retry(waiting))
