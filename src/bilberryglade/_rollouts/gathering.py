"""The counts of all instances on one rollout, as the coordinator merges them."""

import typing
from collections import abc

from bilberryglade._rollouts import counting, evidence, phases, verdict


class Standing(typing.NamedTuple):
    """What an instance told last."""

    phase: str
    #: Requests that it has at targets of other versions than the new one.
    running_old: int
    #: Monotonic seconds at which it was told.
    told_at: float


class Sent(typing.NamedTuple):
    """Requests that one process of an instance sent since the order."""

    all_versions: int = 0
    new_version: int = 0


class Told(typing.NamedTuple):
    """What one message tells."""

    instance: str
    #: Differs from start to start of the instance.
    process: str
    sent: Sent
    standing: Standing
    cells: abc.Mapping[counting.CellKey, counting.Cell]


class Gathering:
    """All that the instances have told of one rollout."""

    def __init__(self, version: str, sent: abc.Mapping[str, Sent]) -> None:
        """Knows what was `sent` by the processes that told it before."""
        self.version = version
        self.sent = dict(sent)
        self.cells: dict[tuple[str, counting.CellKey], counting.Cell] = {}
        self.standings: dict[str, Standing] = {}
        self.evidence = evidence.Evidence()
        self.judged = verdict.Verdict()
        self.window: list[evidence.Sample] = []
        self.window_began: float = 0

    def take(self, told: Told) -> None:
        """Takes in a message; one that is repeated changes nothing."""
        known = self.sent.get(told.process, Sent())
        self.sent[told.process] = Sent(
            max(known.all_versions, told.sent.all_versions),
            max(known.new_version, told.sent.new_version),
        )
        self.standings[told.instance] = told.standing
        for key, cell in told.cells.items():
            before = self.cells.get((told.process, key), counting.Cell())
            after = counting.merged(before, cell)
            self.cells[told.process, key] = after
            fresh = counting.difference(after, before)
            if fresh.answers:
                sample = evidence.Sample(told.instance, key, fresh)
                self.window.append(sample)

    def judge(self, now: float, targets: int) -> verdict.Verdict:
        """Returns the verdict at `now`, in monotonic seconds.

        `targets` is how many of the new version are offered.
        """
        if now - self.window_began < evidence.WINDOW_SECONDS:
            return self.judged
        self.window_began = now
        if self.window:
            self.evidence = evidence.with_window(
                self.evidence, self.window, self.version
            )
            self.window = []
            self.judged = verdict.judge(
                self.evidence, len(self.standings), targets
            )
        return self.judged

    def totals(self) -> Sent:
        """Returns what all instances have sent."""
        return Sent(
            sum(sent.all_versions for sent in self.sent.values()),
            sum(sent.new_version for sent in self.sent.values()),
        )

    def is_rolled_back(self) -> bool:
        """Tells whether an instance was told that the version is bad."""
        return any(
            standing.phase == phases.Phase.rolled_back
            for standing in self.standings.values()
        )

    def waiting_for(
        self, phase: phases.Phase, instances: abc.Iterable[str], since: float
    ) -> list[str]:
        """Returns the instances that may still send to the old version.

        That is who has not told since `since` that it chooses by `phase` and
        has nothing at a target of the old version.
        """
        return [
            name for name in instances if not self._is_over(name, phase, since)
        ]

    def _is_over(self, name: str, phase: phases.Phase, since: float) -> bool:
        standing = self.standings.get(name)
        if standing is None or standing.told_at < since:
            return False
        return standing.phase == phase and not standing.running_old
