"""Requests permits from dispatchers, and grants permits as a dispatcher.

A dispatcher is the instance that counts the requests at a target for all
instances. Each target that owns keys has a dispatcher, in its failure domain if
possible; all targets of a service without keys share one. Every instance
derives the same dispatcher by rendezvous hashing, so no election is needed. A
dispatcher that gives no answer is skipped for a while, and the request is sent
by the requesting instance's own view of the targets.
"""

import random
import typing

from bilberryglade._admission import urgencies
from bilberryglade._delivery import permits, send_results
from bilberryglade._membership import fleet
from bilberryglade._peers import asks
from bilberryglade._targets import choosing, directory, standing
from bilberryglade._values import clock, outcomes, spreading
from bilberryglade_schema import fleet as messages

#: Timeout for a dispatcher's answer, which takes one round trip.
ANSWER_TIMEOUT_SECONDS: typing.Final = 0.05
#: Time for which a dispatcher is skipped after its first missing answer; it
#: doubles with each further one, up to `MAX_SKIP_SECONDS`.
FIRST_SKIP_SECONDS: typing.Final = 1.0
#: Longest time for which a dispatcher is skipped.
MAX_SKIP_SECONDS: typing.Final = 8.0
MS_PER_SECOND: typing.Final = 1000
#: A process numbers its permit requests from a random start below this, so that
#: answers to an earlier process of the instance are not mistaken for its own.
FIRST_NUMBER_LIMIT: typing.Final = 4_000_000_000
#: A target's slowness is sent to dispatchers in hundredths.
PERCENT: typing.Final = 100


class GrantedPermit(typing.NamedTuple):
    """A permit to send one request to a target."""

    #: Name and start time of the target.
    incarnation: directory.Life
    #: Name of the instance that granted the permit.
    dispatcher: str
    #: Number of the permit request.
    number: int


class SkippedDispatcher(typing.NamedTuple):
    """How long a dispatcher that gave no answer is skipped."""

    #: Monotonic seconds at which it may be asked again.
    until: float
    #: Length of the time for which it is skipped.
    seconds: float


#: None if the dispatcher gave no answer or has no target to choose.
PermitResult: typing.TypeAlias = GrantedPermit | choosing.Refusal | None


class PermitBroker:
    """Obtains permits for this instance's requests, and grants those of others.

    Other instances are answered for the targets that this one dispatches.
    """

    def __init__(
        self, members: fleet.Fleet, ledger: permits.PermitLedger
    ) -> None:
        """`ledger` holds the permits that this instance grants."""
        self.members = members
        self.ledger = ledger
        self.last_number = random.randrange(FIRST_NUMBER_LIMIT)
        self.pending_asks: asks.Asks[messages.PermitAnswer] = asks.Asks()
        #: Dispatchers that gave no answer, by name.
        self.skipped: dict[str, SkippedDispatcher] = {}
        #: Names of members by rank, by service and owner; the owner is empty for
        #: a service without keys.
        self.rankings: dict[tuple[str, str], tuple[str, ...]] = {}
        #: Version of the membership from which `rankings` were computed.
        self.rankings_version = -1

    async def request_permit(
        self,
        service: str,
        owner: directory.Target | None,
        demand: choosing.Demand,
    ) -> PermitResult:
        """Requests a permit from the dispatcher of `owner` or of the service.

        Returns the permit, a refusal, or None if the dispatcher gives no answer
        or has no target to choose. A policy may ask for more than one: the next
        one counts exactly as well.
        """
        dispatcher = ''
        for _ in range(self.ledger.capacity.dispatchers_asked):
            previous = dispatcher
            dispatcher = self._choose_dispatcher(service, owner)
            if dispatcher == previous:
                return None
            permit = await self._request_from(
                dispatcher, service, owner, demand
            )
            if permit is not None:
                return permit
        return None

    def end_permit(
        self, permit: GrantedPermit, finished: send_results.FinishedSend
    ) -> None:
        """Ends a permit at its dispatcher and reports how the send went."""
        own = self.members.own.name
        if permit.dispatcher == own:
            self.ledger.end_permit((own, permit.number), finished, clock.now())
            return
        message: messages.PermitEnd = {
            'kind': 'end',
            'sender': own,
            'number': permit.number,
            'ending': finished.result.value,
            'ms': int(finished.seconds * MS_PER_SECOND),
        }
        if finished.hold_seconds:
            message['hold_ms'] = int(finished.hold_seconds * MS_PER_SECOND)
        if finished.report is not None:
            message['load'] = _load_figures(finished.report)
        self.members.send(permit.dispatcher, message)

    def handle_ask(self, message: messages.PermitAsk) -> None:
        """Answers another instance's permit request."""
        request = permits.PermitRequest(
            key=(message['sender'], message['number']),
            service=message['service'],
            owner=message.get('owner', ''),
            demand=choosing.Demand(
                failure_domain=self.members.domain_of(message['sender']),
                aim_left=message['aim_ms'] / MS_PER_SECOND,
                time_left=message['left_ms'] / MS_PER_SECOND,
                tried=frozenset(message.get('excluded', ())),
                has_large_answer=message.get('has_large_answer', False),
                version=message.get('version', ''),
                urgency=urgencies.received(message.get('urgency')),
                is_retry=message.get('is_retry', False),
                caller_left=message.get('caller_ms', 0) / MS_PER_SECOND,
            ),
        )
        granted = self.ledger.grant(request, clock.now())
        self.members.send(
            message['sender'], self._answer_message(request, granted)
        )

    def handle_answer(self, message: messages.PermitAnswer) -> None:
        """Processes a dispatcher's answer; a permit that is late is ended."""
        self.skipped.pop(message['sender'], None)
        if self.pending_asks.answer(message['number'], message):
            return
        answer = _parse_answer(message, message['sender'])
        if isinstance(answer, GrantedPermit):
            self.end_permit(
                answer,
                send_results.FinishedSend(send_results.SendResult.abandoned),
            )

    def handle_end(self, message: messages.PermitEnd) -> None:
        """Ends a permit of another instance and records how its send went."""
        result = send_results.SendResult.__members__.get(message['ending'])
        report = None
        load = message.get('load', [])
        if len(load) == len(standing.Report._fields):
            report = standing.Report(load[0], load[1], load[2] / PERCENT)
        self.ledger.end_permit(
            (message['sender'], message['number']),
            send_results.FinishedSend(
                result or send_results.SendResult.abandoned,
                message['ms'] / MS_PER_SECOND,
                report,
                hold_seconds=message.get('hold_ms', 0) / MS_PER_SECOND,
            ),
            clock.now(),
        )

    async def _request_from(
        self,
        dispatcher: str,
        service: str,
        owner: directory.Target | None,
        demand: choosing.Demand,
    ) -> PermitResult:
        self.last_number += 1
        number = self.last_number
        request = permits.PermitRequest(
            key=(self.members.own.name, number),
            service=service,
            owner='' if owner is None else owner.name,
            demand=demand,
        )
        if dispatcher == self.members.own.name:
            granted = self.ledger.grant(request, clock.now())
            if isinstance(granted, directory.Target):
                return GrantedPermit(
                    directory.life_of(granted), dispatcher, number
                )
            return granted
        answer = await self._ask_dispatcher(dispatcher, request)
        if answer is None:
            self._skip_dispatcher(dispatcher)
            return None
        return _parse_answer(answer, dispatcher)

    def _choose_dispatcher(
        self, service: str, owner: directory.Target | None
    ) -> str:
        """Returns the first member of the pool's ranking that is not skipped.

        If all are skipped, this is the own instance.
        """
        if self.rankings_version != self.members.version:
            self.rankings.clear()
            self.rankings_version = self.members.version
        pool = (service, owner.name) if owner else (service, '')
        ranking = self.rankings.get(pool)
        if ranking is None:
            ranking = rank_pool(service, owner, self.members)
            self.rankings[pool] = ranking
        now = clock.now()
        for name in ranking:
            skipped = self.skipped.get(name)
            if skipped is None or skipped.until <= now:
                return name
        return self.members.own.name

    async def _ask_dispatcher(
        self,
        dispatcher: str,
        request: permits.PermitRequest,
    ) -> messages.PermitAnswer | None:
        demand = request.demand
        number = request.key[1]
        message: messages.PermitAsk = {
            'kind': 'ask',
            'sender': self.members.own.name,
            'number': number,
            'service': request.service,
            'aim_ms': int(demand.aim_left * MS_PER_SECOND),
            'left_ms': int(demand.time_left * MS_PER_SECOND),
        }
        if request.owner:
            message['owner'] = request.owner
        if demand.tried:
            message['excluded'] = sorted(demand.tried)
        if demand.has_large_answer:
            message['has_large_answer'] = True
        if demand.version:
            message['version'] = demand.version
        if demand.urgency is not None:
            message['urgency'] = demand.urgency
        if demand.is_retry:
            message['is_retry'] = True
        if demand.caller_left > demand.time_left:
            message['caller_ms'] = int(demand.caller_left * MS_PER_SECOND)
        return await self.pending_asks.wait(
            number,
            lambda: self.members.send(dispatcher, message),
            ANSWER_TIMEOUT_SECONDS,
        )

    def _skip_dispatcher(self, dispatcher: str) -> None:
        previous = self.skipped.get(dispatcher)
        now = clock.now()
        if previous is not None and previous.until > now:
            return
        seconds = FIRST_SKIP_SECONDS
        if previous is not None:
            seconds = min(previous.seconds * 2, MAX_SKIP_SECONDS)
        self.skipped[dispatcher] = SkippedDispatcher(now + seconds, seconds)

    def _answer_message(
        self,
        request: permits.PermitRequest,
        granted: directory.Target | choosing.Refusal | None,
    ) -> messages.PermitAnswer:
        answer: messages.PermitAnswer = {
            'kind': 'permit',
            'sender': self.members.own.name,
            'number': request.key[1],
        }
        if isinstance(granted, directory.Target):
            answer['target'] = granted.name
            answer['born'] = granted.born
        if isinstance(granted, choosing.Refusal):
            answer['reason'] = granted.reason.value
            answer['retry_ms'] = int(granted.retry_seconds * MS_PER_SECOND)
            if granted.cause:
                answer['cause'] = granted.cause
            if granted.is_drawn:
                answer['is_drawn'] = True
        return answer


def rank_pool(
    service: str,
    owner: directory.Target | None,
    members: fleet.Fleet,
) -> tuple[str, ...]:
    """Returns the dispatchers of `owner` or of a service, by rank."""
    if owner is None:
        return rank_members(f'{service}/', '', members)
    pool = f'{service}/{owner.name}'
    return rank_members(pool, owner.failure_domain, members)


def rank_members(
    pool: str,
    failure_domain: str,
    members: fleet.Fleet,
) -> tuple[str, ...]:
    """Returns the names of all members that are not leaving, by rank.

    The first one is the dispatcher of `pool`. Members in `failure_domain` come
    before all others. Without one the pool is a whole service, whose requests
    all ask there: members that have ample strength come first.
    """
    is_service = not failure_domain
    staying = [
        member
        for member in members.members.values()
        if member.name not in members.leaving
    ]
    ranked = sorted(
        staying,
        key=lambda member: (
            member.failure_domain != failure_domain,
            is_service and fleet.strength(member) < 1,
            -spreading.score(member.name, pool),
        ),
    )
    return tuple(member.name for member in ranked)


def _parse_answer(
    message: messages.PermitAnswer, dispatcher: str
) -> PermitResult:
    if 'target' in message and 'born' in message:
        incarnation = directory.Life(message['target'], message['born'])
        return GrantedPermit(incarnation, dispatcher, message['number'])
    reason = outcomes.Reason.__members__.get(message.get('reason', ''))
    if reason is None:
        return None
    retry_ms = message.get('retry_ms', 0)
    return choosing.Refusal(
        reason,
        retry_ms / MS_PER_SECOND,
        cause=message.get('cause', ''),
        is_drawn=message.get('is_drawn', False),
    )


def _load_figures(report: standing.Report) -> list[int]:
    slowness = int(report.slowness * PERCENT)
    return [report.running, report.waiting, slowness]
