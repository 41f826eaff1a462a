"""One run of an experiment: entries, leaders' queues and targets of a pool.

Balancing, warming and queueing are the router's own pure decisions; arrivals
are open loop, and latency counts from the moment a request was due.
"""

import functools
import random
import typing

import numpy
import result

from bilberryglade._limits import fair_queue
from bilberryglade._targets import balancing, condition
from bilberryglade_lab.experiments import events, pool_target
from bilberryglade_schema import experiments

MILLISECONDS: typing.Final = 1000
DEADLINE_SECONDS: typing.Final = 5.0


class Done(typing.NamedTuple):
    """A request that ended."""

    organisation: str
    #: Seconds from due to answer.
    seconds: float
    answered: bool


class Pending(typing.NamedTuple):
    """A request on its way."""

    organisation: str
    entry: int
    due: float


class Front:
    """A leader's queue in front of one target."""

    def __init__(
        self,
        target: pool_target.PoolTarget,
        pool: experiments.PoolSettings,
        policy: experiments.PolicySettings,
    ) -> None:
        """Knows nothing of the target unless the pool starts warm."""
        allowance = pool['concurrency'] if pool['warm'] else 1
        self.target = target
        self.policy = policy
        self.condition = condition.Condition(
            pool['concurrency'],
            allowance=allowance,
        )
        self.queue = fair_queue.FairQueue(
            fair_queue.Bounds(pool['queue_length'], pool['queue_length'] // 2),
            discipline=policy['queueing'],
        )
        self.pending: dict[str, Pending] = {}
        self.running = 0


class Pool:
    """All parts of one run."""

    def __init__(
        self,
        experiment: experiments.Experiment,
        policy: experiments.PolicySettings,
        seed: int,
    ) -> None:
        """Prepares a run with everything drawn from `seed`."""
        pool = experiment['pool']
        self.experiment = experiment
        self.policy = policy
        self.clock = events.Clock()
        self.chance = numpy.random.default_rng(seed)
        self.choice = random.Random(seed)
        self.fronts = [
            Front(
                pool_target.PoolTarget(self.clock, pool, self.chance),
                pool,
                policy,
            )
            for _ in range(pool['targets'])
        ]
        self.views = [
            [
                balancing.TargetView(str(number))
                for number in range(pool['targets'])
            ]
            for _ in range(pool['entries'])
        ]
        self.done: list[Done] = []
        self.requests = 0

    def run(self) -> list[Done]:
        """Runs to the end and returns every request."""
        for traffic in self.experiment['traffic']:
            for organisation in traffic['organisations']:
                self._schedule_arrivals(organisation, traffic['rate'])
        for fault in self.experiment['faults']:
            self._schedule_fault(fault)
        self.clock.run()
        return self.done

    def _schedule_arrivals(self, organisation: str, rate: float) -> None:
        due = self.chance.exponential(1 / rate)
        while due < self.experiment['seconds']:
            arrive = functools.partial(self._arrive, organisation)
            self.clock.after(float(due), arrive)
            due += self.chance.exponential(1 / rate)

    def _schedule_fault(self, fault: experiments.FaultSettings) -> None:
        struck = self.fronts[: fault['targets']]
        if fault['kind'] == 'cold':
            for front in struck:
                chill = functools.partial(setattr, front.target, 'completed', 0)
                self.clock.after(fault['from_s'], chill)
            return
        for front in struck:
            slow = functools.partial(
                setattr,
                front.target,
                'factor',
                fault['factor'],
            )
            recover = functools.partial(setattr, front.target, 'factor', 1)
            self.clock.after(fault['from_s'], slow)
            self.clock.after(fault['until_s'], recover)

    def _arrive(self, organisation: str) -> None:
        entry = self.choice.randrange(self.experiment['pool']['entries'])
        pending = Pending(organisation, entry, self.clock.now)
        number = self._choose(entry)
        view = self.views[entry][number]
        self.views[entry][number] = view._replace(
            outstanding=view.outstanding + 1,
        )
        hop = self.experiment['pool']['hop_ms'] / MILLISECONDS
        self.clock.after(hop, functools.partial(self._queue, number, pending))

    def _choose(self, entry: int) -> int:
        views = self.views[entry]
        if self.policy['balancing'] == 'reported':
            views = [
                view._replace(reported=front.target.reported())
                for view, front in zip(views, self.fronts, strict=True)
            ]
        choose = balancing.balancers.entries[self.policy['balancing']]
        return int(choose(views, self.choice))

    def _queue(self, number: int, pending: Pending) -> None:
        front = self.fronts[number]
        self.requests += 1
        request_id = str(self.requests)
        waiting = fair_queue.Entry(
            request_id,
            pending.organisation,
            pending.due + DEADLINE_SECONDS,
        )
        pushed = fair_queue.push(front.queue, waiting, self.clock.now)
        if isinstance(pushed, result.Err):
            self._end(number, pending, answered=False)
            return
        front.queue = pushed.ok_value.queue
        front.pending[request_id] = pending
        evicted = pushed.ok_value.evicted
        if evicted is not None:
            loser = front.pending.pop(evicted.request_id)
            self._end(number, loser, answered=False)
        self._pump(number)

    def _pump(self, number: int) -> None:
        front = self.fronts[number]
        allowance = condition.allowance_at(front.condition, self.clock.now)
        while front.running < allowance:
            popped = fair_queue.pop(front.queue, self.clock.now)
            front.queue = popped.queue
            for expired in popped.expired:
                late = front.pending.pop(expired.request_id)
                self._end(number, late, answered=False)
            if popped.entry is None:
                return
            self._send(number, front.pending.pop(popped.entry.request_id))

    def _send(self, number: int, pending: Pending) -> None:
        front = self.fronts[number]
        began = self.clock.now
        front.running += 1
        ended = functools.partial(self._ended, number, pending, began)
        if front.target.start(ended):
            return
        front.running -= 1
        self._observe(front, condition.Shed())
        self._end(number, pending, answered=False)

    def _ended(
        self,
        number: int,
        pending: Pending,
        began: float,
        answered: bool,
    ) -> None:
        front = self.fronts[number]
        front.running -= 1
        event: condition.Event = condition.Loss()
        if answered:
            event = condition.Answer(self.clock.now - began)
        self._observe(front, event)
        self._end(number, pending, answered=answered)
        self._pump(number)

    def _observe(self, front: Front, event: condition.Event) -> None:
        front.condition = condition.decide(
            front.condition,
            event,
            self.clock.now,
            self.policy['warming'],
        )

    def _end(self, number: int, pending: Pending, *, answered: bool) -> None:
        hop = self.experiment['pool']['hop_ms'] / MILLISECONDS
        seconds = self.clock.now + hop - pending.due
        self.done.append(Done(pending.organisation, seconds, answered))
        view = self.views[pending.entry][number]
        counted = view._replace(outstanding=view.outstanding - 1)
        if answered:
            counted = balancing.after_answer(counted, seconds)
        self.views[pending.entry][number] = counted
