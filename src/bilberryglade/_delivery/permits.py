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

from bilberryglade._delivery import send_results
from bilberryglade._targets import choosing, directory, standing

#: Seconds within which two instances must have lost exchanges with a target
#: before it is taken for the target's fault and not for their path's.
SHARED_FAILURE_SECONDS: typing.Final = 2.0
#: Seconds by which a permit outlasts the request that it was given for.
EXPIRY_MARGIN_SECONDS: typing.Final = 0.2

#: Name of an instance and the number of its ask.
PermitKey: typing.TypeAlias = tuple[str, int]


class PermitRequest(typing.NamedTuple):
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
    work_units: float


class PermitLedger:
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
        self.last_failures: dict[directory.Life, dict[str, float]] = {}

    def grant(
        self,
        request: PermitRequest,
        now: float,
    ) -> directory.Target | choosing.Refusal | None:
        """Returns a target, a refusal, or None if no target is known."""
        targets = self.find_targets(request.service, request.owner)
        if not targets:
            return None
        spacing = self.cold_spacing(request.service)
        views = [self._view(target, spacing) for target in targets]
        chosen = choosing.choose(views, request.demand, now)
        if isinstance(chosen, choosing.Refusal):
            return chosen
        self._record_grant(request, chosen, now)
        return chosen.target

    def end_permit(
        self,
        key: PermitKey,
        finished: send_results.FinishedSend,
        now: float,
    ) -> None:
        """Takes in the end of a request; an unknown one changes nothing."""
        permit = self.permits.pop(key, None)
        if permit is None:
            return
        incarnation = directory.life_of(permit.target)
        current = standing.ended(self.standings[incarnation])
        if self._is_about_target(incarnation, key[0], finished.result, now):
            finished = _with_own_count(finished, permit, current.outstanding)
            current = send_results.standing_after(
                current, permit.target, finished, now
            )
        self.standings[incarnation] = current

    def expire(self, now: float, listed: abc.Container[directory.Life]) -> None:
        """Drops permits whose end was never told, and targets that left."""
        expired = [
            key
            for key, permit in self.permits.items()
            if permit.expires_at <= now
        ]
        for key in expired:
            permit = self.permits.pop(key)
            incarnation = directory.life_of(permit.target)
            self.standings[incarnation] = standing.ended(
                self.standings[incarnation]
            )
        unlisted = [
            incarnation
            for incarnation, current in self.standings.items()
            if incarnation not in listed and not current.outstanding
        ]
        for incarnation in unlisted:
            self.standings.pop(incarnation)
            self.last_failures.pop(incarnation, None)

    def work_seconds(self, since: float) -> dict[str, float]:
        """Returns how long work takes at targets that told of it `since`."""
        return {
            incarnation.target: round(standing.usual_seconds(current), 4)
            for incarnation, current in self.standings.items()
            if current.answers and current.reported_at >= since
        }

    def _view(
        self,
        target: directory.Target,
        spacing: float,
    ) -> choosing.View:
        current = (
            self.standings.get(directory.life_of(target)) or standing.Standing()
        )
        return choosing.View(
            target, current, may_warm=True, cold_spacing=spacing
        )

    def _record_grant(
        self, request: PermitRequest, chosen: choosing.View, now: float
    ) -> None:
        current = standing.sent(chosen.standing)
        if choosing.is_cold(chosen, now):
            current = current._replace(cold_sent_at=now)
        self.standings[directory.life_of(chosen.target)] = current
        expires_at = now + request.demand.time_left + EXPIRY_MARGIN_SECONDS
        waiting = standing.waiting_rounds(
            chosen.standing, chosen.target.places, now
        )
        self.permits[request.key] = Permit(
            chosen.target, expires_at, 1 + waiting
        )

    def _is_about_target(
        self,
        incarnation: directory.Life,
        instance: str,
        result: send_results.SendResult,
        now: float,
    ) -> bool:
        """Tells whether an ending says something of the target itself.

        One instance that is cut off must not keep the others from a target.
        """
        if result not in send_results.PATH_FAILURES:
            return True
        failures = self.last_failures.setdefault(incarnation, {})
        failures[instance] = now
        recent = [
            failed_at
            for failed_at in failures.values()
            if now - failed_at <= SHARED_FAILURE_SECONDS
        ]
        return len(recent) > 1


def _with_own_count(
    finished: send_results.FinishedSend,
    permit: Permit,
    other_requests: int,
) -> send_results.FinishedSend:
    """Returns an end without what the target says of its queue.

    All requests are counted here, and the target's word is older. `left` is
    the number of other requests at the target.
    """
    report = finished.report
    if report is not None:
        report = report._replace(running=1, waiting=0)
    result = finished.result
    if (
        result is send_results.SendResult.shed
        and other_requests < permit.target.places
    ):
        result = send_results.SendResult.faulty
    return send_results.FinishedSend(
        result, finished.seconds, report, permit.work_units
    )
