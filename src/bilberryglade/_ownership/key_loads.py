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
USUAL_SECONDS: typing.Final = planning.COUNTED_SECONDS
SUDDEN_SECONDS: typing.Final = 1.0
#: Standard deviations by which the sudden load must differ from the usual one
#: before it goes for it.
SURPRISE_DEVIATIONS: typing.Final = 3.0
#: Requests a second below which a block of keys is forgotten.
LEAST_LOAD: typing.Final = 0.002
#: Seconds for which the speed of a target that has no work is repeated.
SPEED_SECONDS: typing.Final = 2.0
#: Seconds over which the time of work at a target is averaged: it varies by a
#: part from one word to the next, and each swing would move keys.
USUAL_WORK_SECONDS: typing.Final = 6.0
#: The same if it differs so many times from what is known: it has changed.
SUDDEN_WORK_SECONDS: typing.Final = 1.0
SUDDEN_WORK_RATIO: typing.Final = 1.8
#: Shortest time of work that is believed.
LEAST_WORK_SECONDS: typing.Final = 0.0001
#: Least word on the speeds of targets: all that are known.
ALL_SPEEDS: typing.Final = 0


class Load(typing.NamedTuple):
    """Requests a second on a block of keys, by two fading counts."""

    usual: float
    sudden: float
    counted_at: float


class Reporter:
    """Counts at one instance, and tells the coordinator."""

    def __init__(
        self,
        members: fleet.Fleet,
        lease: candidacy.Candidacy,
        take_own: abc.Callable[[messages.Report], None],
        target_seconds: abc.Callable[[float], dict[str, float]],
    ) -> None:
        """`take_own` gets the reports while this instance coordinates.

        `target_seconds` returns how long work takes at each target that told
        of it since a moment in seconds.
        """
        self.members = members
        self.lease = lease
        self.take_own = take_own
        self.target_seconds = target_seconds
        #: Requests since the last report, by service and block of keys.
        self.counts: dict[str, dict[int, int]] = {}
        #: Term of the coordinator that was told all speeds.
        self.told_term = -1

    def count(self, service: str, key: int) -> None:
        """Counts a request on a key."""
        blocks = self.counts.setdefault(service, {})
        block = ranges.block_of(key)
        blocks[block] = blocks.get(block, 0) + 1

    async def keep(self) -> None:
        """Reports until it is cancelled."""
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            report = self._report()
            if self.lease.holds:
                self.take_own(report)
            elif self.lease.coordinator:
                self.members.send(self.lease.coordinator, report)

    def _report(self) -> messages.Report:
        counts = self.counts
        self.counts = {}
        since: float = clock.now() - SPEED_SECONDS
        if self.told_term != self.lease.term:
            self.told_term = self.lease.term
            since = ALL_SPEEDS
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
        self.seconds: dict[str, float] = {}
        #: Seconds at which each of them was told last.
        self.told_at: dict[str, float] = {}

    def take(self, report: messages.Report) -> None:
        """Adds up an instance's report."""
        now = clock.now()
        for target, seconds in report['target_seconds'].items():
            self._take_seconds(target, seconds, now)
        for service, counts in report['key_counts'].items():
            blocks = self.blocks.setdefault(service, {})
            self.counted_since.setdefault(service, now - REPORT_SECONDS)
            for name, count in counts.items():
                block = int(name)
                known = blocks.get(block, Load(0, 0, now))
                blocks[block] = _counted(known, count, now)

    def loads(self, service: str) -> dict[int, float]:
        """Returns the requests a second on each block of a service's keys."""
        now = clock.now()
        faded = {
            block: _faded(known, now)
            for block, known in self.blocks.get(service, {}).items()
        }
        self.blocks[service] = {
            block: known
            for block, known in faded.items()
            if known.usual > LEAST_LOAD
        }
        seconds = now - self.counted_since.get(service, now)
        return {
            block: rate_of(known, seconds)
            for block, known in self.blocks[service].items()
        }

    def forget_gone(self, listed: abc.Container[str]) -> None:
        """Drops the speeds of targets that are not listed any more."""
        self.seconds = {
            target: seconds
            for target, seconds in self.seconds.items()
            if target in listed
        }
        self.told_at = {
            target: told_at
            for target, told_at in self.told_at.items()
            if target in listed
        }

    def _take_seconds(self, target: str, seconds: float, now: float) -> None:
        known = self.seconds.get(target)
        seconds = max(seconds, LEAST_WORK_SECONDS)
        elapsed = now - self.told_at.get(target, now)
        self.told_at[target] = now
        if known is None:
            self.seconds[target] = seconds
            return
        fading_seconds = USUAL_WORK_SECONDS
        if max(seconds / known, known / seconds) > SUDDEN_WORK_RATIO:
            fading_seconds = SUDDEN_WORK_SECONDS
        weight = 1 - math.exp(-elapsed / fading_seconds)
        self.seconds[target] = known + (seconds - known) * weight


def rate_of(load: Load, counted_seconds: float) -> float:
    """Returns the load that counts: the usual one, unless it has changed.

    `counted_seconds` is the time since the first count; what was before it is
    missing in the fading counts.
    """
    usual = load.usual / _whole(counted_seconds, USUAL_SECONDS)
    sudden = load.sudden / _whole(counted_seconds, SUDDEN_SECONDS)
    expected = math.sqrt((usual + 1 / SUDDEN_SECONDS) / SUDDEN_SECONDS)
    if abs(sudden - usual) > SURPRISE_DEVIATIONS * expected:
        return sudden
    return usual


def _whole(counted_seconds: float, fading_seconds: float) -> float:
    """Returns the part of a steady load that a fading count holds by now."""
    counted = max(counted_seconds, REPORT_SECONDS)
    return 1 - math.exp(-counted / fading_seconds)


def _counted(load: Load, count: int, now: float) -> Load:
    faded = _faded(load, now)
    return faded._replace(
        usual=faded.usual + count / USUAL_SECONDS,
        sudden=faded.sudden + count / SUDDEN_SECONDS,
    )


def _faded(load: Load, now: float) -> Load:
    elapsed = max(now - load.counted_at, 0)
    return Load(
        load.usual * math.exp(-elapsed / USUAL_SECONDS),
        load.sudden * math.exp(-elapsed / SUDDEN_SECONDS),
        now,
    )
