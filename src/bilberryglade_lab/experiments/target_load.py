"""Targets and callers on a virtual clock, served through a permit ledger.

A target runs up to its places at once and queues eight more; what it cannot
queue it never answers. Its work slows down by the number at work.
"""

import heapq
import random
import typing
from collections import abc

from bilberryglade._capacity import policies
from bilberryglade._delivery import permits, send_results
from bilberryglade._targets import choosing, directory, standing

#: One way between instances, and between an instance and a target, in seconds.
LATENCY: typing.Final = 0.0014
QUEUE: typing.Final = 8
#: Least time left for which a request is sent, in seconds.
MIN_LEFT: typing.Final = 0.01
#: Spells of three times the work time: their mean length, and mean time between.
SPELL_SECONDS: typing.Final = 0.4
CALM_SECONDS: typing.Final = 1.6
SPELL_PACE: typing.Final = 3.0
#: Part of the time left for which a caller waits before it comes back.
RETURN_PART: typing.Final = 1 / 3

SendResult = send_results.SendResult
Event: typing.TypeAlias = abc.Callable[[], None]


class TargetKind(typing.NamedTuple):
    """How a target behaves."""

    speed: float = 1.0
    #: Factor on the time of work by the number at work, from one on.
    slow_down: tuple[float, ...] = (1.0, 1.0)
    has_spells: bool = False
    #: Seconds of the run at which the kind changes, and into what.
    changes_at: float | None = None
    changed: 'TargetKind | None' = None


class CallerKind(typing.NamedTuple):
    """One kind of request; times are in seconds."""

    rate: float
    work: float = 0.121
    aim: float = 0.611
    deadline: float = 2.434
    retries: int = 1


class Result(typing.NamedTuple):
    """What callers got, as shares of all requests but for `waits`."""

    in_aim: float
    late: float
    refused: float
    lost: float
    #: Mean time to an answer in seconds.
    waits: float
    #: Answers a second.
    throughput: float


class Job:
    """A request of a caller."""

    def __init__(self, kind: CallerKind, owner: str, now: float) -> None:
        """Arrives at `now`."""
        self.kind = kind
        self.owner = owner
        self.arrived = now
        self.retries = kind.retries
        self.key: permits.PermitKey = ('', 0)
        self.sent_at: float = 0
        self.work: float = 0
        self.work_left: float = 0
        self.done_at: float | None = None
        self.state = 'refused'


class ModelTarget:
    """A target that shares the time of its machine with others."""

    def __init__(self, name: str, kind: TargetKind, chance: random.Random):
        """Starts idle."""
        self.kind = kind
        self.chance = chance
        self.places = len(kind.slow_down)
        self.entry = directory.Target(
            name=name,
            born=1,
            service='s',
            address='127.0.0.1:1',
            failure_domain='a',
            places=self.places,
            is_draining=False,
            cold_until=0,
            sequence=1,
            offset=1,
        )
        self.running: list[Job] = []
        self.waiting: list[Job] = []
        self.pace = 1.0
        self.at: float = 0
        self.version = 0
        self.most_running = 0
        self.hung = 0

    def rate(self) -> float:
        """Returns the work that each request gets done in a second."""
        slow = self.kind.slow_down[max(len(self.running), 1) - 1]
        return self.kind.speed / (slow * self.pace)

    def advance(self, now: float) -> None:
        """Does the work up to `now`."""
        done = (now - self.at) * self.rate()
        for job in self.running:
            job.work_left -= done
        self.at = now
        self.version += 1

    def arrive(self, job: Job) -> bool:
        """Takes a request; false if it can't be queued."""
        if len(self.running) < self.places:
            self.running.append(job)
        elif len(self.waiting) < QUEUE:
            self.waiting.append(job)
        else:
            self.hung += 1
            return False
        return True

    def next_end(self) -> float | None:
        """Returns when the next request is done, if nothing changes."""
        if not self.running:
            return None
        left = min(job.work_left for job in self.running)
        return self.at + max(left, 0) / self.rate()

    def finish(self) -> Job:
        """Ends the request that is done."""
        job = min(self.running, key=lambda one: one.work_left)
        self.running.remove(job)
        if self.waiting:
            self.running.append(self.waiting.pop(0))
        return job


class Model:
    """One run of targets and callers over a ledger."""

    def __init__(
        self,
        policy: str,
        targets: abc.Sequence[TargetKind],
        callers: abc.Sequence[CallerKind],
        seed: int = 1,
        is_keyed: bool = True,
        seconds: float = 30,
    ) -> None:
        """`is_keyed` says whether each request has one target that may run it."""
        #: Arrivals, work and spells are the same for every policy.
        self.chance = random.Random(seed)
        self.targets = {
            f't{index}': ModelTarget(
                f't{index}', kind, random.Random(f'{seed}/{index}')
            )
            for index, kind in enumerate(targets)
        }
        self.policy = policies.policies.entries[policy]()
        self.ledger = self.new_ledger(self.policy)
        self.callers = callers
        self.is_keyed = is_keyed
        self.seconds = seconds
        self.now: float = 0
        self.events: list[tuple[float, int, Event]] = []
        self.number = 0
        self.jobs: list[Job] = []
        self.asks = 0
        #: Called with each answer's report, or None to leave it out.
        self.report: abc.Callable[[standing.Report], standing.Report | None] = (
            lambda report: report
        )
        #: Extra time for the report of an end, in seconds.
        self.end_delay: abc.Callable[[], float] = lambda: LATENCY
        for kind in callers:
            self.at(0, self.arrivals(kind))
        for target in self.targets.values():
            if target.kind.has_spells:
                self.at(
                    target.chance.expovariate(1 / CALM_SECONDS),
                    self.pace_change(target),
                )
            if target.kind.changes_at is not None:
                self.at(target.kind.changes_at, self.kind_change(target))
        self.at(0.25, self.expire)

    def new_ledger(self, policy: policies.Policy) -> permits.PermitLedger:
        """Returns a ledger of all targets."""
        return permits.PermitLedger(
            lambda _service, owner: [
                target.entry
                for name, target in self.targets.items()
                if owner in {'', name}
            ],
            lambda _service: 0,
            policy,
        )

    def run(self, until: float | None = None) -> None:
        """Runs the events up to a time, or to the end."""
        end = self.seconds + 5 if until is None else until
        while self.events and self.events[0][0] <= end:
            when, _, event = heapq.heappop(self.events)
            self.now = when
            event()

    def result(self, since: float = 0) -> Result:
        """Returns what the callers got that arrived from `since` on."""
        jobs = [job for job in self.jobs if job.arrived >= since]
        times = [
            job.done_at - job.arrived for job in jobs if job.done_at is not None
        ]
        in_aim = sum(
            job.done_at is not None
            and job.done_at - job.arrived <= job.kind.aim
            for job in jobs
        )
        count = max(len(jobs), 1)
        lost = sum(job.state == 'lost' for job in jobs)
        return Result(
            in_aim=in_aim / count,
            late=(len(times) - in_aim) / count,
            refused=(count - len(times) - lost) / count,
            lost=lost / count,
            waits=sum(times) / max(len(times), 1),
            throughput=len(times) / (self.seconds - since),
        )

    def at(self, when: float, event: Event) -> None:
        """Plans an event."""
        self.number += 1
        heapq.heappush(self.events, (when, self.number, event))

    def arrivals(self, kind: CallerKind) -> Event:
        """Returns the event of an arrival, which plans the next one."""

        def arrive() -> None:  # noqa: WPS430
            if self.now >= self.seconds:
                return
            owner = ''
            if self.is_keyed:
                owner = self.chance.choice(list(self.targets))
            spread = self.chance.lognormvariate(-0.045, 0.3)
            job = Job(kind, owner, self.now)
            job.work = kind.work * spread
            self.jobs.append(job)
            self.ask(job)
            self.at(self.now + self.chance.expovariate(kind.rate), arrive)

        return arrive

    def pace_change(self, target: ModelTarget) -> Event:
        """Returns the event at which a spell begins or ends."""

        def change() -> None:  # noqa: WPS430
            target.advance(self.now)
            is_spell = target.pace < SPELL_PACE
            target.pace = SPELL_PACE if is_spell else 1
            mean = SPELL_SECONDS if is_spell else CALM_SECONDS
            self.plan_end(target)
            if self.now < self.seconds:
                pause = target.chance.expovariate(1 / mean)
                self.at(self.now + pause, change)

        return change

    def kind_change(self, target: ModelTarget) -> Event:
        """Returns the event at which a target becomes another kind."""

        def change() -> None:  # noqa: WPS430
            target.advance(self.now)
            assert target.kind.changed is not None
            target.kind = target.kind.changed
            self.plan_end(target)

        return change

    def expire(self) -> None:
        """Does what the housekeeping of an instance does."""
        lives = {
            directory.life_of(target.entry) for target in self.targets.values()
        }
        self.ledger.expire(self.now, lives)
        if self.now < self.seconds:
            self.at(self.now + 0.25, self.expire)

    def ask(self, job: Job) -> None:
        """Asks for a permit; waits, comes back or gives up if refused."""
        left = job.arrived + job.kind.deadline - self.now
        aim_left = job.arrived + job.kind.aim - self.now
        if left <= MIN_LEFT:
            return
        self.asks += 1
        self.number += 1
        job.key = (f'e{self.number % 12}', self.number)
        demand = choosing.Demand('a', aim_left, left, frozenset())
        granted = self.ledger.grant(
            permits.PermitRequest(job.key, 's', job.owner, demand), self.now
        )
        if isinstance(granted, directory.Target):
            target = self.targets[granted.name]
            self.at(self.now + 2 * LATENCY, lambda: self.send(job, target))
            return
        assert isinstance(granted, choosing.Refusal)
        pause = granted.retry_seconds
        if choosing.is_worth_waiting(granted, aim_left):
            pause += job.work % 0.02
        elif job.retries and pause <= left * RETURN_PART:
            job.retries -= 1
        else:
            return
        self.at(self.now + pause, lambda: self.ask(job))

    def send(self, job: Job, target: ModelTarget) -> None:
        """Sends a request to a target."""
        job.sent_at = self.now
        job.state = 'lost'
        job.work_left = job.work
        target.advance(self.now)
        if not target.arrive(job):
            left = job.arrived + job.kind.deadline - self.now
            self.at(
                self.now + left, lambda: self.tell(job, SendResult.silent, None)
            )
        self.plan_end(target)

    def plan_end(self, target: ModelTarget) -> None:
        """Plans the next end of a request at a target."""
        target.most_running = max(target.most_running, len(target.running))
        end = target.next_end()
        version = target.version
        if end is not None:
            self.at(end, lambda: self.finish(target, version))

    def finish(self, target: ModelTarget, version: int) -> None:
        """Ends a request unless something has changed since."""
        if version != target.version:
            return
        target.advance(self.now)
        report = standing.Report(
            len(target.running), len(target.waiting), target.pace
        )
        job = target.finish()
        job.done_at = self.now + LATENCY
        job.state = 'answered'
        self.at(
            self.now + LATENCY + self.end_delay(),
            lambda: self.tell(job, SendResult.good, self.report(report)),
        )
        self.plan_end(target)

    def tell(
        self, job: Job, result: SendResult, report: standing.Report | None
    ) -> None:
        """Ends a request's permit."""
        seconds = (job.done_at or self.now) - job.sent_at
        finished = send_results.FinishedSend(result, seconds, report)
        self.ledger.end_permit(job.key, finished, self.now)
