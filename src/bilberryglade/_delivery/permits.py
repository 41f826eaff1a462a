"""Counts the requests at targets for all instances that ask here.

A dozen instances that each see a part of the requests at a target know its
queue too late: they refuse while it is idle, and all send at once when it is
not. The dispatcher of a target is asked before each send, so that it counts
exactly. The load that this answers: owners of hot keys, whose few places are
always taken, and targets that slow down for parts of a second.

A permit is a count, not a right: what a target may run is decided by its lease,
and a request whose dispatcher gives no answer is sent without one.
"""

import typing
from collections import abc

from bilberryglade._delivery import endings
from bilberryglade._targets import choosing, directory, standing

#: Seconds within which two instances must have lost exchanges with a target
#: before it is taken for the target's fault and not for their path's.
SHARED_LOSS_SECONDS: typing.Final = 2.0
#: Seconds by which a permit outlasts the request that it was given for.
EXPIRY_MARGIN_SECONDS: typing.Final = 0.2

#: Name of an instance and the number of its ask.
PermitKey: typing.TypeAlias = tuple[str, int]


class Ask(typing.NamedTuple):
    """A request that wants a target."""

    key: PermitKey
    service: str
    #: The owner of its key; empty if any target of the service will do.
    owner: str
    demand: choosing.Demand


class Permit(typing.NamedTuple):
    """A request that counts at a target."""

    target: directory.Target
    #: Seconds at which it has ended, whatever became of it.
    expires_at: float
    #: Times of usual work that it was expected to take, the wait included.
    rounds: float


class Ledger:
    """The permits given here, and what their ends tell of the targets."""

    def __init__(
        self,
        find_targets: abc.Callable[[str, str], abc.Sequence[directory.Target]],
        cold_spacing: abc.Callable[[str], float],
    ) -> None:
        """`find_targets` returns the targets that may serve an ask.

        It gets the service and the owner. `cold_spacing` returns the seconds
        between two requests to a cold target of a service.
        """
        self.find_targets = find_targets
        self.cold_spacing = cold_spacing
        self.permits: dict[PermitKey, Permit] = {}
        self.standings: dict[directory.Life, standing.Standing] = {}
        #: By life: when each instance lost an exchange with it last.
        self.losses: dict[directory.Life, dict[str, float]] = {}

    def grant(
        self,
        ask: Ask,
        now: float,
    ) -> directory.Target | choosing.Refusal | None:
        """Returns a target, a refusal, or None if no target is known."""
        targets = self.find_targets(ask.service, ask.owner)
        if not targets:
            return None
        spacing = self.cold_spacing(ask.service)
        views = [self._view(target, spacing) for target in targets]
        chosen = choosing.choose(views, ask.demand, now)
        if isinstance(chosen, choosing.Refusal):
            return chosen
        self._begin(ask, chosen, now)
        return chosen.target

    def end(
        self,
        key: PermitKey,
        ended: endings.Ended,
        now: float,
    ) -> None:
        """Takes in the end of a request; an unknown one changes nothing."""
        permit = self.permits.pop(key, None)
        if permit is None:
            return
        life = directory.life_of(permit.target)
        known = standing.ended(self.standings[life])
        if self._counts(life, key[0], ended.ending, now):
            ended = _as_counted(ended, permit, known.outstanding)
            known = endings.after(known, permit.target, ended, now)
        self.standings[life] = known

    def expire(self, now: float, listed: abc.Container[directory.Life]) -> None:
        """Drops permits whose end was never told, and targets that left."""
        late = [
            key
            for key, permit in self.permits.items()
            if permit.expires_at <= now
        ]
        for key in late:
            permit = self.permits.pop(key)
            life = directory.life_of(permit.target)
            self.standings[life] = standing.ended(self.standings[life])
        gone = [
            life
            for life, known in self.standings.items()
            if life not in listed and not known.outstanding
        ]
        for life in gone:
            self.standings.pop(life)
            self.losses.pop(life, None)

    def seconds(self, since: float) -> dict[str, float]:
        """Returns how long work takes at targets that told of it `since`."""
        return {
            life.target: round(standing.usual_seconds(known), 4)
            for life, known in self.standings.items()
            if known.answers and known.reported_at >= since
        }

    def _view(
        self,
        target: directory.Target,
        spacing: float,
    ) -> choosing.View:
        known = (
            self.standings.get(directory.life_of(target)) or standing.Standing()
        )
        return choosing.View(target, known, may_warm=True, cold_spacing=spacing)

    def _begin(self, ask: Ask, chosen: choosing.View, now: float) -> None:
        known = standing.sent(chosen.standing)
        if choosing.is_cold(chosen, now):
            known = known._replace(cold_sent_at=now)
        self.standings[directory.life_of(chosen.target)] = known
        expires_at = now + ask.demand.time_left + EXPIRY_MARGIN_SECONDS
        waiting = standing.waiting_rounds(
            chosen.standing, chosen.target.places, now
        )
        self.permits[ask.key] = Permit(chosen.target, expires_at, 1 + waiting)

    def _counts(
        self,
        life: directory.Life,
        asker: str,
        ending: endings.Ending,
        now: float,
    ) -> bool:
        """Tells whether an ending says something of the target itself.

        One instance that is cut off must not keep the others from a target.
        """
        if ending not in endings.FAILURES:
            return True
        losses = self.losses.setdefault(life, {})
        losses[asker] = now
        recent = [
            at for at in losses.values() if now - at <= SHARED_LOSS_SECONDS
        ]
        return len(recent) > 1


def _as_counted(
    ended: endings.Ended,
    permit: Permit,
    left: int,
) -> endings.Ended:
    """Returns an end without what the target says of its queue.

    All requests are counted here, and the target's word is older. `left` is
    the number of other requests at the target.
    """
    report = ended.report
    if report is not None:
        report = report._replace(running=1, waiting=0)
    ending = ended.ending
    if ending is endings.Ending.shed and left < permit.target.places:
        ending = endings.Ending.faulty
    return endings.Ended(ending, ended.seconds, report, permit.rounds)
