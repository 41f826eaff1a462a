"""Compares the answers of a new version with those of the old one.

Answers are gathered in short windows of time, and the new version's answers of
each window and route are compared with what the old version's answers of the
same window and route let expect. So a spell in which everything is slow or
fails counts against neither version.
"""

import enum
import typing
from collections import abc

import immutables

from bilberryglade._rollouts import counting, times

#: Length of a window in seconds: below that of targets' slow spells, some 0.4 s.
WINDOW_SECONDS: typing.Final = 0.3
#: Weight that the old version's answers keep from window to window: routes with
#: few answers need more than one window for a rate.
KEPT_WEIGHT: typing.Final = 0.5
#: Windows without an answer of the old version after which there is nothing to
#: compare with: a spell in which everything fails must not tell against the new
#: version alone.
OLDEST_WINDOWS: typing.Final = 1
#: Classes of times by which slow work lies above the old version's median: 2.4
#: times as long. Targets of one service differ by less from their median.
SLOW_CLASSES: typing.Final = 4


class Sample(typing.NamedTuple):
    """Answers that one instance had of one target on one route lately."""

    instance: str
    key: counting.CellKey
    cell: counting.Cell


class Axis(enum.StrEnum):
    """By what the new version's answers on a route are divided."""

    whole = 'whole'
    instance = 'instance'
    target = 'target'


class Group(typing.NamedTuple):
    """Answers of the new version that are compared together."""

    route: str
    axis: Axis
    #: Name of the instance or of the target's life; '' for the whole.
    name: str = ''


class Excess(typing.NamedTuple):
    """A count beside what the old version lets expect of it."""

    tried: float = 0
    counted: float = 0
    expected: float = 0
    variance: float = 0

    @property
    def beyond(self) -> float:
        """Returns by how much the count is above what was expected."""
        return self.counted - self.expected

    def plus(self, other: 'Excess') -> 'Excess':
        """Returns both together."""
        return Excess(
            *(mine + theirs for mine, theirs in zip(self, other, strict=True))
        )


class Score(typing.NamedTuple):
    """What is known of one group of answers of the new version."""

    #: Sends without a good answer, of all that have ended.
    bad: Excess = Excess()
    #: Slow answers, of those with a time of work.
    slow: Excess = Excess()

    def plus(self, other: 'Score') -> 'Score':
        """Returns both together."""
        return Score(self.bad.plus(other.bad), self.slow.plus(other.slow))


class Baseline(typing.NamedTuple):
    """Answers of the old version on one route, newer ones with more weight."""

    answers: float = 0
    bad: float = 0
    times: immutables.Map[int, float] = immutables.Map()
    #: Windows since its last answer.
    age: int = 0


class Evidence(typing.NamedTuple):
    """All that has been compared since an order."""

    scores: immutables.Map[Group, Score] = immutables.Map()
    baselines: immutables.Map[str, Baseline] = immutables.Map()
    #: Answers of the old version by route.
    old_answers: immutables.Map[str, int] = immutables.Map()


def with_window(
    evidence: Evidence,
    samples: abc.Sequence[Sample],
    version: str,
) -> Evidence:
    """Returns `evidence` with the samples of one window.

    `version` is the new one; all others count as the old one.
    """
    old = [sample for sample in samples if sample.key.version != version]
    new = [sample for sample in samples if sample.key.version == version]
    evidence = _with_old(evidence, old)
    scores = evidence.scores
    for sample in new:
        base = evidence.baselines.get(sample.key.route)
        if base is None or base.age > OLDEST_WINDOWS:
            # Nothing of the same time to compare with.
            continue
        added = _score(sample.cell, base)
        for group in _groups_of(sample):
            score = scores.get(group, Score())
            scores = scores.set(group, score.plus(added))
    return evidence._replace(scores=scores)


def _groups_of(sample: Sample) -> tuple[Group, ...]:
    route = sample.key.route
    return (
        Group(route, Axis.whole),
        Group(route, Axis.instance, sample.instance),
        Group(route, Axis.target, sample.key.target),
    )


def _with_old(evidence: Evidence, old: abc.Sequence[Sample]) -> Evidence:
    """Returns the evidence after a window; a route without answers stays."""
    baselines = immutables.Map(
        {
            route: base._replace(age=base.age + 1)
            for route, base in evidence.baselines.items()
        }
    )
    old_answers = evidence.old_answers
    by_route: dict[str, list[counting.Cell]] = {}
    for sample in old:
        by_route.setdefault(sample.key.route, []).append(sample.cell)
    for route, cells in by_route.items():
        before = baselines.get(route, Baseline())
        baselines = baselines.set(route, _with_cells(before, cells))
        answers = sum(cell.answers for cell in cells)
        old_answers = old_answers.set(
            route, old_answers.get(route, 0) + answers
        )
    return evidence._replace(baselines=baselines, old_answers=old_answers)


def _with_cells(
    before: Baseline, cells: abc.Sequence[counting.Cell]
) -> Baseline:
    counts = {
        number: count * KEPT_WEIGHT for number, count in before.times.items()
    }
    for cell in cells:
        for number, count in cell.times:
            counts[number] = counts.get(number, 0) + count
    answers = sum(cell.answers for cell in cells)
    bad = sum(cell.failed + cell.lost for cell in cells)
    return Baseline(
        before.answers * KEPT_WEIGHT + answers,
        before.bad * KEPT_WEIGHT + bad,
        immutables.Map(counts),
    )


def _score(cell: counting.Cell, base: Baseline) -> Score:
    bad = _excess(cell.answers, cell.failed + cell.lost, base.bad, base.answers)
    median = times.median_of(base.times)
    if median is None:
        return Score(bad)
    limit = median + SLOW_CLASSES
    slow = _excess(
        sum(count for _, count in cell.times),
        times.above(dict(cell.times), limit),
        times.above(base.times, limit),
        sum(base.times.values()),
    )
    return Score(bad, slow)


def _excess(
    tried: float, counted: float, old_counted: float, old_tried: float
) -> Excess:
    """Returns a count beside what the old version's rate lets expect.

    Few answers of the old version are no certain rate: its own variance is that
    with one more bad and one more good answer.
    """
    if not old_tried:
        return Excess(tried, counted, tried, tried * tried)
    rate = old_counted / old_tried
    careful = (old_counted + 1) / (old_tried + 2)
    own = tried * rate * (1 - rate)
    of_rate = tried * tried / old_tried * careful * (1 - careful)
    return Excess(tried, counted, tried * rate, own + of_rate)
