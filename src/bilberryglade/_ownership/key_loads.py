"""Load on keys: counted by each instance, added up by the coordinator.

A report is also the instance's sign of life. The messages grow with the
number of instances, not with its square.
"""

import asyncio
import math
import statistics
import typing
from collections import abc

from bilberryglade._membership import candidacy, fleet
from bilberryglade._ownership import ranges
from bilberryglade._values import clock
from bilberryglade_schema import fleet as messages

#: Seconds between two reports.
REPORT_SECONDS: typing.Final = 0.5
#: Seconds over which the load of a block of keys is counted.
LOAD_SECONDS: typing.Final = 3.0
#: Requests a second below which a block is left out of a report.
LEAST_LOAD: typing.Final = 0.1
#: Seconds after which a report does not count any more.
REPORT_LIFE_SECONDS: typing.Final = 2.0
#: How much faster than its speed a target's weight falls, and its bounds.
SPEED_POWER: typing.Final = 1.5
LEAST_WEIGHT: typing.Final = 0.25
MOST_WEIGHT: typing.Final = 2.5


class Count(typing.NamedTuple):
    """Requests a second, fading."""

    rate: float
    counted_at: float


class Reporter:
    """Counts at one instance, and tells the coordinator."""

    def __init__(
        self,
        members: fleet.Fleet,
        lease: candidacy.Candidacy,
        take_own: abc.Callable[[messages.Report], None],
        target_seconds: abc.Callable[[], dict[str, float]],
    ) -> None:
        """`take_own` gets the reports while this instance coordinates.

        `target_seconds` returns how long work takes at each target.
        """
        self.members = members
        self.lease = lease
        self.take_own = take_own
        self.target_seconds = target_seconds
        self.loads: dict[str, dict[int, Count]] = {}

    def count(self, service: str, key: int) -> None:
        """Counts a request on a key."""
        blocks = self.loads.setdefault(service, {})
        block = ranges.block_of(key)
        now = clock.now()
        rate = _faded(blocks.get(block, Count(0, now)), now)
        blocks[block] = Count(rate + 1 / LOAD_SECONDS, now)

    async def keep(self) -> None:
        """Reports until it is cancelled."""
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            report = self._report(clock.now())
            if self.lease.holds:
                self.take_own(report)
            elif self.lease.coordinator:
                self.members.send(self.lease.coordinator, report)

    def _report(self, now: float) -> messages.Report:
        for service, blocks in self.loads.items():
            self.loads[service] = {
                block: count
                for block, count in blocks.items()
                if _faded(count, now) > LEAST_LOAD
            }
        return {
            'kind': 'report',
            'sender': self.members.own.name,
            'key_loads': {
                service: {
                    str(block): round(_faded(count, now), 2)
                    for block, count in blocks.items()
                }
                for service, blocks in self.loads.items()
            },
            'target_seconds': self.target_seconds(),
        }


class LoadSum:
    """The coordinator's view of the load on keys."""

    def __init__(self) -> None:
        """Has no report."""
        self.reports: dict[str, tuple[messages.Report, float]] = {}

    def take(self, report: messages.Report) -> None:
        """Takes in an instance's report in the place of its last one."""
        self.reports[report['sender']] = (report, clock.now())

    def loads(self, service: str) -> dict[int, float]:
        """Returns the requests a second on each block of a service's keys."""
        now = clock.now()
        total: dict[int, float] = {}
        for report, taken_at in self.reports.values():
            if now - taken_at > REPORT_LIFE_SECONDS:
                continue
            for block, rate in report['key_loads'].get(service, {}).items():
                total[int(block)] = total.get(int(block), 0) + rate
        return total

    def weight(self, target: str) -> float:
        """Returns how much of a usual target's load a target can carry.

        Work that takes twice as long also waits longer behind other work, so
        the weight falls faster than the speed.
        """
        seconds = self._seconds()
        own = seconds.get(target)
        if not own:
            return 1
        usual = statistics.median(seconds.values())
        weight = float((usual / own) ** SPEED_POWER)
        return min(max(weight, LEAST_WEIGHT), MOST_WEIGHT)

    def _seconds(self) -> dict[str, float]:
        now = clock.now()
        told: dict[str, list[float]] = {}
        for report, taken_at in self.reports.values():
            if now - taken_at > REPORT_LIFE_SECONDS:
                continue
            for target, seconds in report['target_seconds'].items():
                told.setdefault(target, []).append(seconds)
        return {
            target: statistics.fmean(words) for target, words in told.items()
        }


def _faded(count: Count, now: float) -> float:
    elapsed = max(now - count.counted_at, 0)
    return count.rate * math.exp(-elapsed / LOAD_SECONDS)
