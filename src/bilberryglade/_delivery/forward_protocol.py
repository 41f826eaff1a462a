"""Decisions of a forward: offered, accepted, and only then run once.

A message that waited in a socket may arrive long after its sender gave up,
and clocks are not shared. The leader therefore runs a request that may not be
repeated only after the sender, asked by `accepted`, has said `proceed`. Until
then the sender can say truly that the request was not run.
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
#: Time for which a leader remembers forwards, to ignore their copies.
DUPLICATE_WINDOW_SECONDS: typing.Final = 60.0
MAX_REMEMBERED_FORWARDS: typing.Final = 65_536


class SentForward(typing.NamedTuple):
    """A forward as its sender sees it."""

    repeatable: bool
    #: Process of the leader that it was sent to: name and offset of the join.
    leader: str
    joined_at: int
    accepted: bool = False

    @property
    def may_run(self) -> bool:
        """Whether the leader may run the request from now on."""
        return self.repeatable or self.accepted


def outcome_without_answer(forward: SentForward) -> outcomes.Outcome:
    """Returns what is known of a forward whose leader went silent."""
    if forward.may_run:
        return outcomes.Unknown(outcomes.Reason.answer_lost)
    return outcomes.NotRun(outcomes.Reason.peer_unreachable)


class ReceivedForwards(typing.NamedTuple):
    """Forwards that a leader has seen lately."""

    #: Monotonic seconds at which each forward came, by request id.
    received_at: immutables.Map[str, float] = immutables.Map()
    #: Those that wait for `proceed`, with the time until which they may.
    awaiting_proceed: immutables.Map[str, float] = immutables.Map()


class ForwardDecision(typing.NamedTuple):
    """The desk after a message, and what the message sets off."""

    received: ReceivedForwards
    #: Whether the leader answers `accepted`.
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
    """Takes a forward in; a copy of one seen before sets nothing off."""
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
    """Lets an offered request run, once and within its time."""
    deadline = received.awaiting_proceed.get(request_id)
    if deadline is None:
        return ForwardDecision(received)
    awaiting_proceed = received.awaiting_proceed.delete(request_id)
    return ForwardDecision(
        received._replace(awaiting_proceed=awaiting_proceed),
        runs=now < deadline,
    )


def on_cancel(received: ReceivedForwards, request_id: str) -> ReceivedForwards:
    """Forgets an offer whose sender gave up."""
    if request_id not in received.awaiting_proceed:
        return received
    return received._replace(
        awaiting_proceed=received.awaiting_proceed.delete(request_id)
    )


def expire(received: ReceivedForwards, now: float) -> ReceivedForwards:
    """Forgets offers whose time has passed."""
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
