"""A target on the virtual clock: cold start, overload, slowness."""

import functools
import typing

import numpy

from bilberryglade_lab.experiments import events
from bilberryglade_schema import experiments

MILLISECONDS: typing.Final = 1000
DOWN_SECONDS: typing.Final = 1.0
COLD_FACTOR: typing.Final = 2.0
#: Spread of service times, as the sigma of a log-normal distribution.
SPREAD: typing.Final = 0.25

#: Called with whether the request was answered.
Ended: typing.TypeAlias = typing.Callable[[bool], None]


class LoadReport(typing.NamedTuple):
    """Running requests from a moment on."""

    since: float
    running: int


class PoolTarget:
    """Runs requests; falls over when it gets more than it bears while cold."""

    def __init__(
        self,
        clock: events.Clock,
        pool: experiments.PoolSettings,
        chance: numpy.random.Generator,
    ) -> None:
        """Starts warm or cold, as the settings say."""
        self.clock = clock
        self.pool = pool
        self.chance = chance
        self.completed = pool['warm_after'] if pool['warm'] else 0
        self.factor: float = 1
        self.running: dict[int, Ended] = {}
        self.number = 0
        self.falls = 0
        self.down_until: float = 0
        self.reports = [LoadReport(0, 0)]

    @property
    def is_cold(self) -> bool:
        """Whether it has completed too little since its start."""
        return self.completed < self.pool['warm_after']

    def start(self, ended: Ended) -> bool:
        """Starts a request; returns False if it is refused."""
        if self.clock.now < self.down_until:
            return False
        if len(self.running) >= self.pool['concurrency']:
            return False
        self.number += 1
        self.running[self.number] = ended
        if self.is_cold and len(self.running) > self.pool['cold_limit']:
            self._fall()
            return True
        self._note()
        finish = functools.partial(self._finish, self.number)
        self.clock.after(self._seconds(), finish)
        return True

    def reported(self) -> int:
        """Returns the running requests as of some time ago."""
        moment = self.clock.now - self.pool['report_lag_ms'] / MILLISECONDS
        while len(self.reports) > 1 and self.reports[1].since <= moment:
            self.reports.pop(0)
        return self.reports[0].running

    def _finish(self, number: int) -> None:
        ended = self.running.pop(number, None)
        if ended is None:
            return
        self.completed += 1
        self._note()
        ended(True)

    def _fall(self) -> None:
        self.falls += 1
        self.completed = 0
        self.down_until = self.clock.now + DOWN_SECONDS
        lost = list(self.running.values())
        self.running.clear()
        self._note()
        for ended in lost:
            self.clock.after(0, functools.partial(ended, False))

    def _seconds(self) -> float:
        mean = self.pool['work_ms'] / MILLISECONDS
        cold = COLD_FACTOR if self.is_cold else 1
        spread = self.chance.lognormal(0, SPREAD)
        return float(mean * cold * self.factor * spread)

    def _note(self) -> None:
        self.reports.append(LoadReport(self.clock.now, len(self.running)))
