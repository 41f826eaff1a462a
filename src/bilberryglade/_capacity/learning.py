"""The policy that learns the limit and the pace of each target from answers."""

import math
import typing
from collections import abc

import loguru

from bilberryglade._capacity import curve, limits, occupancy, policies
from bilberryglade._delivery import send_results
from bilberryglade._targets import choosing, directory, standing
from bilberryglade._values import outcomes

#: Time between two looks at a target's limit while nothing is answered, in
#: seconds: by then a trial may have run out.
STEP_SECONDS: typing.Final = 0.1
#: Age of the newest sample at the limit from which the average over all levels is
#: the better figure, in seconds: the target hardly ever has so many requests.
FRESH_SECONDS: typing.Final = 2.0
#: Age of the last report from which a dispatcher counts as one that doesn't know
#: what others have at the target, in seconds.
UNSEEN_SECONDS: typing.Final = 1.0
#: Time constant by which requests that only a report showed are forgotten, in
#: seconds: about the time of their work.
OTHERS_SECONDS: typing.Final = 0.25
#: Requests that only a report showed, from which samples are left out: their
#: concurrency is not known exactly.
MAX_OTHERS: typing.Final = 0.5
#: Part of the time to its aim that a refused request may wait for a place.
WAIT_PART: typing.Final = 0.5
#: Results that show that a target hangs if it was full.
HANGING: typing.Final = frozenset(
    (send_results.SendResult.silent, send_results.SendResult.lost)
)


class Life:
    """What is known of one life of a target."""

    def __init__(self, target: directory.Target, now: float) -> None:
        """Starts with the configured places as the limit."""
        self.target = target
        self.curve = curve.new(target.places)
        self.limit = limits.Limit(len(self.curve.levels))
        self.occupancy = occupancy.Occupancy(target.places, now)
        #: Requests of others by the last report, and when it came.
        self.others: float = 0
        self.reported_at: float = -math.inf
        #: Requests at the target when each permit was granted.
        self.found: dict[typing.Hashable, int] = {}
        #: Requests that it may have whatever is known; less than any room.
        self.reserve = limits.reserve(target.places)
        #: Monotonic seconds of the last place that a refused request was told.
        self.next_place: float = 0
        #: When the limit was looked at last.
        self.stepped_at = now

    def others_now(self, now: float) -> float:
        """Returns the requests there that have no permit of this dispatcher."""
        if not self.others:
            return 0
        age = max(now - self.reported_at, 0)
        return self.others * math.exp(-age / OTHERS_SECONDS)

    def is_unlimited(self) -> bool:
        """Returns whether the target is used up to its configured places."""
        return self.limit.level == len(self.curve.levels)

    def usable_places(self) -> int:
        """Returns the requests that the target should run at once."""
        places = self.target.places
        level = limits.in_force(self.limit)
        if level >= len(self.curve.levels):
            return places
        return max(int(curve.concurrency_of(self.curve, level)), 1)

    def room(self, now: float) -> int:
        """Returns the requests that may be at the target in all."""
        places = self.target.places
        most = limits.room(self.limit, self.usable_places(), places)
        if now - self.reported_at > UNSEEN_SECONDS:
            return min(most, self.reserve)
        return most

    def seconds(self, now: float) -> float | None:
        """Returns the time of work at the limit, in seconds, if it is known."""
        return curve.work_seconds(self.curve, limits.in_force(self.limit), now)


@policies.policies.register(policies.LEARNT)
class LearntPolicy:
    """Targets take what their answers show that they take well."""

    #: The one that follows counts exactly too, so a target gets nothing that it
    #: can't queue when a dispatcher is lost. It costs these requests 50 ms.
    dispatchers_asked = 2

    def __init__(self) -> None:
        """Starts without any target."""
        self.lives: dict[directory.Life, Life] = {}

    def view(self, view: choosing.View, now: float) -> choosing.View:
        """Returns a view with the places that the target may use now."""
        life = self.lives.get(directory.life_of(view.target))
        if life is None:
            room = limits.reserve(view.target.places)
            is_full = standing.load(view.standing, now) >= room
            return view._replace(is_full=is_full)
        if now - life.stepped_at > STEP_SECONDS:
            self._step(life, now)
        count = len(life.occupancy) + life.others_now(now)
        # Most targets of a large service are like this at any time.
        if (
            count < life.reserve
            and life.limit.trial == 0
            and life.is_unlimited()
        ):
            return view
        return view._replace(
            places=life.usable_places(), is_full=count >= life.room(now)
        )

    def refusal(
        self,
        refusal: choosing.Refusal,
        views: abc.Sequence[choosing.View],
        demand: choosing.Demand,
        now: float,
    ) -> choosing.Refusal:
        """Returns when a place is free, if it was refused for a limit.

        A limited target has no queue of its own, so requests wait for its
        places where they are. Each is told another time.
        """
        if refusal.reason is not outcomes.Reason.queue_full:
            return refusal
        names = {directory.life_of(view.target) for view in views}
        limited = [
            life
            for name, life in self.lives.items()
            if name in names and life.usable_places() < life.target.places
        ]
        if not limited:
            return refusal
        life = min(limited, key=lambda one: one.next_place)
        work = life.seconds(now) or standing.UNKNOWN_SECONDS
        between = work / life.usable_places()
        place_at = max(life.next_place, now) + between
        most = min(demand.aim_left * WAIT_PART, demand.aim_left - work)
        if place_at - now > most:
            return refusal._replace(
                retry_seconds=choosing.bounded_retry(place_at - now)
            )
        life.next_place = place_at
        return choosing.Refusal(outcomes.Reason.held_off, place_at - now)

    def begin(
        self, target: directory.Target, key: typing.Hashable, now: float
    ) -> None:
        """Counts a request at a target."""
        life = self._life(target, now)
        life.found[key] = len(life.occupancy)
        life.occupancy.begin(key, now)

    def end(
        self,
        target: directory.Target,
        key: typing.Hashable,
        finished: send_results.FinishedSend,
        now: float,
    ) -> None:
        """Takes in the time of a request's work, or that there was no room."""
        life = self._life(target, now)
        found = life.found.pop(key, 0)
        report = finished.report
        sample = life.occupancy.end(
            key,
            finished.seconds,
            None if report is None else report.slowness,
            now,
        )
        if report is not None:
            others = report.running + report.waiting - 1 - len(life.occupancy)
            life.others = max(others, 0)
            life.reported_at = now
        result = finished.result
        is_refused = result is send_results.SendResult.shed
        if is_refused or result in HANGING:
            life.limit = limits.refused(life.limit, found, target.places, now)
        is_good = result is send_results.SendResult.good
        if is_good and sample is not None and life.others <= MAX_OTHERS:
            life.curve = curve.add(life.curve, sample, now)
        self._step(life, now)

    def work_seconds(
        self, life: directory.Life, known: standing.Standing, now: float
    ) -> float:
        """Returns the time of work at the limit, for each configured place."""
        learning = self.lives.get(life)
        if learning is None:
            return standing.usual_seconds(known)
        # A trial lasts less than a second and must not move keys.
        level = learning.limit.level
        sampled_at = learning.curve.levels[level - 1].decayed_at
        seconds = curve.work_seconds(learning.curve, level, now)
        if seconds is None or now - sampled_at > FRESH_SECONDS:
            return standing.usual_seconds(known)
        used = curve.concurrency_of(learning.curve, level)
        seconds *= learning.target.places / used
        return standing.usual_seconds(known._replace(seconds=seconds))

    def retain(self, listed: abc.Container[directory.Life]) -> None:
        """Drops lives without requests that are not listed any more."""
        self.lives = {
            name: life
            for name, life in self.lives.items()
            if name in listed or len(life.occupancy)
        }

    def learnt(self, now: float) -> list[policies.Learnt]:
        """Returns what was learnt of each target that had permits here."""
        return [_shown(life, now) for life in self.lives.values()]

    def take(self, told: policies.Learnt, now: float) -> None:
        """Takes in what a dispatcher knew that has left."""
        life = self._life(told.target, now)
        if len(told.levels) != len(life.curve.levels):
            return
        life.others = told.outstanding
        life.reported_at = now
        levels = (curve.Level(*level, now) for level in told.levels)
        life.curve = curve.Curve(told.target.places, tuple(levels))
        level = min(max(told.level, 1), len(told.levels))
        held_until = now + limits.FIRST_HOLD_SECONDS
        life.limit = limits.Limit(level, held_until=held_until)

    def _life(self, target: directory.Target, now: float) -> Life:
        name = directory.life_of(target)
        life = self.lives.get(name)
        if life is None:
            life = Life(target, now)
            self.lives[name] = life
        return life

    def _step(self, life: Life, now: float) -> None:
        life.stepped_at = now
        before = life.limit
        limit = limits.step(life.curve, before, now)
        # What was known of a level that is tried anew must not decide the trial.
        if limit.trial != before.trial and limit.trial > limit.level:
            life.curve = curve.without_levels_from(life.curve, limit.trial)
        life.limit = limits.recovered(limit, life.target.places, now)
        if life.limit.level == before.level and (
            life.limit.bound == before.bound
        ):
            return
        loguru.logger.info(
            'target {}: {} of {} places in use, {} requests at most',
            life.target.name,
            life.usable_places(),
            life.target.places,
            limits.room(life.limit, life.usable_places(), life.target.places),
        )


def _shown(life: Life, now: float) -> policies.Learnt:
    """Returns what is known of a target as others may see it."""
    seconds = life.seconds(now)
    levels = (curve.decayed(level, now) for level in life.curve.levels)
    return policies.Learnt(
        life.target,
        life.limit.level,
        life.usable_places(),
        life.usable_places() / seconds if seconds else 0,
        len(life.occupancy),
        tuple((one.weight, one.mean, one.variance) for one in levels),
    )
