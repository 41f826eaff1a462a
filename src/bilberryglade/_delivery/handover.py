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
REMEMBER_SECONDS: typing.Final = 60.0
MAX_REMEMBERED: typing.Final = 65_536


class Offer(typing.NamedTuple):
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


def outcome_of_silence(offer: Offer) -> outcomes.Outcome:
    """Returns what is known of a forward whose leader went silent."""
    if offer.may_run:
        return outcomes.Unknown(outcomes.Reason.answer_lost)
    return outcomes.NotRun(outcomes.Reason.peer_unreachable)


class Desk(typing.NamedTuple):
    """Forwards that a leader has seen lately."""

    #: Monotonic seconds at which each forward came, by request id.
    seen: immutables.Map[str, float] = immutables.Map()
    #: Those that wait for `proceed`, with the time until which they may.
    offered: immutables.Map[str, float] = immutables.Map()


class Verdict(typing.NamedTuple):
    """The desk after a message, and what the message sets off."""

    desk: Desk
    #: Whether the leader answers `accepted`.
    accepts: bool = False
    #: Whether the request runs now.
    runs: bool = False


def on_forward(
    desk: Desk,
    request_id: str,
    repeatable: bool,
    deadline: float,
    now: float,
) -> Verdict:
    """Takes a forward in; a copy of one seen before sets nothing off."""
    if request_id in desk.seen:
        return Verdict(desk)
    seen = _trimmed(desk.seen, now).set(request_id, now)
    if repeatable:
        return Verdict(desk._replace(seen=seen), accepts=True, runs=True)
    offered = desk.offered.set(request_id, deadline)
    return Verdict(Desk(seen, offered), accepts=True)


def on_proceed(desk: Desk, request_id: str, now: float) -> Verdict:
    """Lets an offered request run, once and within its time."""
    until = desk.offered.get(request_id)
    if until is None:
        return Verdict(desk)
    offered = desk.offered.delete(request_id)
    return Verdict(desk._replace(offered=offered), runs=now < until)


def on_cancel(desk: Desk, request_id: str) -> Desk:
    """Forgets an offer whose sender gave up."""
    if request_id not in desk.offered:
        return desk
    return desk._replace(offered=desk.offered.delete(request_id))


def expire(desk: Desk, now: float) -> Desk:
    """Forgets offers whose time has passed."""
    late = [name for name, until in desk.offered.items() if until <= now]
    offered = desk.offered
    for name in late:
        offered = offered.delete(name)
    return desk._replace(offered=offered)


def _trimmed(
    seen: immutables.Map[str, float],
    now: float,
) -> immutables.Map[str, float]:
    if len(seen) < MAX_REMEMBERED:
        return seen
    oldest = now - REMEMBER_SECONDS
    kept = {name: at for name, at in seen.items() if at > oldest}
    if len(kept) >= MAX_REMEMBERED:
        newest = sorted(kept, key=kept.__getitem__)[-MAX_REMEMBERED // 2 :]
        kept = {name: kept[name] for name in newest}
    return immutables.Map(kept)
