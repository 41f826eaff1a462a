"""Performs admission: carries asks and grants between entries and homes."""

import asyncio
import itertools
import time
import typing

from bilberryglade._limits import (
    desk as desks,
    holding,
    home as homes,
    limits,
    policies,
    tokens,
)
from bilberryglade._peers import handlers
from bilberryglade._routing import roles
from bilberryglade._state import state
from bilberryglade._values import outcomes, steps
from bilberryglade_schema import peer

MILLISECONDS: typing.Final = 1000
PERMILLE: typing.Final = 1000
TICK_SECONDS: typing.Final = 0.05
#: Shortest delay of a timer.
SHORTEST_SECONDS: typing.Final = 0.0005

#: A token that was spent for longer may not be acted on any more.
FRESH_SECONDS: typing.Final = 0.05

steps.declare('quota.ask', steps.StepKind.message)
steps.declare('quota.grant', steps.StepKind.message)
steps.declare('quota.handover', steps.StepKind.message)
steps.declare('quota.spend_to_forward', steps.StepKind.check_to_act)


class Decision(typing.NamedTuple):
    """What became of a caller's wish for a token."""

    #: None if a token was spent.
    outcome: outcomes.NotRun | None
    #: Monotonic seconds.
    at: float


@policies.admission_policies.register('home')
class Quotas:
    """Admits with tokens of each quota's home, which may be this instance."""

    def __init__(self, fleet: policies.Fleet) -> None:
        """Acts as the instance of `fleet`."""
        self.fleet = fleet
        spans = homes.Spans(
            authority=fleet.timings['authority_ms'] / MILLISECONDS,
            token=homes.TOKEN_SECONDS,
            drift=fleet.timings['drift_permille'] / PERMILLE,
        )
        self.home = homes.Home(fleet.instance, fleet.boot, spans)
        self.desks: dict[tokens.QuotaName, desks.Desk] = {}
        self.callers: dict[int, asyncio.Future[Decision]] = {}
        self.numbers = itertools.count()
        self.timers: dict[tokens.QuotaName, asyncio.TimerHandle] = {}

    @property
    def view(self) -> state.ClusterState:
        """The newest state of the log that the instance has."""
        return self.fleet.reader.view

    def follow(self, view: state.ClusterState) -> None:
        """Takes note of a new state of the log; hands over moved quotas."""
        observed = homes.observe(self.home, view, time.monotonic())
        self.home = observed.home
        for handover in observed.handovers:
            member = view.members.get(roles.quota_home(view, *handover.name))
            if member is not None:
                message = _handover_message(self.fleet.instance, handover)
                self.fleet.peers.send(member.peer_address, message)

    def take_handover(self, message: peer.QuotaHandover) -> None:
        """Takes what an old home hands over."""
        handover = tokens.Handover(
            tokens.QuotaName(message['organisation'], message['limit']),
            message['term'],
            message['level'],
            message['given'],
        )
        self.home = homes.receive(self.home, handover, time.monotonic())

    async def admit(
        self,
        name: tokens.QuotaName,
        limit: tokens.Limit,
    ) -> outcomes.NotRun | None:
        """Returns None if a token was spent for the request just now.

        After a pause between the spending and its use the token is lost and
        another is spent, so that what was held up does not come in a bunch.
        """
        while True:
            decision = await self._decide(name, limit)
            if decision.outcome is not None:
                return decision.outcome
            if time.monotonic() - decision.at < FRESH_SECONDS:
                return None

    async def keep(self) -> None:
        """Returns idle tokens, again and again until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            for name in list(self.desks):
                self._tick(name)

    def take_ask(self, message: peer.TokenAsk) -> None:
        """Answers an entry that asks this instance for tokens."""
        member = self.view.members.get(message['instance'])
        if member is None:
            return
        name = tokens.QuotaName(message['organisation'], message['limit'])
        grant = self._answer(name, _ask_of(message))
        self.fleet.peers.send(
            member.peer_address,
            _grant_message(self.fleet.instance, name, grant),
        )

    def take_grant(self, message: peer.TokenGrant) -> None:
        """Takes a home's answer."""
        name = tokens.QuotaName(message['organisation'], message['limit'])
        grant = tokens.Grant(
            message['sequence'],
            message['count'],
            message['retry_us'] / MILLISECONDS / MILLISECONDS,
            message['confirmed'],
        )
        self._granted(name, grant)

    async def _decide(
        self,
        name: tokens.QuotaName,
        limit: tokens.Limit,
    ) -> Decision:
        number = next(self.numbers)
        answer: asyncio.Future[Decision] = asyncio.Future()
        self.callers[number] = answer
        step = desks.arrive(self._desk(name), number, limit, time.monotonic())
        self._perform(name, step)
        try:
            return await answer
        finally:
            self.callers.pop(number, None)
            self.desks[name] = desks.withdraw(self._desk(name), number)

    def _desk(self, name: tokens.QuotaName) -> desks.Desk:
        known = self.desks.get(name)
        if known is None:
            token_seconds = self.home.spans.token
            known = desks.Desk(
                holding.Holding(self.fleet.boot, token_seconds),
            )
        return known

    def _granted(self, name: tokens.QuotaName, grant: tokens.Grant) -> None:
        limit = limits.find_limit(self.view.rules.book, name)
        if limit is None:
            limit = tokens.Limit(0, 0)
        now = time.monotonic()
        step = desks.granted(self._desk(name), grant, limit, now)
        self._perform(name, step)

    def _answer(
        self,
        name: tokens.QuotaName,
        ask: tokens.Ask,
    ) -> tokens.Grant:
        view = self.view
        limit = limits.find_limit(view.rules.book, name)
        if limit is None:
            return tokens.Grant(ask.sequence, 0, 1.0)
        self.follow(view)
        now = time.monotonic()
        answered = homes.answer(
            self.home,
            name,
            limit,
            ask,
            self.fleet.authority.has_authority,
            now,
        )
        self.home = answered.home
        return answered.grant

    def _perform(self, name: tokens.QuotaName, step: desks.Step) -> None:
        self.desks[name] = step.desk
        for effect in step.effects:
            if isinstance(effect, desks.Send):
                self._send(name, effect.ask)
            elif isinstance(effect, desks.Admit):
                self._resolve(effect.number, None)
            else:
                self._resolve(effect.number, effect.outcome)
        self._set_timer(name)

    def _resolve(self, number: int, outcome: outcomes.NotRun | None) -> None:
        answer = self.callers.get(number)
        if answer is not None and not answer.done():
            answer.set_result(Decision(outcome, time.monotonic()))

    def _send(self, name: tokens.QuotaName, ask: tokens.Ask) -> None:
        view = self.view
        home = roles.quota_home(view, *name)
        if home == self.fleet.instance:
            self._granted(name, self._answer(name, ask))
            return
        member = view.members.get(home)
        if member is not None:
            message = _ask_message(self.fleet.instance, name, ask)
            self.fleet.peers.send(member.peer_address, message)

    def _tick(self, name: tokens.QuotaName) -> None:
        self._perform(name, desks.tick(self.desks[name], time.monotonic()))

    def _set_timer(self, name: tokens.QuotaName) -> None:
        timer = self.timers.pop(name, None)
        if timer is not None:
            timer.cancel()
        wake_at = desks.wake_at(self.desks[name])
        if wake_at == float('inf'):
            return
        loop = asyncio.get_running_loop()
        delay = max(wake_at - time.monotonic(), SHORTEST_SECONDS)
        self.timers[name] = loop.call_later(delay, self._tick, name)


def _ask_message(
    instance: str,
    name: tokens.QuotaName,
    ask: tokens.Ask,
) -> peer.TokenAsk:
    return {
        'kind': 'token_ask',
        'version': handlers.VERSION,
        'instance': instance,
        'boot': ask.entry,
        'organisation': name.organisation,
        'limit': name.limit,
        'sequence': ask.sequence,
        'needed': ask.needed,
        'extra': ask.extra,
        'settled': [
            {
                'sequence': row.sequence,
                'used': row.used,
                'returned': row.returned,
            }
            for row in ask.settled
        ],
    }


def _ask_of(message: peer.TokenAsk) -> tokens.Ask:
    return tokens.Ask(
        entry=message['boot'],
        sequence=message['sequence'],
        needed=message['needed'],
        extra=message['extra'],
        settled=tuple(
            tokens.Settled(row['sequence'], row['used'], row['returned'])
            for row in message['settled']
        ),
    )


def _grant_message(
    instance: str,
    name: tokens.QuotaName,
    grant: tokens.Grant,
) -> peer.TokenGrant:
    return {
        'kind': 'token_grant',
        'version': handlers.VERSION,
        'instance': instance,
        'organisation': name.organisation,
        'limit': name.limit,
        'sequence': grant.sequence,
        'count': grant.amount,
        'retry_us': int(grant.retry_seconds * MILLISECONDS * MILLISECONDS),
        'confirmed': grant.confirmed,
    }


def _handover_message(
    instance: str,
    handover: tokens.Handover,
) -> peer.QuotaHandover:
    return {
        'kind': 'quota_handover',
        'version': handlers.VERSION,
        'instance': instance,
        'organisation': handover.name.organisation,
        'limit': handover.name.limit,
        'term': handover.term,
        'level': handover.level,
        'given': handover.given,
    }
