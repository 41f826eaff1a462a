"""Rows of the quarantine's steps: whom deaths blame while reports go wrong."""

import random
import typing

from bilberryglade._delivery import crash_watch, quarantine
from bilberryglade_lab.matrix import rows
from bilberryglade_lab.observers import violations

TARGETS: typing.Final = 6
DEATHS: typing.Final = 12
INSTANCES: typing.Final = 3
GUILTY: typing.Final = 'guilty'
HIT_PERCENT: typing.Final = 40
LOSSES: typing.Final = frozenset(
    (
        'message_dropped',
        'answer_lost',
        'connection_silent',
        'partition_peers',
        'partition_both',
        'partition_one_way',
    ),
)
DELAYS: typing.Final = frozenset(
    ('message_delayed', 'message_reordered', 'pause', 'freeze_and_return'),
)
COPIES: typing.Final = frozenset(('message_duplicated',))
OTHERS: typing.Final = frozenset(('loss', 'target_cold', 'crashing_request'))


class Reports:
    """Deaths seen by several instances, which tell one another."""

    def __init__(self, seed: int, struck: frozenset[str]) -> None:
        """Draws from `seed`."""
        self.draw = random.Random(seed)
        self.struck = struck
        self.inquests = [quarantine.CrashHistory() for _ in range(INSTANCES)]
        self.late: list[tuple[int, quarantine.TargetCrash]] = []
        self.blamed: list[str] = []

    def run(self) -> list[violations.Violation]:
        """Lets targets die one after another; returns who was wronged."""
        for number in range(DEATHS):
            self.die(number)
            self.catch_up()
        wronged = sorted(set(self.blamed) - {GUILTY})
        return [
            violations.Violation('only the guilty are blamed', name)
            for name in wronged
        ]

    def die(self, number: int) -> None:
        """Lets a target die of the guilty request beside other requests."""
        neighbours = {
            f'request-{number}-{place}'
            for place in range(self.draw.randrange(3))
        }
        death = quarantine.TargetCrash(
            str(number),
            f'target-{self.draw.randrange(TARGETS)}',
            frozenset((GUILTY, *neighbours)),
        )
        if 'target_cold' in self.struck and self.hits():
            death = death._replace(suspects=frozenset(neighbours))
        witness = self.draw.randrange(INSTANCES)
        finding = quarantine.on_crash(self.inquests[witness], death)
        self.inquests[witness] = finding.history
        if finding.blamed_fingerprint:
            self.blamed.append(finding.blamed_fingerprint)
        for instance in range(INSTANCES):
            if instance != witness:
                self.tell(instance, death)
        if 'loss' in self.struck and self.hits():
            self.inquests[witness] = quarantine.CrashHistory()

    def tell(self, instance: int, death: quarantine.TargetCrash) -> None:
        """Reports a death, as the faults have it."""
        if self.struck & LOSSES and self.hits():
            return
        if self.struck & DELAYS and self.hits():
            self.late.append((instance, death))
            return
        for _ in range(4 if self.struck & COPIES else 1):
            self.take(instance, death)

    def take(self, instance: int, death: quarantine.TargetCrash) -> None:
        """Lets an instance take a report in."""
        finding = quarantine.on_crash(self.inquests[instance], death)
        self.inquests[instance] = finding.history

    def catch_up(self) -> None:
        """Delivers some of the late reports, in any order."""
        self.draw.shuffle(self.late)
        while self.late and self.hits():
            self.take(*self.late.pop())

    def hits(self) -> bool:
        """Tells whether a fault hits now."""
        return self.draw.randrange(100) < HIT_PERCENT


@rows.sweep(
    crash_watch.REPORT_CRASH.name,
    *sorted(LOSSES | DELAYS | COPIES | OTHERS),
)
def deaths(seed: int, struck: frozenset[str]) -> list[violations.Violation]:
    """Runs one schedule of deaths."""
    return Reports(seed, struck).run()


def _exclude() -> None:
    for fault in ('key_withdrawn', 'log_down', 'partition_platform'):
        rows.not_applicable(
            crash_watch.REPORT_CRASH.name,
            fault,
            'reports go from instance to instance',
        )


_exclude()
