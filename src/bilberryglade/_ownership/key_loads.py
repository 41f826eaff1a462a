"""Load on keys: counted by each instance, added up by the coordinator.

A report is also the instance's sign of life. The messages grow with the
number of instances, not with its square.
"""

import asyncio
import math
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
    ) -> None:
        """`take_own` gets the reports while this instance coordinates."""
        self.members = members
        self.lease = lease
        self.take_own = take_own
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


def _faded(count: Count, now: float) -> float:
    elapsed = max(now - count.counted_at, 0)
    return count.rate * math.exp(-elapsed / LOAD_SECONDS)
