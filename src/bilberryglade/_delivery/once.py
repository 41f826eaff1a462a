"""Runs each request that its caller has named at most once.

The leader of the request's slot makes an intent durable, sees that it has led
without interruption since it last read the stream whole, and then runs.
"""

import asyncio
import time
import typing
from collections import abc

import xxhash

from bilberryglade._delivery import batching, intent_log, intents
from bilberryglade._log import log_client
from bilberryglade._state import state
from bilberryglade._values import outcomes, requests, steps

RUN: typing.Final = steps.declare(
    'intents.run_after_record',
    steps.StepKind.check_to_act,
)
#: Time between two reads of a stream that is followed.
FOLLOW_SECONDS: typing.Final = 1.0
NOT_RECORDED: typing.Final = outcomes.NotRun(
    outcomes.Reason.intent_not_recorded,
)

Runner: typing.TypeAlias = abc.Callable[[], abc.Awaitable[outcomes.Outcome]]


class Tenures(typing.Protocol):
    """Tells which slots this instance leads."""

    def of_slot(self, service: str, slot: int) -> intents.Tenure | None:
        """Returns the present tenure of a slot, or None."""

    def of_service(self, service: str) -> dict[int, intents.Tenure]:
        """Returns the present tenures of a service's slots."""


class ServiceOnce:
    """The named requests of one service."""

    def __init__(
        self,
        service: str,
        log: intent_log.IntentLog,
        tenures: Tenures,
    ) -> None:
        """Records in `log`."""
        self.service = service
        self.log = log
        self.tenures = tenures
        self.reading = asyncio.Lock()
        #: Tenures in whose time the stream was read whole, by slot.
        self.read_in: dict[int, intents.Tenure] = {}
        self.outcomes: dict[str, asyncio.Future[outcomes.Outcome]] = {}

    async def run(
        self,
        request: requests.RoutedRequest,
        run: Runner,
    ) -> outcomes.Outcome:
        """Runs `request` unless it was tried; repeats share its outcome."""
        tenure = self.tenures.of_slot(self.service, request.slot)
        if tenure is None:
            return outcomes.NotRun(outcomes.Reason.no_owner)
        if not await self._read(request, tenure):
            return NOT_RECORDED
        if self.tenures.of_slot(self.service, request.slot) != tenure:
            return outcomes.NotRun(outcomes.Reason.no_owner)
        digest = request.idempotency_digest
        arrival = intents.on_arrival(
            self.log.ledger,
            digest,
            fingerprint_of(request),
        )
        self.log.ledger = arrival.ledger
        if isinstance(arrival.action, intents.Tell):
            return arrival.action.outcome
        if isinstance(arrival.action, intents.Join):
            return await self._join(digest, request.deadline)
        return await self._admitted(request, tenure, run)

    async def _read(
        self,
        request: requests.RoutedRequest,
        tenure: intents.Tenure,
    ) -> bool:
        """Reads the stream whole, once in each tenure of a slot."""
        async with self.reading:
            if self.read_in.get(request.slot) == tenure:
                return True
            led = self.tenures.of_service(self.service)
            left = request.deadline - time.monotonic()
            if not await self.log.read_whole(left):
                return False
            self.read_in = led
            return led.get(request.slot) == tenure

    async def _join(self, digest: str, deadline: float) -> outcomes.Outcome:
        first = self.outcomes[digest]
        left = deadline - time.monotonic()
        await asyncio.wait({first}, timeout=max(left, 0))
        if first.done():
            return first.result()
        return outcomes.Unknown(outcomes.Reason.answer_lost)

    async def _admitted(
        self,
        request: requests.RoutedRequest,
        tenure: intents.Tenure,
        run: Runner,
    ) -> outcomes.Outcome:
        digest = request.idempotency_digest
        shared: asyncio.Future[outcomes.Outcome] = asyncio.Future()
        self.outcomes[digest] = shared
        committed = await self.log.record(digest, request.organisation)
        outcome: outcomes.Outcome = NOT_RECORDED
        if committed.is_durable:
            outcome = outcomes.NotRun(outcomes.Reason.no_owner)
            now_led = self.tenures.of_slot(self.service, request.slot)
            if now_led == tenure:
                outcome = await run()
        self._end(committed.attempt, outcome)
        self.outcomes.pop(digest)
        shared.set_result(outcome)
        return outcome

    def _end(
        self,
        attempt: intents.Attempt,
        outcome: outcomes.Outcome,
    ) -> None:
        self.log.ledger = intents.on_outcome(self.log.ledger, attempt, outcome)
        if isinstance(outcome, outcomes.NotRun):
            self.log.release(attempt)


class Once:
    """The named requests of every service, by service."""

    def __init__(
        self,
        instance: str,
        log: log_client.LogClient,
        tenures: Tenures,
        policy: str = 'group',
    ) -> None:
        """Acts as `instance`; `policy` says when intents are appended."""
        self.instance = instance
        self.log = log
        self.tenures = tenures
        self.pacer = batching.Pacer(policy)
        self.services: dict[str, ServiceOnce] = {}
        #: Services whose streams are followed, as this instance may lead them.
        self.followed: frozenset[str] = frozenset()

    async def follow(self) -> None:
        """Follows streams until cancelled, to take over without a long read."""
        while True:
            for service in sorted(self.followed):
                await self._of(service).log.follow_once()
            await asyncio.sleep(FOLLOW_SECONDS)

    async def run(
        self,
        request: requests.RoutedRequest,
        run: Runner,
    ) -> outcomes.Outcome:
        """Runs `request` at most once, by `run`."""
        return await self._of(request.service).run(request, run)

    def observe(self, view: state.ClusterState) -> None:
        """Takes in the members, and the services that may be led here."""
        self.pacer.rate = batching.append_rate(len(view.members))
        self.followed = followed_services(view, self.instance)

    def _of(self, service: str) -> ServiceOnce:
        known = self.services.get(service)
        if known is None:
            stream = intent_log.IntentLog(
                self.instance, service, self.log, self.pacer
            )
            known = ServiceOnce(service, stream, self.tenures)
            self.services[service] = known
        return known


def followed_services(
    view: state.ClusterState,
    instance: str,
) -> frozenset[str]:
    """Returns services with once rules and targets in `instance`'s domain."""
    member = view.members.get(instance)
    if member is None:
        return frozenset()
    near = {
        target.service
        for target in view.targets.values()
        if target.failure_domain == member.failure_domain
    }
    return frozenset(near & {rule.service for rule in view.rules.book.onces})


def fingerprint_of(request: requests.RoutedRequest) -> str:
    """Returns a digest of what a request asks for, 32 hexadecimal digits."""
    parts = (request.method, request.path, request.key)
    digest = xxhash.xxh3_128('\n'.join(parts).encode())
    digest.update(request.body)
    return str(digest.hexdigest())
