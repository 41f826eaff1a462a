"""Asks the dispatcher of a target, and answers those who ask this instance.

Each target whose keys are its own has a dispatcher in its failure domain;
targets of a service without keys share one. All instances find the same one by
hashing, so nobody is elected. One that gives no answer is passed over for a
while, and the request is sent on what the instance itself knows.
"""

import random
import typing

from bilberryglade._delivery import permits, send_results
from bilberryglade._membership import fleet
from bilberryglade._peers import asks
from bilberryglade._targets import choosing, directory, standing
from bilberryglade._values import clock, outcomes, spreading
from bilberryglade_schema import fleet as messages

#: Longest wait for a dispatcher's answer; one is a round trip away.
ANSWER_TIMEOUT_SECONDS: typing.Final = 0.05
#: Seconds for which a silent dispatcher is passed over, at first and at most.
FIRST_SKIP_SECONDS: typing.Final = 1.0
MAX_SKIP_SECONDS: typing.Final = 8.0
MS_PER_SECOND: typing.Final = 1000
#: Asks of a process are numbered from a random start below this, so that an
#: answer to an earlier process is not taken for one to this.
FIRST_NUMBER_LIMIT: typing.Final = 4_000_000_000
PERCENT: typing.Final = 100


class GrantedPermit(typing.NamedTuple):
    """A target that a request may be sent to, and who counts it there."""

    #: Name and start of the target.
    incarnation: directory.Life
    dispatcher: str
    number: int


class SkippedDispatcher(typing.NamedTuple):
    """A dispatcher that gave no answer."""

    until: float
    seconds: float


PermitResult: typing.TypeAlias = GrantedPermit | choosing.Refusal | None


class PermitBroker:
    """Permits for the requests of this instance, and for those of others."""

    def __init__(
        self, members: fleet.Fleet, ledger: permits.PermitLedger
    ) -> None:
        """Counts in `ledger` what this instance dispatches."""
        self.members = members
        self.ledger = ledger
        self.last_number = random.randrange(FIRST_NUMBER_LIMIT)
        self.pending_asks: asks.Asks[messages.PermitAnswer] = asks.Asks()
        self.skipped: dict[str, SkippedDispatcher] = {}
        #: Members by rank for each pool, and the membership that this holds
        #: for.
        self.rankings: dict[tuple[str, str], tuple[str, ...]] = {}
        self.rankings_version = -1

    async def request_permit(
        self,
        service: str,
        owner: directory.Target | None,
        demand: choosing.Demand,
    ) -> PermitResult:
        """Returns a permit, a refusal, or None if nobody can say."""
        self.last_number += 1
        number = self.last_number
        dispatcher = self._choose_dispatcher(service, owner)
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

    def end_permit(
        self, permit: GrantedPermit, finished: send_results.FinishedSend
    ) -> None:
        """Tells a dispatcher what came of a request."""
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
        if finished.report is not None:
            message['load'] = _load_figures(finished.report)
        self.members.send(permit.dispatcher, message)

    def handle_ask(self, message: messages.PermitAsk) -> None:
        """Answers another instance."""
        request = permits.PermitRequest(
            key=(message['sender'], message['number']),
            service=message['service'],
            owner=message.get('owner', ''),
            demand=choosing.Demand(
                failure_domain=self.members.domain_of(message['sender']),
                aim_left=message['aim_ms'] / MS_PER_SECOND,
                time_left=message['left_ms'] / MS_PER_SECOND,
                tried=frozenset(message.get('excluded', ())),
            ),
        )
        granted = self.ledger.grant(request, clock.now())
        self.members.send(
            message['sender'], self._answer_message(request, granted)
        )

    def handle_answer(self, message: messages.PermitAnswer) -> None:
        """Takes in an answer; a permit that comes too late is given back."""
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
        """Takes in what came of another instance's request."""
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
            ),
            clock.now(),
        )

    def _choose_dispatcher(
        self, service: str, owner: directory.Target | None
    ) -> str:
        """Returns the first member of a pool's ranking that is not silent."""
        if self.rankings_version != self.members.version:
            self.rankings.clear()
            self.rankings_version = self.members.version
        pool = (service, owner.name) if owner else (service, '')
        ranking = self.rankings.get(pool)
        if ranking is None:
            domain = owner.failure_domain if owner else ''
            ranking = rank_members('/'.join(pool), domain, self.members)
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
        return answer


def rank_members(
    pool: str,
    failure_domain: str,
    members: fleet.Fleet,
) -> tuple[str, ...]:
    """Returns all members that stay, the dispatcher of a pool first.

    Those in `failure_domain` go before all others.
    """
    staying = [
        member
        for member in members.members.values()
        if member.name not in members.leaving
    ]
    ranked = sorted(
        staying,
        key=lambda member: (
            member.failure_domain != failure_domain,
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
    return choosing.Refusal(reason, retry_ms / MS_PER_SECOND)


def _load_figures(report: standing.Report) -> list[int]:
    slowness = int(report.slowness * PERCENT)
    return [report.running, report.waiting, slowness]
