"""Gives a place to the requests for which it is worth most.

A request's worth is not known. Its urgency orders it among others, and its
answer is worth most within its aim. So of the requests that can still be in
time the more urgent ones go first, and those that can't take no place that
others want.
"""

import enum
import typing
from collections import abc

from bilberryglade._admission import appointments, demands, policies, prices
from bilberryglade._targets import choosing, standing
from bilberryglade._values import outcomes

#: Requests that wait at one target. Targets queue up to 8, and those of one
#: deployment never answer what they can't queue; two are left for requests that
#: were sent without a permit.
MOST_WAITING: typing.Final = 6
#: Demand, as a part of the capacity, below which there is no competition.
CALM_PART: typing.Final = 0.9
#: Demand, as a part of the capacity, from which on requests that can't be in
#: their aim take no place that others want. Below that there is room for them
#: after a burst.
LATE_PART: typing.Final = 1.5
#: Part of the time to the aim, less the work, that may be spent in the queue
#: while demand exceeds the capacity: a slow spell of the target takes the rest.
WAIT_PART: typing.Final = 0.8
#: Demand, as a part of the capacity, from which on that holds in full.
HEAVY_PART: typing.Final = 3.0
#: Part of the capacity that is kept for callers that come back, while demand
#: exceeds the capacity. Below that they get what demand leaves.
RETURN_PART: typing.Final = 0.6
#: Part of the wait after which a refused caller may come back at the earliest:
#: the rest of the queue is a wait in time.
EARLIEST_PART: typing.Final = 0.5
#: Longest part of its time left that a caller waits after a refusal.
PATIENCE_PART: typing.Final = 1 / 3
#: Longest time that a caller is told if no time has room for it.
LONGEST_TOLD_SECONDS: typing.Final = 3.0
#: Least capacity that is reckoned with, in requests a second.
LEAST_CAPACITY: typing.Final = 0.5


#: Part of the longest wait of the next more urgent kind that a less urgent one
#: may wait: the rest of the queue is kept for the former. Less urgent ones have
#: later aims, so that without it they are served more often.
BEHIND_PART: typing.Final = 0.75


class Cause(enum.StrEnum):
    """Why a request is refused."""

    #: The target can't queue more.
    full = 'full'
    #: The queue is too long for the request's aim.
    queue = 'queue'
    #: Its answer would be late, and others compete that can be in time.
    late = 'late'
    #: Its kind has had its share of the places.
    share = 'share'


class Place(typing.NamedTuple):
    """What a request would find at the target chosen for it."""

    view: choosing.View
    #: Expected wait and work there, in seconds.
    wait: float
    work: float
    #: Requests that it waits for, in places.
    ahead: float
    #: Demand at the pool as a part of its capacity.
    pressure: float
    #: Requests a second that the pool serves.
    capacity: float


class Asked(typing.NamedTuple):
    """A request as the policy looks at it."""

    demand: choosing.Demand
    now: float
    #: Kind that it counts for, and that kind.
    urgency: int | None
    kind: demands.Kind
    #: Requests a second of its kind that get a place.
    admitted_rate: float
    #: Whether its caller comes back for an appointment.
    is_expected: bool


@policies.policies.register(policies.BY_WORTH)
def decide(
    memory: demands.Memory,
    views: abc.Sequence[choosing.View],
    demand: choosing.Demand,
    moment: policies.Moment,
) -> policies.Decision:
    """Admits a request, or tells its caller a time that has room for it."""
    now = moment.now
    arrived = demands.arrive(memory, demand, now)
    best = choosing.cheapest(views, demand, now)
    if isinstance(best, choosing.Refusal):
        return policies.Decision(arrived.memory, best)
    rates = demands.rates(arrived.memory, now)
    place = _place(best, views, sum(rates.values()), now)
    asked = _asked(arrived, demand, prices.shares(rates, place.capacity), now)
    cause = _cause(arrived.memory, place, asked)
    if cause is not None:
        return _refuse(arrived.memory, place, asked, cause, moment.chance)
    # Who comes back was reckoned with when the appointment was made.
    spent = 0 if asked.is_expected else -1
    kind = demands.credited(asked.kind, spent)
    return policies.Decision(arrived.memory.set(asked.urgency, kind), best)


def _asked(
    arrived: demands.Arrived,
    demand: choosing.Demand,
    shares: dict[int | None, float],
    now: float,
) -> Asked:
    share = shares[arrived.urgency]
    kind = demands.credited(arrived.memory[arrived.urgency], share)
    asked = Asked(
        demand=demand,
        now=now,
        urgency=arrived.urgency,
        kind=kind,
        admitted_rate=demands.rate_of(kind, now) * share,
        is_expected=False,
    )
    return _with_appointment(asked)


def _with_appointment(asked: Asked) -> Asked:
    """Looks up whether a caller comes back for its appointment."""
    if not asked.demand.is_retry:
        return asked
    kept = appointments.keep(asked.kind.book, asked.now)
    if kept is None:
        return asked
    return asked._replace(kind=asked.kind._replace(book=kept), is_expected=True)


def _place(
    best: choosing.View,
    views: abc.Sequence[choosing.View],
    demand_rate: float,
    now: float,
) -> Place:
    capacity = max(_capacity(views, now), LEAST_CAPACITY)
    places = choosing.places_of(best)
    return Place(
        view=best,
        wait=standing.waiting_seconds(best.standing, places, now),
        work=standing.typical_seconds(best.standing, now),
        ahead=standing.load(best.standing, now) - places + 1,
        pressure=demand_rate / capacity,
        capacity=capacity,
    )


def _capacity(views: abc.Sequence[choosing.View], now: float) -> float:
    """Returns the requests a second that warm targets serve.

    Slow spells count by their mean. There is a turn for each target of a pool
    at each decision, so that nothing is called in it.
    """
    capacity: float = 0
    for view in views:
        target, known = view.target, view.standing
        if target.is_draining or target.cold_until > now:
            continue
        pace = known.usual_slowness
        if pace < standing.LEAST_SLOWNESS:
            pace = standing.LEAST_SLOWNESS
        seconds = known.seconds or standing.UNKNOWN_SECONDS
        capacity += choosing.places_of(view) / (seconds * pace)
    return capacity


def _cause(
    memory: demands.Memory,
    place: Place,
    asked: Asked,
) -> Cause | None:
    """Returns why a request is refused; None if it is admitted."""
    if place.ahead > MOST_WAITING:
        return Cause.full
    in_time = asked.demand.aim_left - place.work * choosing.WORK_FACTOR
    is_calm = place.pressure < CALM_PART
    is_free = place.ahead + _reserved(memory, asked.now) <= 0
    if in_time <= 0 and place.pressure >= LATE_PART:
        return None if is_free else Cause.late
    if place.wait > _longest_wait(memory, place, asked):
        return Cause.queue
    if is_calm or is_free or asked.is_expected:
        return None
    least_credit = 0 if asked.demand.is_retry else 1
    return None if asked.kind.credit >= least_credit else Cause.share


def _longest_wait(
    memory: demands.Memory,
    place: Place,
    asked: Asked,
) -> float:
    """Returns how long a request may wait at its target, in seconds.

    It must not wait so long that more urgent ones behind it, whose aims may be
    shorter, can't be in time any more.
    """
    now = asked.now
    longest = choosing.patience(place.view.standing, asked.demand, now)
    ahead = [
        kind.aim - place.work * choosing.WORK_FACTOR
        for kind in demands.more_urgent(memory, asked.urgency)
        if demands.rate_of(kind, now) > demands.LEAST_RATE
    ]
    if ahead:
        theirs = max(min(ahead), 0)
        longest = min(longest, theirs * BEHIND_PART ** len(ahead))
    return longest if asked.is_expected else longest * _wait_part(place)


def _wait_part(place: Place) -> float:
    """Returns the part of its longest wait that a first comer may wait."""
    excess = (place.pressure - CALM_PART) / (HEAVY_PART - CALM_PART)
    return 1 - min(max(excess, 0), 1) * (1 - WAIT_PART)


def _reserved(memory: demands.Memory, now: float) -> float:
    """Returns the places that are kept for callers about to come back."""
    until = now + appointments.EARLY_SECONDS
    return sum(appointments.due(kind.book, until) for kind in memory.values())


def _spacing(place: Place, admitted_rate: float) -> float:
    """Returns the seconds in which a place is free for one that comes back."""
    left = 1 - place.pressure
    if left > RETURN_PART:
        return 1 / (place.capacity * left)
    return 1 / max(admitted_rate * RETURN_PART, LEAST_CAPACITY)


def _refuse(
    memory: demands.Memory,
    place: Place,
    asked: Asked,
    cause: Cause,
    chance: float,
) -> policies.Decision:
    """Refuses a request and books a time for its caller to come back."""
    bounds = _return_bounds(place, asked)
    booked = appointments.make(
        asked.kind.book, bounds, _spacing(place, asked.admitted_rate), chance
    )
    at = booked.at
    if at is None:
        # No time that the caller can wait for has room; this is the next one.
        at = max(*bounds, *booked.book.times[-1:])
        at = min(at, asked.now + LONGEST_TOLD_SECONDS)
    refusal = choosing.Refusal(
        outcomes.Reason.queue_full,
        max(at - asked.now, choosing.LEAST_RETRY_SECONDS),
        cause=cause.value,
        is_drawn=True,
    )
    kind = asked.kind._replace(book=booked.book)
    return policies.Decision(memory.set(asked.urgency, kind), refusal)


def _return_bounds(place: Place, asked: Asked) -> tuple[float, float]:
    """Returns the first and the last moment at which a caller may come back.

    Under pressure it is only told a time at which it can still be in its
    aim.
    """
    earliest = max(place.wait * EARLIEST_PART, choosing.LEAST_RETRY_SECONDS)
    demand = asked.demand
    latest = max(demand.time_left, demand.caller_left, 0) * PATIENCE_PART
    if place.pressure >= LATE_PART:
        in_time = demand.aim_left - place.work * (choosing.WORK_FACTOR + 1)
        latest = min(latest, in_time)
    return asked.now + earliest, asked.now + latest
