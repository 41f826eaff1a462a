"""How long work takes at a target, by the requests at work there at once.

Each level of concurrency has an average with exponential forgetting, so the
estimate follows a target whose speed changes, and says how much evidence is
behind it. Averages are of logarithms: the slow-down between two levels is then
a difference, and a straggling request weighs little.
"""

import math
import typing

#: Time constant of forgetting, in seconds: after 2 s an eighth of what was known
#: before a change is left, and some 15 requests of a busy target are remembered.
MEMORY_SECONDS: typing.Final = 1.0
#: The same for a level that gets no samples: a busy target hardly ever runs one
#: request alone, and what is known of that must last until it is needed.
IDLE_MEMORY_SECONDS: typing.Final = 15.0
#: Standard deviations from the average from which a sample shows a change, and
#: the part of the evidence that is kept then. One straggler hardly matters; two
#: in a row leave little of what was known.
CHANGE_DEVIATIONS: typing.Final = 2.5
CHANGE_PART: typing.Final = 0.4
#: Most levels of a curve; a target with more places has several at each level.
MAX_LEVELS: typing.Final = 16
#: Least variance of the logarithm of a time of work: at equal times a handful
#: of samples would be certain otherwise.
MIN_VARIANCE: typing.Final = 0.02
#: Variance that is assumed before samples show one, and the number of samples
#: that it counts for.
ASSUMED_VARIANCE: typing.Final = 0.1
ASSUMED_WEIGHT: typing.Final = 2.0
#: Weight from which a level's average is used.
MIN_WEIGHT: typing.Final = 4.0


class Sample(typing.NamedTuple):
    """One piece of work that a target has done."""

    #: Mean number of requests at work during it, itself included.
    concurrency: float
    #: Time of the work, in seconds at the machine's usual pace.
    seconds: float


class Level(typing.NamedTuple):
    """Work at one level of concurrency."""

    #: Samples, those forgotten left out.
    weight: float = 0
    #: Mean and mean square deviation of the logarithm of the seconds.
    mean: float = 0
    variance: float = 0
    #: Monotonic seconds up to which `weight` has decayed.
    decayed_at: float = 0


class Curve(typing.NamedTuple):
    """The levels of a target, from one request at work to all its places."""

    places: int
    levels: tuple[Level, ...]


class Estimate(typing.NamedTuple):
    """The logarithm of the time of work at a level."""

    mean: float
    #: Squared standard error of `mean`.
    error: float


def new(places: int) -> Curve:
    """Returns the curve of a target of which nothing is known."""
    return Curve(places, (Level(),) * max(min(places, MAX_LEVELS), 1))


def concurrency_of(curve: Curve, level: int) -> float:
    """Returns the requests at work at a level; levels count from 1."""
    return max(curve.places, 1) * level / len(curve.levels)


def add(curve: Curve, sample: Sample, now: float) -> Curve:
    """Adds a sample to the nearest level; one between two levels counts less."""
    position = sample.concurrency * len(curve.levels) / max(curve.places, 1)
    number = min(max(round(position), 1), len(curve.levels))
    weight = max(1 - 2 * abs(position - number), 0)
    if not weight:
        return curve
    known = decayed(curve.levels[number - 1], now, MEMORY_SECONDS)
    deviation = math.log(sample.seconds) - known.mean
    usual = math.sqrt(max(known.variance, MIN_VARIANCE))
    if abs(deviation) > CHANGE_DEVIATIONS * usual:
        known = known._replace(weight=known.weight * CHANGE_PART)
    total = known.weight + weight
    part = weight / total
    changed = Level(
        total,
        known.mean + deviation * part,
        (1 - part) * (known.variance + part * deviation * deviation),
        now,
    )
    return with_level(curve, number, changed)


def with_level(curve: Curve, number: int, level: Level) -> Curve:
    """Returns a curve with one level replaced."""
    levels = (*curve.levels[: number - 1], level, *curve.levels[number:])
    return curve._replace(levels=levels)


def without_levels_from(curve: Curve, number: int) -> Curve:
    """Returns a curve that knows nothing of a level and those above it."""
    kept = curve.levels[: number - 1]
    empty = (Level(),) * (len(curve.levels) - len(kept))
    return curve._replace(levels=(*kept, *empty))


def decayed(
    level: Level, now: float, memory_seconds: float = IDLE_MEMORY_SECONDS
) -> Level:
    """Returns a level with its evidence forgotten up to `now`."""
    age = max(now - level.decayed_at, 0)
    weight = level.weight * math.exp(-age / memory_seconds)
    return level._replace(weight=weight, decayed_at=now)


def estimate(
    curve: Curve, number: int, now: float, weight: float = MIN_WEIGHT
) -> Estimate | None:
    """Returns the time of work at a level; None if it has less than `weight`."""
    known = decayed(curve.levels[number - 1], now)
    if known.weight < weight:
        return None
    variance = (
        known.variance * known.weight + ASSUMED_VARIANCE * ASSUMED_WEIGHT
    ) / (known.weight + ASSUMED_WEIGHT)
    return Estimate(known.mean, max(variance, MIN_VARIANCE) / known.weight)


def work_seconds(curve: Curve, number: int, now: float) -> float | None:
    """Returns the mean time of work at a level in seconds, if it is known."""
    found = estimate(curve, number, now)
    if found is None:
        return None
    return math.exp(found.mean + curve.levels[number - 1].variance / 2)
