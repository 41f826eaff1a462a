"""Load on keys: counted by each instance, added up by the coordinator.

A report also shows the coordinator that the instance is alive. Only the
coordinator gets reports, so their number grows linearly with the number of
instances, not with its square.
"""

import asyncio
import math
import typing
from collections import abc

from bilberryglade._membership import candidacy, fleet
from bilberryglade._ownership import planning, ranges
from bilberryglade._values import clock
from bilberryglade_schema import fleet as messages

#: Seconds between two reports of an instance.
REPORT_SECONDS: typing.Final = 0.4
#: Time constant of the long-term average load of a block of keys, in seconds:
#: long enough to distinguish blocks of similar load.
LONG_WINDOW_SECONDS: typing.Final = planning.LOAD_WINDOW_SECONDS
#: Time constant of the short-term average, in seconds: short enough to show a
#: key that becomes hot.
SHORT_WINDOW_SECONDS: typing.Final = 1.0
#: Standard deviations by which the short-term average must differ from the
#: long-term one to be used instead of it.
CHANGE_DEVIATIONS: typing.Final = 3.0
#: Requests a second below which a block of keys is no longer stored.
MIN_LOAD: typing.Final = 0.002
#: Seconds for which the speed of a target that has no new work is still
#: reported.
SPEED_REPORT_SECONDS: typing.Final = 2.0
#: Time constant of the average time of work at a target, in seconds. The time
#: varies from report to report, and without averaging this would move keys.
WORK_WINDOW_SECONDS: typing.Final = 6.0
#: Time constant used instead of `WORK_WINDOW_SECONDS`, in seconds, while a
#: target's time of work differs from its average by `CHANGED_WORK_RATIO`.
CHANGED_WORK_WINDOW_SECONDS: typing.Final = 1.0
#: Ratio of a reported time of work to its average, or the inverse, above which
#: the target's speed has changed.
CHANGED_WORK_RATIO: typing.Final = 1.8
#: Shortest time of work, in seconds; shorter reported times are raised to it.
MIN_WORK_SECONDS: typing.Final = 0.0001
#: Start time that selects the speeds of all known targets for a report.
SINCE_START: typing.Final = 0


class Load(typing.NamedTuple):
    """Requests a second on a block of keys, as two exponential averages."""

    long_average: float
    short_average: float
    #: Time up to which both averages have decayed, in seconds.
    counted_at: float


class Reporter:
    """Counts requests by key block and reports the counts to the coordinator."""

    def __init__(
        self,
        members: fleet.Fleet,
        lease: candidacy.Candidacy,
        handle_own: abc.Callable[[messages.Report], None],
        target_seconds: abc.Callable[[float], dict[str, float]],
    ) -> None:
        """`handle_own` gets the reports while this instance is coordinator.

        `target_seconds` returns the time of work at each target that reported
        one since the given time, both in seconds.
        """
        self.members = members
        self.lease = lease
        self.handle_own = handle_own
        self.target_seconds = target_seconds
        #: Requests since the last report, by service and block of keys.
        self.counts: dict[str, dict[int, int]] = {}
        #: Term of the coordinator that was sent the speeds of all targets.
        self.full_report_term = -1

    def count(self, service: str, key: int) -> None:
        """Counts a request on a key for the next report."""
        blocks = self.counts.setdefault(service, {})
        block = ranges.block_of(key)
        blocks[block] = blocks.get(block, 0) + 1

    async def run(self) -> None:
        """Reports to the coordinator until cancelled."""
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            report = self._report()
            if self.lease.holds:
                self.handle_own(report)
            elif self.lease.coordinator:
                self.members.send(self.lease.coordinator, report)

    def _report(self) -> messages.Report:
        """Returns the report of the load since the last one; resets the counts.

        The first report to a coordinator has the speeds of all targets, later
        ones only recent speeds.
        """
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
    """Load on keys and speed of targets, from the reports of all instances."""

    def __init__(self) -> None:
        """Starts without any report."""
        self.blocks: dict[str, dict[int, Load]] = {}
        #: Time since which each service's requests are counted, in seconds.
        self.counted_since: dict[str, float] = {}
        #: Average time of the work on a request, in seconds, by target.
        self.work_seconds: dict[str, float] = {}
        #: Time of the last report on each target's speed, in seconds.
        self.reported_at: dict[str, float] = {}

    def handle_report(self, report: messages.Report) -> None:
        """Adds an instance's report to the load and the speeds."""
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
        """Returns the requests a second on each block of a service's keys.

        Drops blocks with hardly any load left.
        """
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
        """Drops the speeds of targets that are not in `listed`."""
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
        """Adds a reported time of work at a target to the target's average."""
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
    """Returns a block's load: the long-term average, unless the load changed.

    After a significant change it is the short-term average. `counted_seconds`
    is the time since counting began; both averages are scaled up for the load
    before that, which they lack.
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
    """Returns the fraction of a steady load that an average shows by now.

    `counted_seconds` is the time since counting began, `window_seconds` the
    time constant of the average.
    """
    elapsed = max(counted_seconds, REPORT_SECONDS)
    return 1 - math.exp(-elapsed / window_seconds)


def _with_count(load: Load, count: int, now: float) -> Load:
    """Returns a block's load with `count` more requests, at time `now`."""
    decayed = _decayed(load, now)
    return decayed._replace(
        long_average=decayed.long_average + count / LONG_WINDOW_SECONDS,
        short_average=decayed.short_average + count / SHORT_WINDOW_SECONDS,
    )


def _decayed(load: Load, now: float) -> Load:
    """Returns a block's load decayed exponentially to time `now`."""
    elapsed = max(now - load.counted_at, 0)
    return Load(
        load.long_average * math.exp(-elapsed / LONG_WINDOW_SECONDS),
        load.short_average * math.exp(-elapsed / SHORT_WINDOW_SECONDS),
        now,
    )
