"""Delivers messages and calls in virtual time while faults strike a step."""

import functools
import heapq
import random
import typing
from collections import abc

MOST_DELAY: typing.Final = 8
#: Share of the exchanges at the struck step that a fault strikes.
STRIKE_SHARE: typing.Final = 0.7
#: Ticks of a spell in which faults strike, and of the calm one after it. They
#: are shorter than the retention of the log.
SPELL_TICKS: typing.Final = 10
#: The same for faults that stop or end a process.
PROCESS_STRIKE_SHARE: typing.Final = 0.1
PROCESS_FAULTS: typing.Final = frozenset(('pause', 'loss'))
NO_DELIVERY: typing.Final = frozenset(
    (
        'message_dropped',
        'connection_silent',
        'log_down',
        'partition_platform',
        'partition_peers',
        'partition_both',
    ),
)
NO_ANSWER: typing.Final = frozenset(('answer_lost', 'partition_one_way'))
LATE: typing.Final = frozenset(
    ('message_delayed', 'message_reordered', 'log_slow'),
)

Act: typing.TypeAlias = abc.Callable[[], None]


class Process(typing.Protocol):
    """A process that faults can stop and end."""

    #: Counts the restarts.
    boot: int
    #: Tick at which a pause ends.
    paused_until: int

    def restart(self) -> None:
        """Loses everything that is in memory."""


class Leg(typing.NamedTuple):
    """One direction of an exchange."""

    step: str
    process: Process
    is_answer: bool


class Event(typing.NamedTuple):
    """Something that happens at a tick."""

    at: int
    order: int
    act: Act


class FaultTransport:
    """Carries everything that processes send, in virtual time."""

    def __init__(
        self,
        seed: int,
        step: str,
        struck: frozenset[str],
    ) -> None:
        """Lets `struck` faults strike at `step`."""
        self.random = random.Random(seed)
        self.step = step
        self.struck = struck
        self.now = 0
        self.is_healed = False
        self.order = 0
        self.events: list[Event] = []

    def strikes(self, fault: str) -> bool:
        """Tells whether a fault is in force now."""
        return fault in self.struck and not self.is_healed

    def call(
        self,
        step: str,
        caller: Process,
        effect: abc.Callable[[], typing.Any],
        take: abc.Callable[[typing.Any], None],
    ) -> None:
        """Lets `effect` happen elsewhere and `take` get its answer.

        An answer to a process that has restarted meanwhile is lost.
        """
        boot = caller.boot

        def answer(given: typing.Any) -> None:  # noqa: WPS430
            if caller.boot == boot:
                take(given)

        def reach() -> None:  # noqa: WPS430
            back = Leg(step, caller, is_answer=True)
            self.send(back, functools.partial(answer, effect()))

        self.send(Leg(step, caller, is_answer=False), reach)

    def send(self, leg: Leg, act: Act) -> None:
        """Lets `act` happen as often and as late as the faults have it."""
        for delay in self._delays(leg):
            at = max(self.now + delay, leg.process.paused_until)
            self.order += 1
            heapq.heappush(self.events, Event(at, self.order, act))

    def due(self) -> abc.Iterator[Act]:
        """Yields what happens now, until nothing more is due."""
        while self.events and self.events[0].at <= self.now:
            yield heapq.heappop(self.events).act

    def _delays(self, leg: Leg) -> list[int]:
        delays = [0]
        is_calm = self.now // SPELL_TICKS % 2 == 1
        if leg.step != self.step or is_calm or self.is_healed:
            return delays
        for fault in sorted(self.struck):
            share = STRIKE_SHARE
            if fault in PROCESS_FAULTS:
                share = PROCESS_STRIKE_SHARE
            if self.random.random() < share:
                delays = self._struck(fault, leg, delays)
        return delays

    def _struck(self, fault: str, leg: Leg, delays: list[int]) -> list[int]:
        late = self.random.randint(1, MOST_DELAY)
        if fault in NO_DELIVERY or (fault in NO_ANSWER and leg.is_answer):
            return []
        if fault in LATE:
            return [delay + late for delay in delays]
        if fault == 'message_duplicated':
            return [*delays, late]
        if fault == 'pause':
            leg.process.paused_until = self.now + late
        if fault == 'loss':
            leg.process.restart()
        return delays
