"""Keeps the store's era as this instance knows it, in one place."""

import typing
from collections import abc

import loguru

from bilberryglade._era import eras
from bilberryglade._values import clock, stored

#: Seconds between two lines on one kind of fault: each answer may have it.
FAULT_LINE_SECONDS: typing.Final = 10.0


class EraKeeper:
    """The era, when it rose, and the counters of what was wrong with it."""

    def __init__(self) -> None:
        """Knows era 0, as of a store that never names one."""
        self.known = eras.Known()
        #: Seconds at which this instance first heard of the era; the lowest for
        #: era 0.
        self.risen_at = float('-inf')
        #: Rises by reason, and answers with a fault by kind.
        self.rises: dict[str, int] = {}
        self.faults: dict[str, int] = {}
        #: Seconds of the last line on each kind of fault.
        self.told_at: dict[str, float] = {}
        #: Highest end that the store told in this era, by topic.
        self.ends: dict[str, int] = {}
        #: Called after each rise.
        self.on_rise: list[abc.Callable[[], None]] = []

    @property
    def era(self) -> int:
        """The era known."""
        return self.known.era

    def hear(self, named: str | None, asked_in: int) -> bool:
        """Takes in the era named in an answer to a call begun in `asked_in`.

        Returns whether the answer is of the era known.
        """
        heard = eras.hear(self.known, named, asked_in)
        if heard.fault is not None:
            self._note_fault(heard.fault, named)
        self._take(heard.known, eras.Reason.named)
        return not heard.is_late

    def hear_told(self, packed: int) -> None:
        """Takes in the packed position of a record that another instance names."""
        told = eras.hear_told(self.known, stored.era_of(packed))
        self._take(told, eras.Reason.told)

    def end_of(self, topic: str) -> stored.Position:
        """Returns the highest end that the store has told of a topic."""
        return stored.Position(self.era, self.ends.get(topic, 0))

    def hear_end(self, topic: str, end: int, earlier: stored.Position) -> None:
        """Takes in at which offset a topic ends, by an answer in this era.

        `earlier` is what `end_of` returned when the call began.
        """
        known = eras.hear_end(self.known, end, earlier)
        self._take(known, eras.Reason.lower_end)
        self.ends[topic] = max(end, self.ends.get(topic, 0))

    def _take(self, known: eras.Known, reason: eras.Reason) -> None:
        before = self.known
        self.known = known
        if known.era == before.era:
            return
        self.risen_at = clock.now()
        self.ends.clear()
        self.rises[reason] = self.rises.get(reason, 0) + 1
        loguru.logger.warning(
            'era of the store {}, before {} ({}): all is read anew',
            known.era,
            before.era,
            reason,
        )
        for listener in self.on_rise:
            listener()

    def _note_fault(self, fault: eras.Fault, named: str | None) -> None:
        self.faults[fault] = self.faults.get(fault, 0) + 1
        now = clock.now()
        told_at = self.told_at.get(fault, float('-inf'))
        if now - told_at < FAULT_LINE_SECONDS:
            return
        self.told_at[fault] = now
        loguru.logger.warning(
            'era in an answer of the store {}: {!r}, era {} stands',
            fault,
            named,
            self.era,
        )
