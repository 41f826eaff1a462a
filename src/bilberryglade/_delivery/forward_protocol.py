"""Decides about a forward: whether it is accepted, and when it may run.

A message that waited in a socket may arrive long after its sender gave up, and
instances share no clock. The leader therefore answers `forward_accepted`, and
runs a request that may not be repeated only when the sender has replied
`forward_proceed`. A sender that gives up earlier can report that the request
was not run.
"""

import typing

import immutables

from bilberryglade._values import outcomes, steps

ACCEPTED: typing.Final = steps.declare(
    'delivery.forward_accepted',
    steps.StepKind.message,
)
PROCEED: typing.Final = steps.declare(
    'delivery.forward_proceed',
    steps.StepKind.message,
)
#: Time for which a leader remembers forwards, to ignore duplicates of them.
DUPLICATE_WINDOW_SECONDS: typing.Final = 60.0
#: Number of remembered forwards from which the oldest ones are dropped.
MAX_REMEMBERED_FORWARDS: typing.Final = 65_536


class SentForward(typing.NamedTuple):
    """The sender's state of one forward."""

    repeatable: bool
    #: Name of the instance that the forward was sent to.
    leader: str
    #: Log offset at which that instance joined; another one after a restart.
    joined_at: int
    accepted: bool = False

    @property
    def may_run(self) -> bool:
        """Whether the leader may run the request from now on."""
        return self.repeatable or self.accepted


def outcome_without_answer(forward: SentForward) -> outcomes.Outcome:
    """Returns the outcome of a forward whose leader gave no answer."""
    if forward.may_run:
        return outcomes.Unknown(outcomes.Reason.answer_lost)
    return outcomes.NotRun(outcomes.Reason.peer_unreachable)


class ReceivedForwards(typing.NamedTuple):
    """The leader's state of the forwards that it received recently."""

    #: Monotonic seconds at which each forward arrived, by request id.
    received_at: immutables.Map[str, float] = immutables.Map()
    #: Deadlines of accepted requests that await `forward_proceed`, by id.
    awaiting_proceed: immutables.Map[str, float] = immutables.Map()


class ForwardDecision(typing.NamedTuple):
    """The leader's state after a message, and the actions to perform."""

    received: ReceivedForwards
    #: Whether the leader answers `forward_accepted`.
    accepts: bool = False
    #: Whether the request runs now.
    runs: bool = False


def on_forward(
    received: ReceivedForwards,
    request_id: str,
    repeatable: bool,
    deadline: float,
    now: float,
) -> ForwardDecision:
    """Decides about a forward that arrived; a duplicate causes no action."""
    if request_id in received.received_at:
        return ForwardDecision(received)
    received_at = _trim(received.received_at, now).set(request_id, now)
    if repeatable:
        return ForwardDecision(
            received._replace(received_at=received_at), accepts=True, runs=True
        )
    awaiting_proceed = received.awaiting_proceed.set(request_id, deadline)
    return ForwardDecision(
        ReceivedForwards(received_at, awaiting_proceed), accepts=True
    )


def on_proceed(
    received: ReceivedForwards, request_id: str, now: float
) -> ForwardDecision:
    """Lets an accepted request run, once and before its deadline."""
    deadline = received.awaiting_proceed.get(request_id)
    if deadline is None:
        return ForwardDecision(received)
    awaiting_proceed = received.awaiting_proceed.delete(request_id)
    return ForwardDecision(
        received._replace(awaiting_proceed=awaiting_proceed),
        runs=now < deadline,
    )


def on_cancel(received: ReceivedForwards, request_id: str) -> ReceivedForwards:
    """Drops a request that awaits `forward_proceed`; its sender gave up."""
    if request_id not in received.awaiting_proceed:
        return received
    return received._replace(
        awaiting_proceed=received.awaiting_proceed.delete(request_id)
    )


def expire(received: ReceivedForwards, now: float) -> ReceivedForwards:
    """Drops requests that awaited `forward_proceed` past their deadline."""
    expired = [
        request_id
        for request_id, deadline in received.awaiting_proceed.items()
        if deadline <= now
    ]
    awaiting_proceed = received.awaiting_proceed
    for request_id in expired:
        awaiting_proceed = awaiting_proceed.delete(request_id)
    return received._replace(awaiting_proceed=awaiting_proceed)


def _trim(
    received_at: immutables.Map[str, float],
    now: float,
) -> immutables.Map[str, float]:
    """Drops the oldest entries once there are too many to remember."""
    if len(received_at) < MAX_REMEMBERED_FORWARDS:
        return received_at
    cutoff = now - DUPLICATE_WINDOW_SECONDS
    recent = {
        request_id: timestamp
        for request_id, timestamp in received_at.items()
        if timestamp > cutoff
    }
    if len(recent) >= MAX_REMEMBERED_FORWARDS:
        newest = sorted(recent, key=recent.__getitem__)[
            -MAX_REMEMBERED_FORWARDS // 2 :
        ]
        recent = {request_id: recent[request_id] for request_id in newest}
    return immutables.Map(recent)
