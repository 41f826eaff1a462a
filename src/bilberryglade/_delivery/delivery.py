"""Delivers routed requests to the instance that leads the owning target."""

import asyncio
import functools
import time

from bilberryglade._delivery import (
    at_most_once,
    crash_watch,
    dispatcher,
    forwarder,
    retry,
)
from bilberryglade._log import follower
from bilberryglade._ownership import leases
from bilberryglade._peers import network
from bilberryglade._routing import elsewhere, roles
from bilberryglade._state import state
from bilberryglade._targets import spread
from bilberryglade._values import outcomes, requests


class Delivery:
    """Delivers callers' requests and runs requests that peers forward."""

    def __init__(
        self,
        instance: str,
        reader: follower.Follower,
        granter: leases.LeaseGranter,
        local_dispatcher: dispatcher.Dispatcher,
        peers: network.PeerNetwork,
        at_most_once_executor: at_most_once.AtMostOnceExecutor,
        watch: crash_watch.CrashWatch,
    ) -> None:
        """Acts as `instance`.

        `at_most_once_executor` runs the requests that have idempotency keys.
        """
        self.instance = instance
        self.reader = reader
        self.granter = granter
        self.local_dispatcher = local_dispatcher
        self.at_most_once_executor = at_most_once_executor
        self.crash_watch = watch
        self.forwarder = forwarder.Forwarder(
            instance, reader, peers, self.dispatch
        )
        self.spread = spread.Spread()
        #: Retries of all requests since this instance started.
        self.retries = 0
        self.retry_budget = retry.Budget()
        #: Dispatches that may run only once; a caller that leaves does not end them.
        self.detached_tasks: set[asyncio.Task[outcomes.Outcome]] = set()

    async def deliver(
        self,
        request: requests.RoutedRequest,
    ) -> outcomes.Outcome:
        """Runs `request`, with retries where allowed, and returns its outcome.

        Cancelling this call stops only a request that may be repeated.
        """
        if self.crash_watch.is_quarantined(request):
            return outcomes.NotRun(outcomes.Reason.quarantined)
        self.retry_budget = retry.refill(self.retry_budget)
        home_request = request._replace(slot=elsewhere.home_slot(request))
        attempt = home_request._replace(
            slot=self.spread.slot_for(self.reader.view, home_request)
        )
        tried_targets: list[str] = []
        earlier: list[outcomes.Outcome] = []
        while True:
            target = owner_of(self.reader.view, attempt)
            outcome = await self._try_and_count(attempt, target)
            if isinstance(outcome, outcomes.Answered):
                return outcome
            tried_targets.append(target.target if target else '')
            next_slot = elsewhere.slot_elsewhere(
                self.reader.view, attempt, tried_targets
            )
            decision = self._decide_retry(
                attempt, outcome, next_slot, len(tried_targets)
            )
            if isinstance(decision, retry.ReturnOutcome):
                told = decision.outcome
                return outcomes.after_all((*earlier, told), told)
            earlier.append(outcome)
            self.retry_budget = decision.budget
            self.retries += 1
            await asyncio.sleep(decision.after_seconds)
            attempt = attempt._replace(
                slot=next_slot,
                request_id=requests.attempt_id(
                    request.request_id, len(tried_targets)
                ),
            )

    async def dispatch(
        self,
        request: requests.RoutedRequest,
    ) -> outcomes.Outcome:
        """Runs `request` at its target, or refuses if a peer leads the target."""
        if request.repeatable or not request.idempotency_digest:
            return await self._run_as_leader(request)
        return await self.at_most_once_executor.run(
            request,
            functools.partial(self._run_as_leader, request),
        )

    async def _run_as_leader(
        self,
        request: requests.RoutedRequest,
    ) -> outcomes.Outcome:
        view = self.reader.view
        target = owner_of(view, request)
        if target is None:
            return outcomes.NotRun(outcomes.Reason.no_owner)
        if roles.leader_of_target(view, target.target) != self.instance:
            return outcomes.NotRun(outcomes.Reason.not_leader)
        if not self.granter.dispatch_fence(target.target, request.slot):
            return outcomes.NotRun(outcomes.Reason.no_owner)
        if self.crash_watch.is_quarantined(request):
            return outcomes.NotRun(outcomes.Reason.quarantined)
        dispatch = dispatcher.Dispatch(request, target)
        return await self.crash_watch.run(
            request,
            target,
            functools.partial(self.local_dispatcher.run, dispatch),
        )

    def _decide_retry(
        self,
        attempt: requests.RoutedRequest,
        outcome: outcomes.Outcome,
        next_slot: int,
        attempts: int,
    ) -> retry.Decision:
        attempt_result = retry.AttemptResult(
            outcome=outcome,
            repeatable=attempt.repeatable,
            has_untried_target=next_slot != attempt.slot,
            attempts=attempts,
            remaining_seconds=attempt.deadline - time.monotonic(),
        )
        return retry.decide(attempt_result, self.retry_budget)

    async def _try_and_count(
        self,
        request: requests.RoutedRequest,
        target: state.TargetState | None,
    ) -> outcomes.Outcome:
        if target is None:
            return outcomes.NotRun(outcomes.Reason.no_owner)
        began = time.monotonic()
        outcome: outcomes.Outcome | None = None
        self.spread.sent(target.target)
        try:
            outcome = await self._try(request, target)
        finally:
            seconds = time.monotonic() - began
            self.spread.ended(target.target, outcome, seconds)
        return outcome

    async def _try(
        self,
        request: requests.RoutedRequest,
        target: state.TargetState,
    ) -> outcomes.Outcome:
        leader = roles.leader_of_target(self.reader.view, target.target)
        if leader == self.instance:
            return await self._dispatch_here(request)
        member = self.reader.view.members.get(leader)
        if member is None:
            return outcomes.NotRun(outcomes.Reason.not_leader)
        return await self.forwarder.send(request, target.target, member)

    async def _dispatch_here(
        self,
        request: requests.RoutedRequest,
    ) -> outcomes.Outcome:
        if request.repeatable:
            return await self.dispatch(request)
        task = asyncio.create_task(self.dispatch(request))
        self.detached_tasks.add(task)
        task.add_done_callback(self.detached_tasks.discard)
        return await asyncio.shield(task)


def owner_of(
    view: state.ClusterState,
    request: requests.RoutedRequest,
) -> state.TargetState | None:
    """Returns the target that owns the request's slot, or None."""
    service = view.services.get(request.service)
    if service is None:
        return None
    owner = service.owners.get(request.slot)
    if owner is None:
        return None
    return view.targets.get(owner.target)
