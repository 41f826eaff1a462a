"""Runs each request that its caller has named at most once.

The leader of the request's slot makes an intent durable, sees that it has led
without interruption since it last read the stream whole, and then runs.
"""

import asyncio
import time
import typing
from collections import abc

import xxhash

from bilberryglade._delivery import gathering, intent_log, intents
from bilberryglade._log import log_client
from bilberryglade._state import state
from bilberryglade._values import outcomes, requests, steps

RUN: typing.Final = steps.declare(
    'intents.run_after_record',
    steps.StepKind.check_to_act,
)
#: Time between two reads of a stream that is followed.
POLL_INTERVAL_SECONDS: typing.Final = 1.0
NOT_RECORDED: typing.Final = outcomes.NotRun(
    outcomes.Reason.intent_not_recorded,
)

Runner: typing.TypeAlias = abc.Callable[[], abc.Awaitable[outcomes.Outcome]]


class TenureSource(typing.Protocol):
    """Tells which slots this instance leads."""

    def of_slot(self, service: str, slot: int) -> intents.Tenure | None:
        """Returns the present tenure of a slot, or None."""

    def of_service(self, service: str) -> dict[int, intents.Tenure]:
        """Returns the present tenures of a service's slots."""


class ServiceExecutor:
    """The named requests of one service."""

    def __init__(
        self,
        service: str,
        log: intent_log.IntentLog,
        tenures: TenureSource,
    ) -> None:
        """Records in `log`."""
        self.service = service
        self.log = log
        self.tenures = tenures
        self.catch_up_lock = asyncio.Lock()
        #: Tenures in whose time the stream was read whole, by slot.
        self.caught_up_tenures: dict[int, intents.Tenure] = {}
        self.pending_outcomes: dict[str, asyncio.Future[outcomes.Outcome]] = {}

    async def run(
        self,
        request: requests.RoutedRequest,
        run_request: Runner,
    ) -> outcomes.Outcome:
        """Runs `request` unless it was tried; repeats share its outcome."""
        tenure = self.tenures.of_slot(self.service, request.slot)
        if tenure is None:
            return outcomes.NotRun(outcomes.Reason.no_owner)
        if not await self._catch_up(request, tenure):
            return NOT_RECORDED
        if self.tenures.of_slot(self.service, request.slot) != tenure:
            return outcomes.NotRun(outcomes.Reason.no_owner)
        digest = request.idempotency_digest
        decision = intents.on_arrival(
            self.log.ledger,
            digest,
            fingerprint_of(request),
        )
        self.log.ledger = decision.ledger
        if isinstance(decision.action, intents.Reply):
            return decision.action.outcome
        if isinstance(decision.action, intents.AwaitAttempt):
            return await self._await_attempt(digest, request.deadline)
        return await self._record_and_run(request, tenure, run_request)

    async def _catch_up(
        self,
        request: requests.RoutedRequest,
        tenure: intents.Tenure,
    ) -> bool:
        """Reads the stream whole, once in each tenure of a slot."""
        async with self.catch_up_lock:
            if self.caught_up_tenures.get(request.slot) == tenure:
                return True
            tenures = self.tenures.of_service(self.service)
            remaining_seconds = request.deadline - time.monotonic()
            if not await self.log.catch_up(remaining_seconds):
                return False
            self.caught_up_tenures = tenures
            return tenures.get(request.slot) == tenure

    async def _await_attempt(
        self, digest: str, deadline: float
    ) -> outcomes.Outcome:
        first_outcome = self.pending_outcomes[digest]
        remaining_seconds = deadline - time.monotonic()
        await asyncio.wait({first_outcome}, timeout=max(remaining_seconds, 0))
        if first_outcome.done():
            return first_outcome.result()
        return outcomes.Unknown(outcomes.Reason.answer_lost)

    async def _record_and_run(
        self,
        request: requests.RoutedRequest,
        tenure: intents.Tenure,
        run_request: Runner,
    ) -> outcomes.Outcome:
        digest = request.idempotency_digest
        shared_outcome: asyncio.Future[outcomes.Outcome] = asyncio.Future()
        self.pending_outcomes[digest] = shared_outcome
        committed = await self.log.record(digest, request.organisation)
        outcome: outcomes.Outcome = NOT_RECORDED
        if committed.is_durable:
            outcome = outcomes.NotRun(outcomes.Reason.no_owner)
            current_tenure = self.tenures.of_slot(self.service, request.slot)
            if current_tenure == tenure:
                outcome = await run_request()
        self._finish(committed.attempt, outcome)
        self.pending_outcomes.pop(digest)
        shared_outcome.set_result(outcome)
        return outcome

    def _finish(
        self,
        attempt: intents.Attempt,
        outcome: outcomes.Outcome,
    ) -> None:
        self.log.ledger = intents.on_outcome(self.log.ledger, attempt, outcome)
        if isinstance(outcome, outcomes.NotRun):
            self.log.release(attempt)


class AtMostOnceExecutor:
    """The named requests of every service, by service."""

    def __init__(
        self,
        instance: str,
        log: log_client.LogClient,
        tenures: TenureSource,
        policy: str = 'group',
    ) -> None:
        """Acts as `instance`; `policy` says when intents are appended."""
        self.instance = instance
        self.log = log
        self.tenures = tenures
        self.pacer = gathering.Pacer(policy)
        self.services: dict[str, ServiceExecutor] = {}
        #: Services whose streams are followed, as this instance may lead them.
        self.followed_services: frozenset[str] = frozenset()

    async def follow(self) -> None:
        """Follows streams until cancelled, to take over without a long read."""
        while True:
            for service in sorted(self.followed_services):
                await self._executor_of(service).log.poll()
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def run(
        self,
        request: requests.RoutedRequest,
        run_request: Runner,
    ) -> outcomes.Outcome:
        """Runs `request` at most once, by `run`."""
        return await self._executor_of(request.service).run(
            request, run_request
        )

    def observe(self, view: state.ClusterState) -> None:
        """Takes in the members, and the services that may be led here."""
        self.pacer.rate = gathering.rate_of(len(view.members))
        self.followed_services = followed_services(view, self.instance)

    def _executor_of(self, service: str) -> ServiceExecutor:
        executor = self.services.get(service)
        if executor is None:
            service_log = intent_log.IntentLog(
                self.instance, service, self.log, self.pacer
            )
            executor = ServiceExecutor(service, service_log, self.tenures)
            self.services[service] = executor
        return executor


def followed_services(
    view: state.ClusterState,
    instance: str,
) -> frozenset[str]:
    """Returns services with once rules and targets in `instance`'s domain."""
    member = view.members.get(instance)
    if member is None:
        return frozenset()
    services_in_domain = {
        target.service
        for target in view.targets.values()
        if target.failure_domain == member.failure_domain
    }
    return frozenset(
        services_in_domain & {rule.service for rule in view.rules.book.onces}
    )


def fingerprint_of(request: requests.RoutedRequest) -> str:
    """Returns a digest of what a request asks for, 32 hexadecimal digits."""
    parts = (request.method, request.path, request.key)
    digest = xxhash.xxh3_128('\n'.join(parts).encode())
    digest.update(request.body)
    return str(digest.hexdigest())
