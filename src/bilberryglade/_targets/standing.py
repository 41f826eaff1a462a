"""What one instance knows of a target from its own exchanges with it.

Load reports lag, so a report counts for less the older it is; what the
instance has under way itself is always exact.
"""

import math
import statistics
import typing

#: Seconds after which a load report has lost most of its weight.
REPORT_LIFE_SECONDS: typing.Final = 0.25
#: Weight of a new observation in a moving average.
NEW_WEIGHT: typing.Final = 0.15
#: The same for the time of work and the mean pace, which hardly change; all
#: answers count evenly at first.
NEW_WORK_WEIGHT: typing.Final = 0.05
#: Reports whose median is the pace of a target without its short slow spells.
PACE_REPORTS: typing.Final = 9
#: Seconds that work at an unknown target is expected to take.
UNKNOWN_SECONDS: typing.Final = 0.1
#: First pause after a failed exchange, and the longest one.
PAUSE_SECONDS: typing.Final = 0.3
LONGEST_PAUSE_SECONDS: typing.Final = 2.0
#: Slow-down of the work at a target whose places are all taken.
BUSY_WEIGHT: typing.Final = 0.3
#: Seconds after a refused connection in which a target may come back cold.
DOUBT_SECONDS: typing.Final = 3.0
#: Bound on a reported slowness; what is below it is taken for an error.
LEAST_SLOWNESS: typing.Final = 0.05
#: Least share of its work that a target is taken to do.
LEAST_DONE: typing.Final = 0.2
#: Share of failed answers that doubles the expected cost of a target.
FAILURE_WEIGHT: typing.Final = 4.0


class Report(typing.NamedTuple):
    """How busy a target said it was, in an answer."""

    #: Requests at work, the answered one included.
    running: int
    waiting: int
    #: How long work takes on its machine now, 1 as usual.
    slowness: float = 1.0


class Answer(typing.NamedTuple):
    """What a target's whole answer tells of it."""

    #: Time of the work alone; None if the wait before it is not known.
    work_seconds: float | None
    #: None if the target told nothing of its load.
    report: Report | None
    is_good: bool


class Standing(typing.NamedTuple):
    """The view of one life of a target; times are monotonic seconds."""

    #: Own requests at the target now.
    outstanding: int = 0
    #: Requests of other instances there, by its last report.
    others: float = 0
    reported_at: float = 0
    #: Moving average of `others`.
    usual_others: float = 0
    #: Moving average of the time of work at a slowness of 1, and the answers
    #: in it; 0 before the first.
    seconds: float = 0
    answers: int = 0
    #: By the last report.
    slowness: float = 1.0
    #: Moving average of `slowness`, and the reports in it.
    usual_slowness: float = 1.0
    reports: int = 0
    #: The newest ones of `slowness`.
    paces: tuple[float, ...] = ()
    #: Moving average: 1 for a failed answer, 0 for a good one.
    failing: float = 0
    #: Failed exchanges in a row.
    losses: int = 0
    #: No request is sent before this.
    paused_until: float = 0
    #: Offset of the entry that was known when an exchange was lost last.
    lost_offset: int = -1
    #: Until then the target may have started again, cold and unlisted.
    doubtful_until: float = 0
    #: When this instance last sent to the target while it was cold.
    cold_sent_at: float = 0
    #: Until then the target wants nothing from this instance, by its own word.
    held_off_until: float = 0


def sent(standing: Standing) -> Standing:
    """Counts a request on its way."""
    return standing._replace(outstanding=standing.outstanding + 1)


def ended(standing: Standing) -> Standing:
    """Counts a request that is not under way any more."""
    return standing._replace(outstanding=max(standing.outstanding - 1, 0))


def answered(
    standing: Standing,
    answer: Answer,
    now: float,
) -> Standing:
    """Takes in a whole answer."""
    failing = _mixed(standing.failing, 0 if answer.is_good else 1)
    known = standing._replace(failing=failing, losses=0, paused_until=0)
    report = answer.report
    pace = 1.0 if report is None else max(report.slowness, LEAST_SLOWNESS)
    # An error may come without any work; it tells nothing of its time.
    if answer.is_good and answer.work_seconds is not None:
        known = known._replace(
            seconds=_mixed_seconds(known, answer.work_seconds / pace),
            answers=known.answers + 1,
        )
    if report is None:
        return known
    # The report still counts the answered request, `outstanding` does not.
    others = max(report.running + report.waiting - 1 - known.outstanding, 0)
    return known._replace(
        others=others,
        reported_at=now,
        usual_others=_mixed(known.usual_others, others),
        slowness=report.slowness,
        usual_slowness=_mixed_pace(known, report.slowness),
        reports=known.reports + 1,
        paces=(*known.paces[1 - PACE_REPORTS :], report.slowness),
    )


def shed(standing: Standing, places: int, now: float) -> Standing:
    """Takes in that a target had no room: it is full of others' requests."""
    others = max(places * 3 - standing.outstanding, places)
    return standing._replace(others=others, reported_at=now)


def held_off(standing: Standing, seconds: float, now: float) -> Standing:
    """Takes in that a target wants nothing from this instance for a while.

    A later answer of a shorter time does not end an earlier one.
    """
    until = max(standing.held_off_until, now + seconds)
    return standing._replace(held_off_until=until)


def failed(standing: Standing) -> Standing:
    """Takes in that a target did not do what it had room for."""
    return standing._replace(failing=_mixed(standing.failing, 1.0))


def lost(standing: Standing, offset: int, now: float) -> Standing:
    """Takes in a failed exchange; the pause doubles with each in a row."""
    losses = standing.losses + 1
    pause = min(PAUSE_SECONDS * 2 ** (losses - 1), LONGEST_PAUSE_SECONDS)
    return standing._replace(
        losses=losses,
        paused_until=now + pause,
        failing=_mixed(standing.failing, 1.0),
        lost_offset=offset,
    )


def unreachable(standing: Standing, offset: int, now: float) -> Standing:
    """Takes in that a target took no connection: it may have ended."""
    paused = lost(standing, offset, now)
    return paused._replace(doubtful_until=now + DOUBT_SECONDS)


def silent(standing: Standing, offset: int, now: float) -> Standing:
    """Takes in that an answer did not come in time; one may just be late."""
    if standing.losses:
        return lost(standing, offset, now)
    return standing._replace(losses=1)


def is_paused(standing: Standing, offset: int, now: float) -> bool:
    """Tells whether the target gets nothing after a failed exchange.

    A newer entry of the target ends the pause of a single loss. After more
    of them one request at a time tries whether the target answers again.
    """
    if standing.paused_until <= now:
        return standing.losses > 1 and standing.outstanding > 0
    return standing.losses > 1 or offset <= standing.lost_offset


def load(standing: Standing, now: float) -> float:
    """Returns the requests expected at the target now."""
    trust = _trust(standing, now)
    others = standing.others * trust + standing.usual_others * (1 - trust)
    return standing.outstanding + others


def typical_seconds(standing: Standing, now: float) -> float:
    """Returns how long work that does not wait takes now."""
    trust = _trust(standing, now)
    pace = standing.slowness * trust + standing.usual_slowness * (1 - trust)
    return (standing.seconds or UNKNOWN_SECONDS) * pace


def usual_seconds(standing: Standing) -> float:
    """Returns how long work takes between a target's short slow spells.

    What it fails counts as time lost. It is 0 before the first exchange.
    """
    pace = statistics.median(standing.paces) if standing.paces else 1.0
    done = max(1 - standing.failing, LEAST_DONE)
    return standing.seconds * pace / done


def waiting_rounds(standing: Standing, places: int, now: float) -> float:
    """Returns how many times of usual work one more request waits for."""
    ahead = load(standing, now) - places + 1
    return max(ahead, 0) / places


def waiting_seconds(standing: Standing, places: int, now: float) -> float:
    """Returns how long one more request is expected to wait."""
    rounds = waiting_rounds(standing, places, now)
    return rounds * typical_seconds(standing, now)


def cost(standing: Standing, places: int, now: float) -> float:
    """Returns the time that one more request is expected to take in all."""
    busy = load(standing, now) / places
    usual = typical_seconds(standing, now) * (1 + busy * BUSY_WEIGHT)
    penalty = 1 + FAILURE_WEIGHT * standing.failing
    return (usual + waiting_seconds(standing, places, now)) * penalty


def _trust(standing: Standing, now: float) -> float:
    """Returns the weight of the last report, from 1 down to 0."""
    age = max(now - standing.reported_at, 0)
    return math.exp(-age / REPORT_LIFE_SECONDS)


def _mixed(before: float, new: float) -> float:
    return before + (new - before) * NEW_WEIGHT


def _mixed_seconds(standing: Standing, seconds: float) -> float:
    """Returns the time of work; what is expected at first counts as one."""
    weight = max(1 / (standing.answers + 2), NEW_WORK_WEIGHT)
    before = standing.seconds or UNKNOWN_SECONDS
    return before + (seconds - before) * weight


def _mixed_pace(standing: Standing, slowness: float) -> float:
    weight = max(1 / (standing.reports + 1), NEW_WORK_WEIGHT)
    before = standing.usual_slowness
    return before + (slowness - before) * weight
