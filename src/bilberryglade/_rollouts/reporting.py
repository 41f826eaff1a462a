"""Tells the coordinator what this instance counts of rollouts."""

import typing
from collections import abc

from bilberryglade._membership import candidacy, fleet
from bilberryglade._rollouts import exposure
from bilberryglade._values import clock
from bilberryglade_schema import fleet as messages

#: Seconds between two reports of an instance, and the reports a second that the
#: coordinator of a large fleet gets at most; the time grows from there.
REPORT_SECONDS: typing.Final = 0.2
REPORTS_PER_SECOND: typing.Final = 300


class Reporter:
    """Reports the counts of rollouts that have not ended."""

    def __init__(
        self,
        lease: candidacy.Candidacy,
        own: exposure.Exposure,
        handle_own: abc.Callable[[messages.RolloutCounts], None],
    ) -> None:
        """`handle_own` gets the reports while this instance coordinates."""
        self.lease = lease
        self.exposure = own
        self.members: fleet.Fleet = own.members
        self.handle_own = handle_own
        self.reported_at: float = 0
        self.term = -1

    @property
    def pause(self) -> float:
        """Returns the seconds between two reports of an instance."""
        return max(
            REPORT_SECONDS, len(self.members.members) / REPORTS_PER_SECOND
        )

    def handle_stages(self, message: messages.RolloutStages) -> None:
        """Takes in what the coordinator tells, and answers a new phase."""
        if self.exposure.hear(message):
            self.report(has_ended=True)

    def report_due(self) -> None:
        """Reports if that is due."""
        if self.term != self.lease.term:
            self.term = self.lease.term
            self.exposure.retell()
            self.report(has_ended=True)
        elif clock.now() - self.reported_at >= self.pause:
            self.report(has_ended=False)

    def report(self, *, has_ended: bool) -> None:
        """Reports now; on rollouts that have ended too if `has_ended`."""
        self.reported_at = clock.now()
        for counts in self.exposure.counts(has_ended=has_ended):
            if self.lease.holds:
                self.handle_own(counts)
            elif self.lease.coordinator:
                self.members.send(self.lease.coordinator, counts)
