"""Load on keys: counted by each instance, added up by the coordinator.

A report is also the instance's sign of life. The messages grow with the
number of instances, not with its square.
"""

import asyncio
import math
import typing
from collections import abc

from bilberryglade._membership import candidacy, fleet
from bilberryglade._ownership import planning, ranges
from bilberryglade._values import clock
from bilberryglade_schema import fleet as messages

#: Seconds between two reports.
REPORT_SECONDS: typing.Final = 0.4
#: Seconds over which the load of a block of keys is counted: long enough to
#: tell usual loads apart, and short enough to see a key that turns hot.
LONG_WINDOW_SECONDS: typing.Final = planning.LOAD_WINDOW_SECONDS
SHORT_WINDOW_SECONDS: typing.Final = 1.0
#: Standard deviations by which the sudden load must differ from the usual one
#: before it goes for it.
CHANGE_DEVIATIONS: typing.Final = 3.0
#: Requests a second below which a block of keys is forgotten.
MIN_LOAD: typing.Final = 0.002
#: Seconds for which the speed of a target that has no work is repeated.
SPEED_REPORT_SECONDS: typing.Final = 2.0
#: Seconds over which the time of work at a target is averaged: it varies by a
#: part from one word to the next, and each swing would move keys.
WORK_WINDOW_SECONDS: typing.Final = 6.0
#: The same if it differs so many times from what is known: it has changed.
CHANGED_WORK_WINDOW_SECONDS: typing.Final = 1.0
CHANGED_WORK_RATIO: typing.Final = 1.8
#: Shortest time of work that is believed.
MIN_WORK_SECONDS: typing.Final = 0.0001
#: Least word on the speeds of targets: all that are known.
SINCE_START: typing.Final = 0


class Load(typing.NamedTuple):
    """Requests a second on a block of keys, by two fading counts."""

    long_average: float
    short_average: float
    counted_at: float


class Reporter:
    """Counts at one instance, and tells the coordinator."""

    def __init__(
        self,
        members: fleet.Fleet,
        lease: candidacy.Candidacy,
        handle_own: abc.Callable[[messages.Report], None],
        target_seconds: abc.Callable[[float], dict[str, float]],
    ) -> None:
        """`take_own` gets the reports while this instance coordinates.

        `target_seconds` returns how long work takes at each target that told
        of it since a moment in seconds.
        """
        self.members = members
        self.lease = lease
        self.handle_own = handle_own
        self.target_seconds = target_seconds
        #: Requests since the last report, by service and block of keys.
        self.counts: dict[str, dict[int, int]] = {}
        #: Term of the coordinator that was told all speeds.
        self.full_report_term = -1

    def count(self, service: str, key: int) -> None:
        """Counts a request on a key."""
        blocks = self.counts.setdefault(service, {})
        block = ranges.block_of(key)
        blocks[block] = blocks.get(block, 0) + 1

    async def run(self) -> None:
        """Reports until it is cancelled."""
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            report = self._report()
            if self.lease.holds:
                self.handle_own(report)
            elif self.lease.coordinator:
                self.members.send(self.lease.coordinator, report)

    def _report(self) -> messages.Report:
        counts = self.counts
        self.counts = {}
        since: float = clock.now() - SPEED_REPORT_SECONDS
        if self.full_report_term != self.lease.term:
            self.full_report_term = self.lease.term
            since = SINCE_START
        return {
            'kind': 'report',
            'sender': self.members.own.name,
            'is_led': self.lease.is_heard,
            'key_counts': {
                service: {str(block): count for block, count in blocks.items()}
                for service, blocks in counts.items()
            },
            'target_seconds': self.target_seconds(since),
        }


class LoadSum:
    """The coordinator's view of the load on keys and of targets' speeds."""

    def __init__(self) -> None:
        """Has no report."""
        self.blocks: dict[str, dict[int, Load]] = {}
        #: Seconds at which the first requests of each service were told.
        self.counted_since: dict[str, float] = {}
        #: Seconds that work takes in the mean, by target.
        self.work_seconds: dict[str, float] = {}
        #: Seconds at which each of them was told last.
        self.reported_at: dict[str, float] = {}

    def handle_report(self, report: messages.Report) -> None:
        """Adds up an instance's report."""
        now = clock.now()
        for target, seconds in report['target_seconds'].items():
            self._add_work_seconds(target, seconds, now)
        for service, counts in report['key_counts'].items():
            blocks = self.blocks.setdefault(service, {})
            self.counted_since.setdefault(service, now - REPORT_SECONDS)
            for block_name, count in counts.items():
                block = int(block_name)
                load = blocks.get(block, Load(0, 0, now))
                blocks[block] = _with_count(load, count, now)

    def loads(self, service: str) -> dict[int, float]:
        """Returns the requests a second on each block of a service's keys."""
        now = clock.now()
        decayed = {
            block: _decayed(load, now)
            for block, load in self.blocks.get(service, {}).items()
        }
        self.blocks[service] = {
            block: load
            for block, load in decayed.items()
            if load.long_average > MIN_LOAD
        }
        seconds = now - self.counted_since.get(service, now)
        return {
            block: rate_of(load, seconds)
            for block, load in self.blocks[service].items()
        }

    def forget_unlisted(self, listed: abc.Container[str]) -> None:
        """Drops the speeds of targets that are not listed any more."""
        self.work_seconds = {
            target: seconds
            for target, seconds in self.work_seconds.items()
            if target in listed
        }
        self.reported_at = {
            target: reported_at
            for target, reported_at in self.reported_at.items()
            if target in listed
        }

    def _add_work_seconds(
        self, target: str, seconds: float, now: float
    ) -> None:
        average = self.work_seconds.get(target)
        seconds = max(seconds, MIN_WORK_SECONDS)
        elapsed = now - self.reported_at.get(target, now)
        self.reported_at[target] = now
        if average is None:
            self.work_seconds[target] = seconds
            return
        window_seconds = WORK_WINDOW_SECONDS
        if max(seconds / average, average / seconds) > CHANGED_WORK_RATIO:
            window_seconds = CHANGED_WORK_WINDOW_SECONDS
        weight = 1 - math.exp(-elapsed / window_seconds)
        self.work_seconds[target] = average + (seconds - average) * weight


def rate_of(load: Load, counted_seconds: float) -> float:
    """Returns the load that counts: the usual one, unless it has changed.

    `counted_seconds` is the time since the first count; what was before it is
    missing in the fading counts.
    """
    long_average = load.long_average / _counted_fraction(
        counted_seconds, LONG_WINDOW_SECONDS
    )
    short_average = load.short_average / _counted_fraction(
        counted_seconds, SHORT_WINDOW_SECONDS
    )
    deviation = math.sqrt(
        (long_average + 1 / SHORT_WINDOW_SECONDS) / SHORT_WINDOW_SECONDS
    )
    if abs(short_average - long_average) > CHANGE_DEVIATIONS * deviation:
        return short_average
    return long_average


def _counted_fraction(counted_seconds: float, window_seconds: float) -> float:
    """Returns the part of a steady load that a fading count holds by now."""
    elapsed = max(counted_seconds, REPORT_SECONDS)
    return 1 - math.exp(-elapsed / window_seconds)


def _with_count(load: Load, count: int, now: float) -> Load:
    decayed = _decayed(load, now)
    return decayed._replace(
        long_average=decayed.long_average + count / LONG_WINDOW_SECONDS,
        short_average=decayed.short_average + count / SHORT_WINDOW_SECONDS,
    )


def _decayed(load: Load, now: float) -> Load:
    elapsed = max(now - load.counted_at, 0)
    return Load(
        load.long_average * math.exp(-elapsed / LONG_WINDOW_SECONDS),
        load.short_average * math.exp(-elapsed / SHORT_WINDOW_SECONDS),
        now,
    )
