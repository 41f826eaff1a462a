"""Grants permits to send requests to targets, counted for all instances.

If a dozen instances each see only a part of the requests at a target, they
learn of its queue too late: they refuse requests while it is idle, and all send
at once while it is not. So every instance requests a permit from the target's
dispatcher before each send, and the dispatcher has the exact count. This
matters for owners of hot keys, whose few places are always taken, and for
targets that slow down for fractions of a second.

A permit only counts a request. Which requests a target may run is decided by
its lease, and if the dispatcher gives no answer the request is sent without a
permit.
"""

import typing
from collections import abc

from bilberryglade._admission import gate
from bilberryglade._capacity import policies
from bilberryglade._delivery import send_results
from bilberryglade._targets import choosing, directory, standing
from bilberryglade._values import clock

#: Failed exchanges count against a target only if two instances had one within
#: this time; those of one instance may be due to its own network path.
SHARED_FAILURE_SECONDS: typing.Final = 2.0
#: Time from the deadline of a request to the expiry of its permit.
EXPIRY_MARGIN_SECONDS: typing.Final = 0.2
#: What is known of a send whose end was not reported in time.
EXPIRED: typing.Final = send_results.FinishedSend(
    send_results.SendResult.abandoned
)

#: Name of the requesting instance, and its number of the permit request.
PermitKey: typing.TypeAlias = tuple[str, int]


class PermitRequest(typing.NamedTuple):
    """An instance's request for a permit to send to a target."""

    key: PermitKey
    service: str
    #: Target that owns the request's key; empty if any target of the service
    #: may be chosen.
    owner: str
    demand: choosing.Demand


class Permit(typing.NamedTuple):
    """A granted permit: one request that is counted at a target."""

    target: directory.Target
    #: Monotonic seconds at which the permit ends if its end is not reported.
    expires_at: float
    #: Expected duration of the request, waiting included, in multiples of the
    #: target's usual work time.
    work_units: float


class PermitLedger:
    """The permits that this instance granted, and the load of their targets.

    Ended permits report how their sends went, from which the ledger keeps the
    standing (observed health and load) of each target.
    """

    def __init__(
        self,
        find_targets: abc.Callable[[str, str], abc.Sequence[directory.Target]],
        cold_spacing: abc.Callable[[str], float],
        capacity: policies.Policy | None = None,
        admission_gate: gate.Gate | None = None,
    ) -> None:
        """`find_targets` returns the targets that may serve a request.

        It is called with the service and the owner of the key, empty if any
        target may be chosen. `cold_spacing` returns the seconds between two
        requests to a cold target of a service. `capacity` says what targets
        take: their configured places if it is None. `admission_gate` decides
        which requests get a permit; in the order of their arrival without it.
        """
        self.capacity = capacity or policies.Configured()
        self.gate = admission_gate or gate.Gate()
        self.find_targets = find_targets
        self.cold_spacing = cold_spacing
        self.permits: dict[PermitKey, Permit] = {}
        #: Health and load of each target incarnation with a permit so far.
        self.standings: dict[directory.Life, standing.Standing] = {}
        #: By target incarnation and instance: monotonic seconds of the newest
        #: failed exchange.
        self.last_failures: dict[directory.Life, dict[str, float]] = {}
        #: By target incarnation and instance: monotonic seconds until which the
        #: target wants nothing from that instance.
        self.holds: dict[directory.Life, dict[str, float]] = {}

    def grant(
        self,
        request: PermitRequest,
        now: float,
    ) -> directory.Target | choosing.Refusal | None:
        """Chooses a target and counts the request there.

        Returns the target, a refusal, or None if no target is known here.
        """
        targets = self.find_targets(request.service, request.owner)
        if not targets:
            return None
        spacing = self.cold_spacing(request.service)
        views = [
            self.capacity.view(self._view(target, spacing, request.key[0]), now)
            for target in targets
        ]
        pool = gate.Pool(request.service, request.owner)
        chosen = self.gate.decide(pool, views, request.demand, now)
        if isinstance(chosen, choosing.Refusal):
            if chosen.is_drawn:
                return chosen
            return self.capacity.refusal(chosen, views, request.demand, now)
        self._record_grant(request, chosen, now)
        return chosen.target

    def end_permit(
        self,
        key: PermitKey,
        finished: send_results.FinishedSend,
        now: float,
    ) -> None:
        """Ends a permit and updates its target's standing by the send's result.

        A permit that is unknown, expired or ended before changes nothing.
        """
        permit = self.permits.pop(key, None)
        if permit is None:
            return
        incarnation = directory.life_of(permit.target)
        current = standing.ended(self.standings[incarnation])
        is_known = self._is_about_target(
            incarnation, key[0], finished.result, now
        )
        self.capacity.end(
            permit.target, key, finished if is_known else EXPIRED, now
        )
        if finished.hold_seconds:
            holds = self.holds.setdefault(incarnation, {})
            until = now + finished.hold_seconds
            holds[key[0]] = max(holds.get(key[0], 0), until)
        if is_known:
            finished = _with_own_count(finished, permit, current.outstanding)
            current = send_results.standing_after(
                current, permit.target, finished, now
            )
        self.standings[incarnation] = current

    def expire(self, now: float, listed: abc.Container[directory.Life]) -> None:
        """Drops expired permits, and unlisted targets without requests.

        `listed` are the target incarnations that are listed in the store.
        """
        self.gate.forget_past(now)
        expired = [
            key
            for key, permit in self.permits.items()
            if permit.expires_at <= now
        ]
        for key in expired:
            permit = self.permits.pop(key)
            self.capacity.end(permit.target, key, EXPIRED, now)
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
            self.holds.pop(incarnation, None)
        self.capacity.retain(listed)

    def work_seconds(self, since: float) -> dict[str, float]:
        """Returns the usual work time of targets, in seconds by name.

        Only targets whose newest load report came at `since` or later.
        """
        now = clock.now()
        return {
            incarnation.target: round(
                self.capacity.work_seconds(incarnation, current, now), 4
            )
            for incarnation, current in self.standings.items()
            if current.answers and current.reported_at >= since
        }

    def _view(
        self,
        target: directory.Target,
        spacing: float,
        instance: str,
    ) -> choosing.View:
        """Returns a target as it stands for a request of `instance`."""
        life = directory.life_of(target)
        current = self.standings.get(life) or standing.Standing()
        held_off_until = self.holds.get(life, {}).get(instance)
        if held_off_until is not None:
            current = current._replace(held_off_until=held_off_until)
        return choosing.View(
            target, current, may_warm=True, cold_spacing=spacing
        )

    def _record_grant(
        self, request: PermitRequest, chosen: choosing.View, now: float
    ) -> None:
        life = directory.life_of(chosen.target)
        # Not that of the view, which holds the asking instance's hold.
        current = standing.sent(self.standings.get(life, standing.Standing()))
        if choosing.is_cold(chosen, now):
            current = current._replace(cold_sent_at=now)
        self.standings[life] = current
        self.capacity.begin(chosen.target, request.key, now)
        expires_at = now + request.demand.time_left + EXPIRY_MARGIN_SECONDS
        waiting = standing.waiting_rounds(
            chosen.standing, choosing.places_of(chosen), now
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
        """Returns whether a send's result is due to the target itself.

        Failed exchanges of one instance alone are not: an instance that is cut
        off must not pause the target for the others.
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
    """Returns `finished` without the queue length that the target reported.

    The ledger's own count covers all requests and is newer than the report.
    `other_requests` is the number of other requests at the target. A target
    that refused for want of room while it had free places is faulty.
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
    return finished._replace(
        result=result, report=report, work_units=permit.work_units
    )
