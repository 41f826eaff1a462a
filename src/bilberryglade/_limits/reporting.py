"""Reports of each instance to the coordinator, and the coordinator's answers.

A report carries demand and load, and is the instance's sign of life. The
messages grow with the number of instances, not with its square.
"""

import asyncio
import math
import typing
from collections import abc

from bilberryglade._limits import desks, shares
from bilberryglade._membership import candidacy, fleet
from bilberryglade._ownership import ranges
from bilberryglade._routing import catalogue
from bilberryglade._values import clock
from bilberryglade_schema import fleet as messages

#: Seconds between two reports; a share outlives three of them.
REPORT_SECONDS: typing.Final = 0.35
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


class Reporting:
    """Counts at one instance, and tells the coordinator."""

    def __init__(
        self,
        members: fleet.Fleet,
        lease: candidacy.Candidacy,
        quotas: desks.Desks,
    ) -> None:
        """Has counted nothing."""
        self.members = members
        self.lease = lease
        self.quotas = quotas
        self.loads: dict[str, dict[int, Count]] = {}
        self.sequence = 0
        self.asked: dict[int, float] = {}
        #: Where the reports of this instance go while it coordinates.
        self.take_own: abc.Callable[[messages.Report], None] = lambda _: None

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
            self.sequence += 1
            now = clock.now()
            self.asked = {
                number: moment
                for number, moment in self.asked.items()
                if now - moment < REPORT_LIFE_SECONDS
            }
            self.asked[self.sequence] = now
            report = self._report(now)
            if self.lease.holds:
                self.take_own(report)
            elif self.lease.coordinator:
                self.members.send(self.lease.coordinator, report)

    def take(self, answer: messages.Shares) -> None:
        """Takes in the answer to a report of this process."""
        asked_at = self.asked.pop(answer['sequence'], None)
        if asked_at is None or answer['boot'] != self.members.own.boot:
            return
        self.quotas.lend(answer['shares'], asked_at)

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
            'boot': self.members.own.boot,
            'sequence': self.sequence,
            'demands': self.quotas.demands(),
            'key_loads': {
                service: {
                    str(block): round(_faded(count, now), 2)
                    for block, count in blocks.items()
                }
                for service, blocks in self.loads.items()
            },
        }


class Dividing:
    """The coordinator's side: divides rates, and adds up loads."""

    def __init__(
        self,
        members: fleet.Fleet,
        lease: candidacy.Candidacy,
        organisations: abc.Callable[[], dict[str, catalogue.Organisation]],
        instances: abc.Callable[[], int],
    ) -> None:
        """`organisations` returns those of the configuration in force."""
        self.members = members
        self.lease = lease
        self.organisations = organisations
        self.instances = instances
        self.reports: dict[str, tuple[messages.Report, float]] = {}
        #: What is lent of each organisation's rate, by instance.
        self.lent: dict[str, dict[str, shares.Loan]] = {}
        #: Seconds until which an earlier coordinator's loans may hold.
        self.lent_unknown_until = 0.0
        #: Where answers to this instance's own reports go.
        self.own_answers: abc.Callable[[messages.Shares], None] = (
            lambda _: None
        )

    def begin(self) -> None:
        """Starts a term: what was lent in an earlier one is not known."""
        self.lent.clear()
        self.lent_unknown_until = clock.now() + shares.SHARE_SECONDS

    def take(self, report: messages.Report) -> None:
        """Takes in a report, and answers it if this instance coordinates."""
        now = clock.now()
        self.reports[report['sender']] = (report, now)
        if not self.lease.holds:
            return
        answer: messages.Shares = {
            'kind': 'shares',
            'sender': self.members.own.name,
            'boot': report['boot'],
            'sequence': report['sequence'],
            'shares': self._shares(report, now),
        }
        if report['sender'] == self.members.own.name:
            self.own_answers(answer)
        else:
            self.members.send(report['sender'], answer)

    def loads(self, service: str) -> dict[int, float]:
        """Returns the requests a second on each block of a service's keys."""
        total: dict[int, float] = {}
        for report in self._fresh(clock.now()):
            for block, rate in report['key_loads'].get(service, {}).items():
                total[int(block)] = total.get(int(block), 0.0) + rate
        return total

    def _shares(
        self,
        report: messages.Report,
        now: float,
    ) -> dict[str, float]:
        known = self.organisations()
        granted: dict[str, float] = {}
        for name in report['demands']:
            holder = known.get(name)
            if holder is not None and holder.rate:
                rate = self._share(report['sender'], holder, now)
                granted[name] = round(rate, 3)
        return granted

    def _share(
        self,
        sender: str,
        holder: catalogue.Organisation,
        now: float,
    ) -> float:
        """Returns the share of one instance, and notes it as lent."""
        demands = {
            one['sender']: one['demands'].get(holder.name, 0.0)
            for one in self._fresh(now)
        }
        quota = shares.Quota(holder.rate, holder.burst)
        instances = max(self.instances(), len(demands))
        divided = shares.divide(quota, instances, demands)
        lent = {
            name: loan
            for name, loan in self.lent.get(holder.name, {}).items()
            if loan.until > now and name != sender
        }
        floor = shares.floor_of(quota, instances)
        free = shares.free_of(
            quota, instances, [loan.rate for loan in lent.values()]
        )
        rate = max(min(divided.get(sender, floor), free), floor)
        if now < self.lent_unknown_until:
            rate = floor
        lent[sender] = shares.Loan(rate, now + shares.SHARE_SECONDS)
        self.lent[holder.name] = lent
        return rate

    def _fresh(self, now: float) -> list[messages.Report]:
        return [
            report
            for report, taken_at in self.reports.values()
            if now - taken_at < REPORT_LIFE_SECONDS
        ]


def _faded(count: Count, now: float) -> float:
    elapsed = max(now - count.counted_at, 0)
    return count.rate * math.exp(-elapsed / LOAD_SECONDS)
