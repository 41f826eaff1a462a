"""A service with two versions, instances and a coordinator, in made-up time.

Only decisions run here; messages are values that arrive a tick later, or not.
"""

import random
import typing
from collections import abc

from bilberryglade._rollouts import (
    counting,
    gathering,
    phases,
    share,
    stepper,
    versions,
)
from bilberryglade._targets import directory
from bilberryglade._targets.tests import samples
from bilberryglade._values import site

TICK_SECONDS: typing.Final = 0.05
REPORT_TICKS: typing.Final = 4
TARGETS: typing.Final = 12
INSTANCES: typing.Final = 8
REQUESTS_PER_SECOND: typing.Final = 300
WORK_SECONDS: typing.Final = 0.12
#: Time after which an answer counts as lost: the timeout of a route.
TIMEOUT_SECONDS: typing.Final = 1.0
LOST_MESSAGES: typing.Final = 0.05
ROUTES: typing.Final = ('look', 'look', 'look', 'look', 'order')
ORDER_SECONDS: typing.Final = 12.0
#: A target slows down on its machine for a fifth of the time, in such spells.
SPELL_SECONDS: typing.Final = 0.4
SPELL_SHARE: typing.Final = 0.2
SPELL_FACTOR: typing.Final = 3.0
#: Bad answers from which the time for a rollback counts.
MANY_BAD: typing.Final = 50


class Send(typing.NamedTuple):
    """A request that is sent."""

    instance: int
    target: directory.Target
    route: str
    at: float
    #: Requests at the target with it.
    load: int

    @property
    def is_new(self) -> bool:
        """Whether it is at the new version."""
        return self.target.version == 'v2'


class Answer(typing.NamedTuple):
    """What the target does with it."""

    ending: counting.Ending = counting.Ending.good
    #: Factor on the usual time of work.
    factor: float = 1


class Case(typing.NamedTuple):
    """How targets behave, and what else happens."""

    name: str
    is_good: bool
    answer: abc.Callable[[Send, random.Random], Answer]
    #: Seconds without a coordinator.
    away: tuple[float, float] = (0, 0)
    requests_per_second: float = REQUESTS_PER_SECOND


class Outcome(typing.NamedTuple):
    """What a run came to."""

    phase: phases.Phase
    #: Seconds from the order to its end.
    ended_at: float
    sent: int
    sent_new: int
    #: Seconds from the 50th bad answer to the last request sent after it.
    trailing: float
    #: Greatest number of requests above the bound while the verdict was open.
    most_beyond: float
    #: Requests at the old version when it was completed.
    left_old: int


def bounds() -> site.Bounds:
    """Returns the bounds of the usual deployments."""
    return site.Bounds(2, 2, 6, 10, 0.2, 64, 10, 1.5, 5)


class Simulation:
    """One order, from its reading to its deadline."""

    def __init__(self, case: Case, seed: int) -> None:
        """Lists targets of both versions."""
        self.case = case
        self.random = random.Random(seed)
        self.now: float = 0
        self.new = [
            samples.target(name=f'n{number}', version='v2')
            for number in range(TARGETS)
        ]
        self.old = [
            samples.target(name=f'o{number}', version='v1')
            for number in range(TARGETS)
        ]
        self.speed = {
            target.name: self.random.uniform(0.6, 1.6)
            for target in (*self.new, *self.old)
        }
        self.spells: dict[tuple[str, int], bool] = {}
        self.decided = stepper.Rollout(1, 's', 'v1', 'v2', ORDER_SECONDS, 0)
        self.told: versions.Told | None = None
        self.credits = [self.random.random() for _ in range(INSTANCES)]
        self.counters = [counting.Counter(1) for _ in range(INSTANCES)]
        self.gathered = gathering.Gathering('v2', {})
        self.running: list[tuple[float, Send, Answer]] = []
        self.load: dict[str, int] = {}
        self.sends: list[Send] = []
        self.bad_at: list[float] = []
        self.most_beyond: float = 0
        self.ended_at: float = 0
        self.left_old = 0
        self.was_away = False

    def run(self) -> Outcome:
        """Returns what the order came to."""
        for tick in range(int(ORDER_SECONDS / TICK_SECONDS)):
            self.now = tick * TICK_SECONDS
            self._end_sends()
            self._send()
            if tick % REPORT_TICKS == 0:
                self._report()
            if self.case.away[0] <= self.now < self.case.away[1]:
                self.was_away = True
            else:
                self._coordinate()
            self._note_bound()
        new = [send for send in self.sends if send.is_new]
        trailing: float = 0
        if len(self.bad_at) >= MANY_BAD:
            last = max(send.at for send in new)
            trailing = last - self.bad_at[MANY_BAD - 1]
        return Outcome(
            self.decided.phase,
            self.ended_at,
            len(self.sends),
            len(new),
            trailing,
            self.most_beyond,
            self.left_old,
        )

    def _coordinate(self) -> None:
        if (
            0 < self.now - self.case.away[1] < TICK_SECONDS
            and self.case.away[1]
        ):
            # A new coordinator knows the record, and is told all counts.
            self.gathered = gathering.Gathering('v2', self.gathered.sent)
            for counter in self.counters:
                counter.retell()
        rollout = self.decided
        offered = len(versions.exposed(self.new, rollout))
        sent = self.gathered.totals()
        waiting = self.gathered.waiting_for(
            rollout.phase,
            [str(number) for number in range(INSTANCES)],
            rollout.stepped_at,
        )
        facts = stepper.Facts(
            judged=self.gathered.judge(self.now, offered),
            sent=sent.all_versions,
            sent_new=sent.new_version,
            is_empty=rollout.share >= 1 and not waiting,
        )
        self.decided = stepper.step(rollout, facts, bounds(), self.now)
        if self.decided.phase in phases.FINAL and not self.ended_at:
            self.ended_at = self.now
            self.left_old = sum(not send.is_new for _, send, _ in self.running)
        self.told = versions.Told(self.decided, self.now + 3)

    def _send(self) -> None:
        rate = self.case.requests_per_second * TICK_SECONDS
        count = int(rate) + (self.random.random() < rate - int(rate))
        for _ in range(count):
            instance = self.random.randrange(INSTANCES)
            target = self._choose(instance)
            load = self.load.get(target.name, 0) + 1
            self.load[target.name] = load
            route = self.random.choice(ROUTES)
            send = Send(instance, target, route, self.now, load)
            self.sends.append(send)
            self.counters[instance].begin(target.version)
            answer = self.case.answer(send, self.random)
            seconds = self._work(target) * answer.factor
            if answer.ending is counting.Ending.lost:
                seconds = TIMEOUT_SECONDS
            self.running.append((self.now + seconds, send, answer))

    def _choose(self, instance: int) -> directory.Target:
        told = self.told
        if told is None or not versions.is_in_force(told, self.now):
            return self._least(self.old)
        if told.rollout.share < 1:
            turn = share.next_turn(self.credits[instance], told.rollout.share)
            self.credits[instance] = turn.credit
            if not turn.is_new:
                return self._least(self.old)
        return self._least(versions.exposed(self.new, told.rollout))

    def _least(self, targets: list[directory.Target]) -> directory.Target:
        self.random.shuffle(targets)
        return min(targets, key=lambda one: self.load.get(one.name, 0))

    def _work(self, target: directory.Target) -> float:
        spell = (target.name, int(self.now / SPELL_SECONDS))
        if spell not in self.spells:
            self.spells[spell] = self.random.random() < SPELL_SHARE
        factor = SPELL_FACTOR if self.spells[spell] else 1
        noise = self.random.uniform(0.7, 1.3)
        return WORK_SECONDS * self.speed[target.name] * factor * noise

    def _end_sends(self) -> None:
        ended = [one for one in self.running if one[0] <= self.now]
        self.running = [one for one in self.running if one[0] > self.now]
        for _, send, answer in ended:
            self.load[send.target.name] -= 1
            if send.is_new and answer != Answer():
                self.bad_at.append(self.now)
            key = counting.CellKey(
                send.target.name, send.target.version, send.route
            )
            self.counters[send.instance].end(
                key, answer.ending, self.now - send.at
            )

    def _report(self) -> None:
        for number, counter in enumerate(self.counters):
            cells = counter.take_fresh()
            if self.random.random() < LOST_MESSAGES:
                continue
            running_old = sum(
                not send.is_new and send.instance == number
                for _, send, _ in self.running
            )
            phase = '' if self.told is None else self.told.rollout.phase.value
            name = str(number)
            sent = gathering.Sent(
                sum(counter.sent.values()), counter.sent.get('v2', 0)
            )
            standing = gathering.Standing(phase, running_old, self.now)
            self.gathered.take(
                gathering.Told(name, name, sent, standing, cells)
            )

    def _note_bound(self) -> None:
        if self.decided.phase is phases.Phase.exposing:
            new = sum(send.is_new for send in self.sends)
            allowed = bounds().exposure_share * len(self.sends)
            self.most_beyond = max(
                self.most_beyond, new - allowed - bounds().exposure_slack
            )
