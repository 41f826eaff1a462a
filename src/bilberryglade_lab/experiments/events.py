"""A virtual clock: events in the order of their times."""

import heapq
import itertools
import typing
from collections import abc

Action: typing.TypeAlias = abc.Callable[[], None]


class Scheduled(typing.NamedTuple):
    """An action and when it is due."""

    #: Seconds on the virtual clock.
    due: float
    number: int
    action: Action


class Clock:
    """Runs actions at their times; time jumps from one to the next."""

    def __init__(self) -> None:
        """Starts at 0 seconds."""
        self.now: float = 0
        self.numbers = itertools.count()
        self.queue: list[Scheduled] = []

    def after(self, seconds: float, action: Action) -> None:
        """Schedules `action` in `seconds` from now."""
        due = self.now + seconds
        heapq.heappush(self.queue, Scheduled(due, next(self.numbers), action))

    def run(self) -> None:
        """Runs until nothing is scheduled."""
        while self.queue:
            scheduled = heapq.heappop(self.queue)
            self.now = scheduled.due
            scheduled.action()
