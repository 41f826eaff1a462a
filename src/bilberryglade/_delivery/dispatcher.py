"""Queues requests for the targets led here and sends them as capacity allows."""

import asyncio
import time
import typing
from collections import abc

import result

from bilberryglade._limits import fair_queue
from bilberryglade._state import state
from bilberryglade._targets import client, condition, phases
from bilberryglade._values import outcomes, requests, steps

SEND: typing.Final = steps.declare(
    'delivery.send_to_target',
    steps.StepKind.check_to_act,
)

#: Returns the fence under which a target may serve a slot; 0 if it may not.
Authoriser: typing.TypeAlias = abc.Callable[[str, int], int]

#: Largest share of a target's queue that one organisation may fill.
ORGANISATION_QUEUE_SHARE: typing.Final = 0.5


class Dispatch(typing.NamedTuple):
    """A request and the target that is to run it."""

    request: requests.RoutedRequest
    target: state.TargetState


class TargetQueue:
    """Requests that wait for or run at one target, held by its leader alone."""

    def __init__(self, concurrency: int, bounds: fair_queue.Bounds) -> None:
        """Starts empty, with the condition of a target that has not answered."""
        self.condition = condition.Condition(concurrency)
        self.queue = fair_queue.FairQueue(bounds)
        #: By request id; the result is None if the request may be sent, else
        #: a refusal.
        self.waiting: dict[str, asyncio.Future[outcomes.NotRun | None]] = {}
        #: Slots of requests without an answer, by request id; -1 before the send.
        self.running: dict[str, int] = {}

    def admit_waiting(self, now: float) -> None:
        """Admits waiting requests up to the allowance; refuses expired ones."""
        allowance = condition.allowance_at(self.condition, now)
        free = allowance - len(self.running)
        while free > 0:
            popped = fair_queue.pop(self.queue, now)
            self.queue = popped.queue
            for expired in popped.expired:
                self.refuse(expired.request_id, outcomes.Reason.deadline)
            if popped.entry is None:
                return
            free -= self._admit(popped.entry.request_id)

    def refuse(self, request_id: str, reason: outcomes.Reason) -> None:
        """Refuses a waiting request with `reason`."""
        waiter = self.waiting.pop(request_id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(outcomes.NotRun(reason))

    def refuse_all(self, reason: outcomes.Reason) -> None:
        """Refuses every waiting request with `reason` and empties the queue."""
        self.queue = fair_queue.FairQueue(self.queue.bounds)
        for request_id in list(self.waiting):
            self.refuse(request_id, reason)

    def _admit(self, request_id: str) -> int:
        waiter = self.waiting.pop(request_id, None)
        if waiter is None or waiter.done():
            return 0
        # Counts as running before the send, so that the allowance holds; -1
        # stands for the slot until then.
        self.running[request_id] = -1
        waiter.set_result(None)
        return 1


class Dispatcher:
    """Sends requests to the targets that this instance leads."""

    def __init__(
        self,
        target_client: client.TargetClient,
        authorise: Authoriser,
        queue_length: int,
        warming_policy: str = 'stepwise',
    ) -> None:
        """Lets up to `queue_length` requests wait for each target.

        `authorise` is called right before each request is sent.
        """
        self.target_client = target_client
        self.authorise = authorise
        self.warming_policy = warming_policy
        self.bounds = fair_queue.Bounds(
            total=queue_length,
            organisation=max(int(queue_length * ORGANISATION_QUEUE_SHARE), 1),
        )
        self.target_queues: dict[str, TargetQueue] = {}

    async def run(self, dispatch: Dispatch) -> outcomes.Outcome:
        """Waits in the target's queue, then sends the request once."""
        target_queue = self._queue_of(dispatch.target)
        if target_queue.condition.phase in phases.CLOSED:
            return outcomes.NotRun(outcomes.Reason.no_owner)
        refusal = await self._wait_for_turn(target_queue, dispatch.request)
        if refusal is not None:
            return refusal
        try:
            return await self._send(target_queue, dispatch)
        finally:
            target_queue.running.pop(dispatch.request.request_id, None)
            target_queue.admit_waiting(time.monotonic())

    def observe(self, view: state.ClusterState) -> None:
        """Applies target states; refuses requests waiting for one that is not live."""
        now = time.monotonic()
        for name, target_queue in self.target_queues.items():
            target = view.targets.get(name)
            directive = condition.Directive(target.state if target else 'gone')
            target_queue.condition = condition.decide(
                target_queue.condition,
                directive,
                now,
            )
            if directive.state == 'live':
                target_queue.admit_waiting(now)
            else:
                target_queue.refuse_all(outcomes.Reason.no_owner)

    def running_slots(self, target: str) -> frozenset[int]:
        """Returns the slots of the requests that run at `target`."""
        target_queue = self.target_queues.get(target)
        if target_queue is None:
            return frozenset()
        return frozenset(
            slot for slot in target_queue.running.values() if slot >= 0
        )

    def waiting_count(self) -> int:
        """Returns how many requests wait for all led targets together."""
        return sum(
            len(target_queue.waiting)
            for target_queue in self.target_queues.values()
        )

    def is_idle(self) -> bool:
        """Returns whether no request waits or runs."""
        return not any(
            target_queue.waiting or target_queue.running
            for target_queue in self.target_queues.values()
        )

    def _queue_of(self, target: state.TargetState) -> TargetQueue:
        target_queue = self.target_queues.get(target.target)
        if target_queue is None:
            target_queue = TargetQueue(target.concurrency, self.bounds)
            self.target_queues[target.target] = target_queue
        return target_queue

    async def _wait_for_turn(
        self,
        target_queue: TargetQueue,
        request: requests.RoutedRequest,
    ) -> outcomes.NotRun | None:
        now = time.monotonic()
        entry = fair_queue.Entry(
            request.request_id,
            request.organisation,
            request.deadline,
        )
        pushed = fair_queue.push(target_queue.queue, entry, now)
        if isinstance(pushed, result.Err):
            return _outcome_of_refusal(pushed.err_value)
        target_queue.queue = pushed.ok_value.queue
        evicted = pushed.ok_value.evicted
        if evicted is not None:
            target_queue.refuse(evicted.request_id, outcomes.Reason.queue_full)
        waiter: asyncio.Future[outcomes.NotRun | None] = asyncio.Future()
        target_queue.waiting[request.request_id] = waiter
        target_queue.admit_waiting(now)
        ticket = pushed.ok_value.ticket
        try:
            return await asyncio.wait_for(waiter, request.deadline - now)
        except TimeoutError:
            self._withdraw(target_queue, request, ticket)
            return outcomes.NotRun(outcomes.Reason.deadline)
        except asyncio.CancelledError:
            self._withdraw(target_queue, request, ticket)
            raise

    def _withdraw(
        self,
        target_queue: TargetQueue,
        request: requests.RoutedRequest,
        ticket: fair_queue.Ticket,
    ) -> None:
        target_queue.waiting.pop(request.request_id, None)
        target_queue.running.pop(request.request_id, None)
        target_queue.queue = fair_queue.remove(target_queue.queue, ticket)
        target_queue.admit_waiting(time.monotonic())

    async def _send(
        self,
        target_queue: TargetQueue,
        dispatch: Dispatch,
    ) -> outcomes.Outcome:
        request = dispatch.request
        began = time.monotonic()
        if request.deadline <= began:
            return outcomes.NotRun(outcomes.Reason.deadline)
        fence = self.authorise(dispatch.target.target, request.slot)
        if not fence:
            return outcomes.NotRun(outcomes.Reason.no_owner)
        target_queue.running[request.request_id] = request.slot
        outcome = await self.target_client.run(
            dispatch.target.address,
            request,
            client.GrantHeaders(request.slot, fence),
            request.deadline - began,
        )
        ended = time.monotonic()
        event = _event_of_outcome(outcome, ended - began)
        target_queue.condition = condition.decide(
            target_queue.condition,
            event,
            ended,
            self.warming_policy,
        )
        return outcome


def _event_of_outcome(
    outcome: outcomes.Outcome, seconds: float
) -> condition.Event:
    if isinstance(outcome, outcomes.Answered):
        return condition.Answer(seconds)
    if outcome.reason is outcomes.Reason.target_refused:
        return condition.Shed()
    return condition.Loss()


def _outcome_of_refusal(refusal: fair_queue.Refusal) -> outcomes.NotRun:
    if refusal is fair_queue.Refusal.expired:
        return outcomes.NotRun(outcomes.Reason.deadline)
    return outcomes.NotRun(outcomes.Reason.queue_full)
