"""What a send tells of its target, beside what it means for the request."""

import enum
import typing

from bilberryglade._targets import directory, standing
from bilberryglade._values import outcomes

#: Status from which an answer tells of a failure of its target.
MIN_ERROR_STATUS: typing.Final = 500


class SendResult(enum.StrEnum):
    """How a send went, as far as its target is concerned."""

    good = 'good'
    #: A whole answer, of a failure.
    bad = 'bad'
    #: The target had no room, and said so.
    shed = 'shed'
    #: The target refused for a reason that says nothing of its load.
    refused = 'refused'
    #: The target said that it had no room, while it had.
    faulty = 'faulty'
    #: No byte reached it.
    unreachable = 'unreachable'
    #: The connection broke, or what came was no answer.
    lost = 'lost'
    #: No answer came in time.
    silent = 'silent'
    #: The send was given up, or never made.
    abandoned = 'abandoned'


#: Endings that may be the path's fault as well as the target's.
PATH_FAILURES: typing.Final = frozenset(
    (SendResult.unreachable, SendResult.lost, SendResult.silent)
)


class FinishedSend(typing.NamedTuple):
    """A send that is over."""

    result: SendResult
    #: From the send to its end.
    seconds: float = 0
    #: None if nothing was told of the target's load.
    report: standing.Report | None = None
    #: Times of usual work that it took, the wait included; None if unknown.
    work_units: float | None = None


def result_of_outcome(outcome: outcomes.Outcome) -> SendResult:
    """Returns how the send that came to `outcome` went."""
    if isinstance(outcome, outcomes.Answered):
        is_good = outcome.status < MIN_ERROR_STATUS
        return SendResult.good if is_good else SendResult.bad
    if isinstance(outcome, outcomes.NotRun):
        return SendResult.unreachable
    if outcome.reason is outcomes.Reason.answer_lost:
        return SendResult.lost
    if outcome.reason is outcomes.Reason.deadline:
        return SendResult.silent
    return SendResult.abandoned


def standing_after(
    before: standing.Standing,
    target: directory.Target,
    finished: FinishedSend,
    now: float,
) -> standing.Standing:
    """Returns the standing of a target after a send to it."""
    if finished.result is SendResult.shed:
        return standing.shed(before, target.places, now)
    if finished.result in {SendResult.good, SendResult.bad}:
        answer = standing.Answer(
            _work_seconds(finished),
            finished.report,
            finished.result is SendResult.good,
        )
        return standing.answered(before, answer, now)
    if finished.result is SendResult.faulty:
        return standing.failed(before)
    if finished.result is SendResult.unreachable:
        return standing.unreachable(before, target.offset, now)
    if finished.result is SendResult.lost:
        return standing.lost(before, target.offset, now)
    if finished.result is SendResult.silent:
        return standing.silent(before, target.offset, now)
    return before


def _work_seconds(finished: FinishedSend) -> float | None:
    """Returns how long the work itself took, if that can be told."""
    if finished.work_units is not None:
        return finished.seconds / finished.work_units
    if finished.report is not None and finished.report.waiting:
        return None
    return finished.seconds
