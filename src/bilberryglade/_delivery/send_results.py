"""Results of sends as evidence on the target's health and load.

They are separate from the outcome, which says what became of the request.
"""

import enum
import typing

from bilberryglade._targets import directory, standing
from bilberryglade._values import outcomes

#: Lowest HTTP status that counts as a failure of the target.
MIN_ERROR_STATUS: typing.Final = 500


class SendResult(enum.StrEnum):
    """How a send went, as far as the target is concerned."""

    good = 'good'
    #: A complete answer with an error status.
    bad = 'bad'
    #: The target refused the request because its queue was full.
    shed = 'shed'
    #: The target refused the request for a reason other than its load.
    refused = 'refused'
    #: The target reported a full queue while it had free places.
    faulty = 'faulty'
    #: No byte of the request reached the target.
    unreachable = 'unreachable'
    #: The connection broke, or the answer was malformed.
    lost = 'lost'
    #: No answer came before the timeout.
    silent = 'silent'
    #: The send was cancelled or never made; nothing is learnt of the target.
    abandoned = 'abandoned'


#: Results that the network path may have caused as well as the target.
PATH_FAILURES: typing.Final = frozenset(
    (SendResult.unreachable, SendResult.lost, SendResult.silent)
)


class FinishedSend(typing.NamedTuple):
    """The result and duration of a send that has ended."""

    result: SendResult
    #: From the start of the send to its end.
    seconds: float = 0
    #: Load that the target reported with its answer; None if it reported none.
    report: standing.Report | None = None
    #: Expected duration, waiting included, in multiples of the target's usual
    #: work time; None if unknown.
    work_units: float | None = None
    #: For how long the target wants nothing from the sending instance.
    hold_seconds: float = 0


def result_of_outcome(outcome: outcomes.Outcome) -> SendResult:
    """Returns the send result that follows from a request's outcome."""
    if isinstance(outcome, outcomes.Answered):
        is_good = outcome.status < MIN_ERROR_STATUS
        return SendResult.good if is_good else SendResult.bad
    if outcome.reason is outcomes.Reason.caller_gone:
        return SendResult.abandoned
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
    """Returns a target's standing (its observed health and load) after a send.

    `hold_seconds` is not considered: it concerns the sending instance alone.
    """
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
    """Returns how long the target worked, without the wait in its queue.

    None if the queue's part of the duration is unknown.
    """
    if finished.work_units is not None:
        return finished.seconds / finished.work_units
    if finished.report is not None and finished.report.waiting:
        return None
    return finished.seconds
