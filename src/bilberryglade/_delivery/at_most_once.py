"""Runs each request that has an idempotency key at most once.

The leader of the request's slot records an intent durably. It then runs the
request only if it has led the slot without interruption since it last read the
intent stream to its end.
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
#: Time between two reads of each followed intent stream.
POLL_INTERVAL_SECONDS: typing.Final = 1.0
NOT_RECORDED: typing.Final = outcomes.NotRun(
    outcomes.Reason.intent_not_recorded,
)

Runner: typing.TypeAlias = abc.Callable[[], abc.Awaitable[outcomes.Outcome]]


class TenureSource(typing.Protocol):
    """Source of the tenures of the slots that this instance leads."""

    def of_slot(self, service: str, slot: int) -> intents.Tenure | None:
        """Returns the current tenure of a slot, or None if not led here."""

    def of_service(self, service: str) -> dict[int, intents.Tenure]:
        """Returns the current tenures of a service's slots led here."""


class ServiceExecutor:
    """Runs the requests of one service that have idempotency keys."""

    def __init__(
        self,
        service: str,
        log: intent_log.IntentLog,
        tenures: TenureSource,
    ) -> None:
        """Records the intents of `service` in `log`."""
        self.service = service
        self.log = log
        self.tenures = tenures
        self.catch_up_lock = asyncio.Lock()
        #: Tenures during which the stream was read to its end, by slot.
        self.caught_up_tenures: dict[int, intents.Tenure] = {}
        #: Outcomes of the attempts in progress, by digest.
        self.pending_outcomes: dict[str, asyncio.Future[outcomes.Outcome]] = {}

    async def run(
        self,
        request: requests.RoutedRequest,
        run_request: Runner,
    ) -> outcomes.Outcome:
        """Runs `request` unless it was tried; repeats share one outcome."""
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
        """Reads the stream to its end, once in each tenure of a slot."""
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
    """Runs the requests of all services that have idempotency keys."""

    def __init__(
        self,
        instance: str,
        log: log_client.LogClient,
        tenures: TenureSource,
        policy: str = 'group',
    ) -> None:
        """Acts as `instance`; `policy` names a gathering policy of intents."""
        self.instance = instance
        self.log = log
        self.tenures = tenures
        self.pacer = batching.Pacer(policy)
        self.services: dict[str, ServiceExecutor] = {}
        #: Services that this instance may come to lead; it reads their intents.
        self.followed_services: frozenset[str] = frozenset()

    async def follow(self) -> None:
        """Reads followed streams until cancelled, so that takeovers are fast."""
        while True:
            for service in sorted(self.followed_services):
                await self._executor_of(service).log.poll()
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def run(
        self,
        request: requests.RoutedRequest,
        run_request: Runner,
    ) -> outcomes.Outcome:
        """Runs `request` at most once, by calling `run_request`."""
        return await self._executor_of(request.service).run(
            request, run_request
        )

    def observe(self, view: state.ClusterState) -> None:
        """Updates the rate of appends and the followed services from `view`."""
        self.pacer.rate = batching.append_rate(len(view.members))
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
    """Returns the services with a `once` rule that `instance` may lead.

    They have a target in the failure domain of `instance`.
    """
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
    """Returns a digest of a request's content in 32 hexadecimal digits."""
    parts = (request.method, request.path, request.key)
    digest = xxhash.xxh3_128('\n'.join(parts).encode())
    digest.update(request.body)
    return str(digest.hexdigest())
