"""A log with retention and replicas that lag, and instances that follow it."""

import bisect
import typing

from bilberryglade._log import chunks, intake, snapshots
from bilberryglade._state import folding, state

#: Ticks after which the log drops a record.
KEPT_TICKS: typing.Final = 30
#: Ticks after which a record without a verdict is appended again.
APPEND_TICKS: typing.Final = 4


class FakeLog:
    """The control stream and the stream of snapshots."""

    def __init__(self) -> None:
        """Starts empty."""
        self.records: list[folding.Record] = []
        self.appended_at: list[int] = []
        self.parts: list[chunks.Part] = []

    @property
    def head(self) -> int:
        """Offset of the newest record."""
        return len(self.records)

    def append(self, record: folding.Record, now: int) -> int:
        """Adds a record and returns its offset."""
        self.records.append(record)
        self.appended_at.append(now)
        return self.head

    def head_at(self, moment: float) -> int:
        """Returns the head before `moment`: the observer's truth."""
        return bisect.bisect_left(self.appended_at, moment)

    def oldest(self, now: int) -> int:
        """Returns the offset of the oldest record kept."""
        return 1 + self.head_at(now - KEPT_TICKS)

    def read(self, start: int, now: int, lag: int) -> intake.Batch:
        """Returns what a replica that lacks `lag` records answers."""
        oldest = self.oldest(now)
        head = max(self.head - lag, oldest - 1)
        records = tuple(
            intake.Numbered(offset, self.records[offset - 1])
            for offset in range(max(start, oldest), head + 1)
        )
        return intake.Batch(records, head, oldest)

    def folded(self) -> state.ClusterState:
        """Returns the state of all records ever appended."""
        whole = state.ClusterState()
        for offset, record in enumerate(self.records, 1):
            whole = folding.fold(whole, offset, record).state
        return whole


class Acknowledged(typing.NamedTuple):
    """A record whose writer was told the verdict."""

    record: folding.Record
    verdict: state.Verdict


class Replica:
    """One instance: its intake and the records that it tries to commit."""

    def __init__(self, name: str) -> None:
        """Starts with nothing."""
        self.name = name
        self.boot = 0
        self.paused_until = 0
        self.acknowledged: list[Acknowledged] = []
        self.known = intake.Intake()
        self.pending: dict[str, folding.Record] = {}
        self.tried_at: dict[str, int] = {}
        self.mark = snapshots.Mark(0, 0)

    def restart(self) -> None:
        """Loses all but what its writers were told."""
        self.boot += 1
        self.known = intake.Intake()
        self.pending = {}
        self.mark = snapshots.Mark(0, 0)

    def due_records(self, now: int) -> list[folding.Record]:
        """Returns the records to append now, also those without a verdict."""
        due = [
            record
            for record_id, record in self.pending.items()
            if now - self.tried_at.get(record_id, -APPEND_TICKS) >= APPEND_TICKS
        ]
        for record in due:
            self.tried_at[record['id']] = now
        return due

    def adopt(self, known: intake.Intake) -> None:
        """Makes `known` the intake and acknowledges folded records."""
        self.known = known
        for record_id, record in list(self.pending.items()):
            verdict = known.view.verdicts.get(record_id)
            if verdict is not None:
                self.acknowledged.append(Acknowledged(record, verdict))
                self.pending.pop(record_id)
