"""Asks the dispatcher of a target, and answers those who ask this instance.

Each target whose keys are its own has a dispatcher in its failure domain;
targets of a service without keys share one. All instances find the same one by
hashing, so nobody is elected. One that gives no answer is passed over for a
while, and the request is sent on what the instance itself knows.
"""

import random
import typing

from bilberryglade._delivery import endings, permits
from bilberryglade._membership import fleet
from bilberryglade._peers import asks
from bilberryglade._targets import choosing, directory, standing
from bilberryglade._values import clock, outcomes, spreading
from bilberryglade_schema import fleet as messages

#: Longest wait for a dispatcher's answer; one is a round trip away.
ASK_SECONDS: typing.Final = 0.05
#: Seconds for which a silent dispatcher is passed over, at first and at most.
SILENCE_SECONDS: typing.Final = 1.0
LONGEST_SILENCE_SECONDS: typing.Final = 8.0
MILLISECONDS: typing.Final = 1000
#: Asks of a process are numbered from a random start below this, so that an
#: answer to an earlier process is not taken for one to this.
FIRST_NUMBERS: typing.Final = 4_000_000_000
PERCENT: typing.Final = 100


class Permitted(typing.NamedTuple):
    """A target that a request may be sent to, and who counts it there."""

    #: Name and start of the target.
    life: directory.Life
    dispatcher: str
    number: int


class Silence(typing.NamedTuple):
    """A dispatcher that gave no answer."""

    until: float
    seconds: float


Answer: typing.TypeAlias = Permitted | choosing.Refusal | None


class Dispatching:
    """Permits for the requests of this instance, and for those of others."""

    def __init__(self, members: fleet.Fleet, ledger: permits.Ledger) -> None:
        """Counts in `ledger` what this instance dispatches."""
        self.members = members
        self.ledger = ledger
        self.number = random.randrange(FIRST_NUMBERS)
        self.asks: asks.Asks[messages.PermitAnswer] = asks.Asks()
        self.silences: dict[str, Silence] = {}
        #: Members by rank for each pool, and the membership that this holds
        #: for.
        self.rankings: dict[tuple[str, str], tuple[str, ...]] = {}
        self.ranked_version = -1

    async def ask(
        self,
        service: str,
        owner: directory.Target | None,
        demand: choosing.Demand,
    ) -> Answer:
        """Returns a permit, a refusal, or None if nobody can say."""
        self.number += 1
        number = self.number
        name = self._dispatcher(service, owner)
        request = permits.Ask(
            key=(self.members.own.name, number),
            service=service,
            owner='' if owner is None else owner.name,
            demand=demand,
        )
        if name == self.members.own.name:
            chosen = self.ledger.grant(request, clock.now())
            if isinstance(chosen, directory.Target):
                return Permitted(directory.life_of(chosen), name, number)
            return chosen
        answer = await self._ask_peer(name, request)
        if answer is None:
            self._note_silence(name)
            return None
        return _understood(answer, name)

    def end(self, permitted: Permitted, ended: endings.Ended) -> None:
        """Tells a dispatcher what came of a request."""
        own = self.members.own.name
        if permitted.dispatcher == own:
            self.ledger.end((own, permitted.number), ended, clock.now())
            return
        message: messages.PermitEnd = {
            'kind': 'end',
            'sender': own,
            'number': permitted.number,
            'ending': ended.ending.value,
            'ms': int(ended.seconds * MILLISECONDS),
        }
        if ended.report is not None:
            message['load'] = _plain(ended.report)
        self.members.send(permitted.dispatcher, message)

    def hear_ask(self, message: messages.PermitAsk) -> None:
        """Answers another instance."""
        request = permits.Ask(
            key=(message['sender'], message['number']),
            service=message['service'],
            owner=message.get('owner', ''),
            demand=choosing.Demand(
                failure_domain=self.members.domain_of(message['sender']),
                aim_left=message['aim_ms'] / MILLISECONDS,
                time_left=message['left_ms'] / MILLISECONDS,
                tried=frozenset(message.get('excluded', ())),
            ),
        )
        chosen = self.ledger.grant(request, clock.now())
        self.members.send(message['sender'], self._answer(request, chosen))

    def hear_answer(self, message: messages.PermitAnswer) -> None:
        """Takes in an answer; a permit that comes too late is given back."""
        self.silences.pop(message['sender'], None)
        if self.asks.answer(message['number'], message):
            return
        answer = _understood(message, message['sender'])
        if isinstance(answer, Permitted):
            self.end(answer, endings.Ended(endings.Ending.abandoned))

    def hear_end(self, message: messages.PermitEnd) -> None:
        """Takes in what came of another instance's request."""
        ending = endings.Ending.__members__.get(message['ending'])
        report = None
        load = message.get('load', [])
        if len(load) == len(standing.Report._fields):
            report = standing.Report(load[0], load[1], load[2] / PERCENT)
        self.ledger.end(
            (message['sender'], message['number']),
            endings.Ended(
                ending or endings.Ending.abandoned,
                message['ms'] / MILLISECONDS,
                report,
            ),
            clock.now(),
        )

    def _dispatcher(self, service: str, owner: directory.Target | None) -> str:
        """Returns the first member of a pool's ranking that is not silent."""
        if self.ranked_version != self.members.version:
            self.rankings.clear()
            self.ranked_version = self.members.version
        pool = (service, owner.name) if owner else (service, '')
        ranking = self.rankings.get(pool)
        if ranking is None:
            domain = owner.failure_domain if owner else ''
            ranking = rank('/'.join(pool), domain, self.members)
            self.rankings[pool] = ranking
        now = clock.now()
        for name in ranking:
            silence = self.silences.get(name)
            if silence is None or silence.until <= now:
                return name
        return self.members.own.name

    async def _ask_peer(
        self,
        name: str,
        request: permits.Ask,
    ) -> messages.PermitAnswer | None:
        demand = request.demand
        number = request.key[1]
        message: messages.PermitAsk = {
            'kind': 'ask',
            'sender': self.members.own.name,
            'number': number,
            'service': request.service,
            'aim_ms': int(demand.aim_left * MILLISECONDS),
            'left_ms': int(demand.time_left * MILLISECONDS),
        }
        if request.owner:
            message['owner'] = request.owner
        if demand.tried:
            message['excluded'] = sorted(demand.tried)
        return await self.asks.wait(
            number, lambda: self.members.send(name, message), ASK_SECONDS
        )

    def _note_silence(self, name: str) -> None:
        known = self.silences.get(name)
        now = clock.now()
        if known is not None and known.until > now:
            return
        seconds = SILENCE_SECONDS
        if known is not None:
            seconds = min(known.seconds * 2, LONGEST_SILENCE_SECONDS)
        self.silences[name] = Silence(now + seconds, seconds)

    def _answer(
        self,
        request: permits.Ask,
        chosen: directory.Target | choosing.Refusal | None,
    ) -> messages.PermitAnswer:
        answer: messages.PermitAnswer = {
            'kind': 'permit',
            'sender': self.members.own.name,
            'number': request.key[1],
        }
        if isinstance(chosen, directory.Target):
            answer['target'] = chosen.name
            answer['born'] = chosen.born
        if isinstance(chosen, choosing.Refusal):
            answer['reason'] = chosen.reason.value
            answer['retry_ms'] = int(chosen.retry_seconds * MILLISECONDS)
        return answer


def rank(
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


def _understood(message: messages.PermitAnswer, name: str) -> Answer:
    if 'target' in message and 'born' in message:
        life = directory.Life(message['target'], message['born'])
        return Permitted(life, name, message['number'])
    reason = outcomes.Reason.__members__.get(message.get('reason', ''))
    if reason is None:
        return None
    retry_ms = message.get('retry_ms', 0)
    return choosing.Refusal(reason, retry_ms / MILLISECONDS)


def _plain(report: standing.Report) -> list[int]:
    slowness = int(report.slowness * PERCENT)
    return [report.running, report.waiting, slowness]
