"""What one instance counts of a service's sends while a rollout runs.

Every number only grows while the process lives, so that of two tellings the
greater one stands, and one that is lost or repeated does no harm.
"""

import enum
import typing

from bilberryglade._rollouts import times


class Ending(enum.StrEnum):
    """What a send tells of the version at its target."""

    good = 'good'
    #: A whole answer with an error status.
    failed = 'failed'
    #: No whole answer came, or none at all.
    lost = 'lost'


class CellKey(typing.NamedTuple):
    """Of what answers are counted together."""

    #: Name and start of the target's life.
    target: str
    version: str
    route: str


class Cell(typing.NamedTuple):
    """Answers of one target on one route."""

    good: int = 0
    failed: int = 0
    lost: int = 0
    #: Good answers by class of their time of work.
    times: tuple[tuple[int, int], ...] = ()

    @property
    def answers(self) -> int:
        """Returns how many sends have ended."""
        return self.good + self.failed + self.lost


def with_ending(cell: Cell, ending: Ending, seconds: float | None) -> Cell:
    """Returns a cell with one more send.

    `seconds` is the time of its work; None if that tells nothing.
    """
    if ending is Ending.failed:
        return cell._replace(failed=cell.failed + 1)
    if ending is Ending.lost:
        return cell._replace(lost=cell.lost + 1)
    if seconds is None:
        return cell._replace(good=cell.good + 1)
    counts = dict(cell.times)
    number = times.class_of(seconds)
    counts[number] = counts.get(number, 0) + 1
    return cell._replace(
        good=cell.good + 1, times=tuple(sorted(counts.items()))
    )


def merged(known: Cell, told: Cell) -> Cell:
    """Returns the greater one of each number of two tellings."""
    counts = dict(known.times)
    for number, count in told.times:
        counts[number] = max(counts.get(number, 0), count)
    return Cell(
        max(known.good, told.good),
        max(known.failed, told.failed),
        max(known.lost, told.lost),
        tuple(sorted(counts.items())),
    )


def difference(after: Cell, before: Cell) -> Cell:
    """Returns what `after` counts beyond `before`."""
    earlier = dict(before.times)
    counts = (
        (number, count - earlier.get(number, 0))
        for number, count in after.times
    )
    return Cell(
        after.good - before.good,
        after.failed - before.failed,
        after.lost - before.lost,
        tuple((number, count) for number, count in counts if count),
    )


class Counter:
    """The counts of one service since an order."""

    def __init__(self, order: int) -> None:
        """Starts at zero; `order` is the number of the order."""
        self.order = order
        #: Requests sent since then, by version.
        self.sent: dict[str, int] = {}
        self.cells: dict[CellKey, Cell] = {}
        #: Cells that have changed, and how often they are still to be told.
        self.fresh: dict[CellKey, int] = {}

    def begin(self, version: str) -> None:
        """Counts a request that is sent."""
        self.sent[version] = self.sent.get(version, 0) + 1

    def end(self, key: CellKey, ending: Ending, seconds: float | None) -> None:
        """Counts what became of a send; `seconds` as in `with_ending`."""
        cell = self.cells.get(key, Cell())
        self.cells[key] = with_ending(cell, ending, seconds)
        self.fresh[key] = TELLINGS

    def take_fresh(self) -> dict[CellKey, Cell]:
        """Returns the cells that are to be told now."""
        told = {key: self.cells[key] for key in self.fresh}
        self.fresh = {
            key: left - 1 for key, left in self.fresh.items() if left > 1
        }
        return told

    def retell(self) -> None:
        """Has all cells told again, to a coordinator that knows none."""
        self.fresh = dict.fromkeys(self.cells, TELLINGS)


#: How often a cell that has changed is told: single messages may be lost.
TELLINGS: typing.Final = 2
