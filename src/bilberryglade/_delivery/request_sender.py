"""Sends requests to targets and tracks the standing of each target.

A standing is the health and load of a target as this instance observed them.
"""

import typing
from collections import abc

from bilberryglade._capacity import policies
from bilberryglade._delivery import permit_broker, send_results
from bilberryglade._knowledge import reading
from bilberryglade._membership import fleet
from bilberryglade._rollouts import exposure
from bilberryglade._routing import admission
from bilberryglade._targets import choosing, directory, standing
from bilberryglade._values import clock, outcomes, spreading


class ExchangeResult(typing.NamedTuple):
    """The result of one exchange with a target."""

    outcome: outcomes.Outcome
    #: Load that the target reported with its answer; None if it reported none.
    report: standing.Report | None = None
    #: Whether the target refused the request because its queue was full.
    is_shed: bool = False
    #: Whether the target refused the request because it does not own the key, or
    #: because another target has that address now.
    is_misdirected: bool = False
    #: Whether the target said that it leaves.
    is_leaving: bool = False
    #: For how long the target wants nothing from this instance.
    hold_seconds: float = 0


class Exchange(typing.Protocol):
    """Sends one request to a target by the platform's protocol."""

    async def __call__(
        self,
        request: admission.Incoming,
        admitted: admission.Admitted,
        target: directory.Target,
        seconds: float,
    ) -> ExchangeResult:
        """Sends `request` and returns the result after at most `seconds`."""


ANSWER_LOST: typing.Final = outcomes.Unknown(outcomes.Reason.answer_lost)
#: Requests a second of a cold target's rate limit that are left unused. The rest
#: is the number of instances that may send to it: with one request each in
#: `choosing.COLD_SPACING_SECONDS` they stay within the limit.
COLD_RATE_MARGIN: typing.Final = 2.0


class RequestSender:
    """Sends all requests of this instance to targets, and tracks the results."""

    def __init__(
        self,
        reader: reading.Reader,
        members: fleet.Fleet,
        exchange: Exchange,
        cold_rate_limit: abc.Callable[[str], float],
        broker: permit_broker.PermitBroker,
        versions: exposure.Exposure,
    ) -> None:
        """`cold_rate_limit` returns the limit for cold targets of a service.

        It is in requests a second; 0 means no limit. `broker` ends the permits
        of requests that were sent with one. `versions` counts sends by the
        version of their targets.
        """
        self.reader = reader
        self.members = members
        self.exchange = exchange
        self.cold_rate_limit = cold_rate_limit
        self.broker = broker
        self.versions = versions
        #: What targets are taken to bear when no dispatcher answers.
        self.capacity: policies.Policy = policies.Configured()
        #: Health and load of each target incarnation, from own sends to it.
        self.standings: dict[directory.Life, standing.Standing] = {}
        #: Called when a request's connection broke or its answer was malformed.
        self.on_answer_lost: abc.Callable[
            [admission.Incoming, directory.Target], None
        ] = lambda *_: None
        #: Called with each request that a target answered, and the status.
        self.on_answered: abc.Callable[[admission.Incoming, int], None] = (
            lambda *_: None
        )
        #: Called with each target that said in an answer that it leaves.
        self.on_leaving: abc.Callable[[directory.Target], None] = lambda _: None
        #: Whether this instance may send to a cold target, by its name and the
        #: number of instances that may: worked out anew as members change.
        self.warming: dict[tuple[str, int], bool] = {}
        self.warming_version = -1
        #: Ids of requests that are being sent and may run only once.
        self.in_flight_unrepeatable: set[str] = set()

    def is_unrepeatable_in_flight(self, request: admission.Incoming) -> bool:
        """Returns whether a request that may run only once is at a target.

        Until its first byte has gone out, it has certainly not run.
        """
        is_sending = request.request_id in self.in_flight_unrepeatable
        return is_sending and request.progress.sent_at is not None

    def view(self, target: directory.Target) -> choosing.View:
        """Returns a target with its standing at this instance."""
        current = self.standings.get(directory.life_of(target))
        view = choosing.View(
            target,
            current or standing.Standing(),
            may_warm=self._may_warm(target),
        )
        return self.capacity.view(view, clock.now())

    async def send(
        self,
        request: admission.Incoming,
        admitted: admission.Admitted,
        target: directory.Target,
        seconds: float,
        permit: permit_broker.GrantedPermit | None = None,
    ) -> outcomes.Outcome:
        """Sends a request once, updates its target's standing, ends `permit`.

        `seconds` is the timeout of the send. `permit` is None if the dispatcher
        gave no answer. Returns the outcome.
        """
        started_at = clock.now()
        self._record_start(target, started_at)
        self.versions.note_start(target)
        request.progress.begin_send(str(directory.life_of(target)))
        if not admitted.route.repeatable:
            self.in_flight_unrepeatable.add(request.request_id)
        finished = send_results.FinishedSend(send_results.SendResult.abandoned)
        try:
            exchange_result = await self.exchange(
                request, admitted, target, seconds
            )
            finished = _finished_send(exchange_result, clock.now() - started_at)
            request.progress.end_send(_text_of(exchange_result.outcome))
        finally:
            self._leave(request, admitted, target, finished)
            self._record_end(target, finished, permit)
        if exchange_result.is_leaving:
            self.on_leaving(target)
        if exchange_result.outcome == ANSWER_LOST:
            self.on_answer_lost(request, target)
        if isinstance(exchange_result.outcome, outcomes.Answered):
            self.on_answered(request, exchange_result.outcome.status)
        return exchange_result.outcome

    def mark_doubtful(self, incarnation: str) -> None:
        """Treats a target as cold for a while after a crash of `incarnation`.

        The target may have started again before its new entry in the store is
        read, and is cold then. `incarnation` is its name in messages.
        """
        until = clock.now() + standing.DOUBT_SECONDS
        listed = self.reader.known.directory
        for target in listed.targets.values():
            if str(directory.life_of(target)) == incarnation:
                current = self.view(target).standing
                self.standings[directory.life_of(target)] = current._replace(
                    doubtful_until=until
                )

    def drop_unlisted(self) -> None:
        """Drops the standings of targets that are no longer listed.

        A standing stays while requests of this instance are at the target.
        """
        listed = directory.Lives(self.reader.known.directory)
        for incarnation in list(self.standings):
            if (
                incarnation not in listed
                and not self.standings[incarnation].outstanding
            ):
                self.standings.pop(incarnation)

    def _leave(
        self,
        request: admission.Incoming,
        admitted: admission.Admitted,
        target: directory.Target,
        finished: send_results.FinishedSend,
    ) -> None:
        """Takes in that a request is at its target no more."""
        self.in_flight_unrepeatable.discard(request.request_id)
        self.versions.note_end(target, admitted.route.name, finished)

    def _record_start(self, target: directory.Target, now: float) -> None:
        view = self.view(target)
        current = standing.sent(view.standing)
        if choosing.is_cold(view, now):
            current = current._replace(cold_sent_at=now)
        self.standings[directory.life_of(target)] = current

    def _record_end(
        self,
        target: directory.Target,
        finished: send_results.FinishedSend,
        permit: permit_broker.GrantedPermit | None,
    ) -> None:
        incarnation = directory.life_of(target)
        current = standing.ended(self.standings[incarnation])
        now = clock.now()
        current = send_results.standing_after(current, target, finished, now)
        if finished.hold_seconds:
            current = standing.held_off(current, finished.hold_seconds, now)
        self.standings[incarnation] = current
        if permit is not None:
            self.broker.end_permit(permit, finished)

    def _may_warm(self, target: directory.Target) -> bool:
        """Returns whether this instance may send to a target while it is cold.

        All instances choose the same few by rendezvous hashing, so that their
        requests together stay within the target's rate limit.
        """
        cold_rate = self.cold_rate_limit(target.service)
        if not cold_rate:
            return True
        warming_count = int(cold_rate - COLD_RATE_MARGIN)
        if len(self.members.members) <= warming_count:
            return True
        if self.warming_version != self.members.version:
            self.warming_version = self.members.version
            self.warming.clear()
        key = (target.name, warming_count)
        may_warm = self.warming.get(key)
        if may_warm is None:
            may_warm = self._rank(target.name) < warming_count
            self.warming[key] = may_warm
        return may_warm

    def _rank(self, target: str) -> int:
        """Returns how many instances come before this one at a target."""
        own_score = spreading.score(self.members.own.name, target)
        return sum(
            spreading.score(name, target) > own_score
            for name in self.members.members
        )


def _text_of(outcome: outcomes.Outcome) -> str:
    """Returns an outcome as lines name it."""
    if isinstance(outcome, outcomes.Answered):
        return type(outcome).__name__
    return f'{type(outcome).__name__} {outcome.reason}'


def _finished_send(
    exchange_result: ExchangeResult, seconds: float
) -> send_results.FinishedSend:
    """Returns the result, for the target, of a send that took `seconds`."""
    result = send_results.result_of_outcome(exchange_result.outcome)
    if exchange_result.is_misdirected:
        result = send_results.SendResult.refused
    if exchange_result.is_shed:
        result = send_results.SendResult.shed
    return send_results.FinishedSend(
        result,
        seconds,
        exchange_result.report,
        hold_seconds=exchange_result.hold_seconds,
    )
