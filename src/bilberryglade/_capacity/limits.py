"""The number of requests that a target takes well, from its curve.

The limit starts at the configured places. It falls only if a lower level
finishes more requests a second beyond doubt. A busy target runs at its limit
all the time, so other levels are known by short trials alone.
"""

import math
import typing

from bilberryglade._capacity import curve

#: Gain in requests a second from which a lower limit is worth having, as a
#: logarithm. With as many requests a second each one's work is shorter.
MIN_GAIN: typing.Final = 0
#: Standard errors by which the gain must exceed `MIN_GAIN`. On the load model 2.5
#: found slow-downs too late to help, and 1.5 helped no more than 2.
SIGNIFICANT_ERRORS: typing.Final = 2.0
#: Time for which a lowered limit stays before a higher one is tried, in seconds:
#: at first, and at most after repeated trials have failed.
FIRST_HOLD_SECONDS: typing.Final = 1.5
MAX_HOLD_SECONDS: typing.Final = 6.0
#: Time between two trials of a lower limit at a busy target, in seconds: at
#: first, and at most after repeated trials have failed. A trial of a target that
#: doesn't slow down costs it about a place for half a second.
FIRST_PAUSE_SECONDS: typing.Final = 0.5
MAX_PAUSE_SECONDS: typing.Final = 30.0
#: Longest time of a trial, in seconds; twice that while it seems to gain.
TRIAL_SECONDS: typing.Final = 1.5
#: Times of work that a target's full queue takes until it runs fewer requests at
#: once than before: four for two places and six waiting.
DRAIN_WORKS: typing.Final = 4.0
#: Part of the samples at the limit from which a target counts as busy.
BUSY_PART: typing.Final = 0.6
#: Weight of a lower level's samples from which they say whether a trial of it
#: promises anything.
HINT_WEIGHT: typing.Final = 0.3
#: Weight of the samples of a tried level from which a trial that promises nothing
#: is ended.
TRIAL_WEIGHT: typing.Final = 1.0
#: Gain of a lower level, as a logarithm, from which a trial promises something.
HINT_GAIN: typing.Final = 0
#: Requests that targets of the platform let wait; it answers none beyond that.
QUEUE_PLACES: typing.Final = 8
#: Requests that a dispatcher may send to a target before it has a recent report
#: of what others have there, and that other dispatchers leave free for that.
MAX_RESERVE: typing.Final = 4
#: Time after which the bound from a refusal rises by one again, in seconds.
BOUND_SECONDS: typing.Final = 2.0


class Limit(typing.NamedTuple):
    """The limit of one life of a target; times are monotonic seconds."""

    #: Level of the curve up to which the target is used.
    level: int
    #: Level that is tried instead; 0 if none is.
    trial: int = 0
    #: When the trial ends at the latest.
    trial_until: float = 0
    #: Until then no higher level is tried.
    held_until: float = 0
    #: Length of the next hold, in seconds.
    hold_seconds: float = FIRST_HOLD_SECONDS
    #: Until then no lower level is tried.
    paused_until: float = 0
    #: Length of the next pause, in seconds.
    pause_seconds: float = FIRST_PAUSE_SECONDS
    #: Logarithm of the time of work at the limit when the last trial ended.
    tried_mean: float = 0
    #: Most requests at the target in all, after it refused or hung when full;
    #: 0 if it did neither.
    bound: int = 0
    #: When `bound` was lowered or raised last.
    bound_at: float = 0


def in_force(limit: Limit) -> int:
    """Returns the level up to which a target is used now."""
    return limit.trial or limit.level


def step(known: curve.Curve, limit: Limit, now: float) -> Limit:
    """Returns the limit after new evidence, or after time has passed."""
    if limit.trial > limit.level:
        return _after_rise(known, limit, now)
    best = best_level(known, limit.level, now)
    if best < limit.level:
        return _lowered(limit, best, now)
    if limit.trial:
        return _after_fall(known, limit, now)
    if limit.level < len(known.levels):
        if now >= limit.held_until:
            return limit._replace(
                trial=limit.level + 1, trial_until=now + TRIAL_SECONDS
            )
    return _with_lower_trial(known, limit, now)


def best_level(known: curve.Curve, top: int, now: float) -> int:
    """Returns the highest level up to `top` that no lower one clearly beats."""
    while top > 1 and any(
        _is_beaten(known, top, lower, now) for lower in range(1, top)
    ):
        top -= 1
    return top


def _lowered(limit: Limit, level: int, now: float) -> Limit:
    return limit._replace(
        level=level,
        trial=0,
        held_until=now + limit.hold_seconds,
        hold_seconds=min(limit.hold_seconds * 2, MAX_HOLD_SECONDS),
        paused_until=now + FIRST_PAUSE_SECONDS,
        pause_seconds=FIRST_PAUSE_SECONDS,
    )


def _after_rise(known: curve.Curve, limit: Limit, now: float) -> Limit:
    """Ends the trial of a higher level once enough is known of it.

    With few requests nothing is learnt, and a higher limit does no harm.
    """
    tried = curve.estimate(known, limit.trial, now, TRIAL_WEIGHT)
    own = curve.estimate(known, limit.level, now, TRIAL_WEIGHT)
    if tried is not None and own is not None:
        gain = _log_ratio(known, limit.level, limit.trial)
        if gain + tried.mean - own.mean > MIN_GAIN:
            return _lowered(limit, limit.level, now)
    is_known = curve.estimate(known, limit.trial, now) is not None
    if not is_known and now < limit.trial_until:
        return limit
    return limit._replace(
        level=limit.trial,
        trial=0,
        held_until=now + FIRST_HOLD_SECONDS,
        hold_seconds=FIRST_HOLD_SECONDS,
        paused_until=now + limit.pause_seconds,
    )


def _after_fall(known: curve.Curve, limit: Limit, now: float) -> Limit:
    """Ends the trial of a lower level, unless it promises a gain."""
    gain = _gain(known, limit.level, limit.trial, now, TRIAL_WEIGHT)
    if now < limit.trial_until and (gain is None or gain > HINT_GAIN):
        return limit
    gain = _gain(known, limit.level, limit.trial, now)
    is_promising = gain is not None and gain > MIN_GAIN
    if is_promising and now < limit.trial_until + TRIAL_SECONDS:
        return limit
    own = curve.estimate(known, limit.level, now, HINT_WEIGHT)
    return limit._replace(
        trial=0,
        tried_mean=limit.tried_mean if own is None else own.mean,
        paused_until=now + limit.pause_seconds,
        pause_seconds=min(limit.pause_seconds * 2, MAX_PAUSE_SECONDS),
    )


def _with_lower_trial(known: curve.Curve, limit: Limit, now: float) -> Limit:
    """Begins the trial of a lower level if the target is busy and it is due."""
    if limit.level == 1 or not _is_busy(known, limit.level, now):
        return limit
    own = curve.estimate(known, limit.level, now)
    # Work that takes longer than at the last trial by more than the lower level
    # has fewer requests may make that level the better one.
    slower = _log_ratio(known, limit.level, limit.level - 1)
    is_slower = own is not None and own.mean - limit.tried_mean > slower
    if now < limit.paused_until and not is_slower:
        return limit
    gain = _gain(known, limit.level, limit.level - 1, now, HINT_WEIGHT)
    if gain is not None and gain < HINT_GAIN:
        return limit
    drain_seconds = 0 if own is None else math.exp(own.mean) * DRAIN_WORKS
    return limit._replace(
        trial=limit.level - 1,
        trial_until=now + drain_seconds + TRIAL_SECONDS,
    )


def _is_busy(known: curve.Curve, level: int, now: float) -> bool:
    """Returns whether a target runs as many requests as it may nearly always."""
    weights = [curve.decayed(one, now).weight for one in known.levels]
    least = max(curve.MIN_WEIGHT, sum(weights) * BUSY_PART)
    return weights[level - 1] >= least


def refused(limit: Limit, others: int, places: int, now: float) -> Limit:
    """Takes in that a target with `others` at it had no room for one more.

    A target with fewer requests than places is not full but faulty.
    """
    if others < places:
        return limit
    bound = min(limit.bound or others, others)
    return limit._replace(bound=bound, bound_at=now)


def recovered(limit: Limit, places: int, now: float) -> Limit:
    """Returns the limit with its bound raised after a time without refusals."""
    if not limit.bound or now - limit.bound_at < BOUND_SECONDS:
        return limit
    raised = limit.bound + 1
    if raised >= places + QUEUE_PLACES:
        raised = 0
    return limit._replace(bound=raised, bound_at=now)


def room(limit: Limit, usable_places: int, places: int) -> int:
    """Returns how many requests may be at a target in all.

    A target that is limited queues nothing, or it would run more at once. Part
    of its queue is left to a dispatcher that takes over.
    """
    if usable_places < places:
        return max(usable_places, 1)
    most = places + QUEUE_PLACES - reserve(places)
    return min(most, limit.bound) if limit.bound else most


def reserve(places: int) -> int:
    """Returns how many requests a dispatcher may send without any report."""
    return max(min(places, MAX_RESERVE), 1)


def _gain(
    known: curve.Curve,
    level: int,
    lower: int,
    now: float,
    weight: float = curve.MIN_WEIGHT,
) -> float | None:
    """Returns the gain in requests a second of a lower level over a level.

    It is a logarithm; None if the lower level's samples have less than `weight`.
    """
    own = curve.estimate(known, level, now)
    other = curve.estimate(known, lower, now, weight)
    if own is None or other is None:
        return None
    return _log_ratio(known, lower, level) + own.mean - other.mean


def _is_beaten(known: curve.Curve, level: int, lower: int, now: float) -> bool:
    """Returns whether a lower level finishes clearly more requests a second."""
    own = curve.estimate(known, level, now)
    other = curve.estimate(known, lower, now)
    if own is None or other is None:
        return False
    gain = _log_ratio(known, lower, level) + own.mean - other.mean
    error = math.sqrt(own.error + other.error)
    return gain > MIN_GAIN + SIGNIFICANT_ERRORS * error


def _log_ratio(known: curve.Curve, lower: int, level: int) -> float:
    """Returns the logarithm of the ratio of two levels' requests at work."""
    return math.log(
        curve.concurrency_of(known, lower) / curve.concurrency_of(known, level)
    )
