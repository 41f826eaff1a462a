"""Dispatches requests to led targets within what each of them bears."""

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

#: Returns the fence under which a slot may be served at a target, or 0.
Authoriser: typing.TypeAlias = abc.Callable[[str, int], int]

#: Smallest share of a target's queue that an organisation may fill.
ORGANISATION_SHARE: typing.Final = 0.5


class Dispatch(typing.NamedTuple):
    """A request and the target that is to run it."""

    request: requests.RoutedRequest
    target: state.TargetState


class Channel:
    """The queue in front of one target; its leader has the only one."""

    def __init__(self, concurrency: int, bounds: fair_queue.Bounds) -> None:
        """Starts with nothing known of the target."""
        self.condition = condition.Condition(concurrency)
        self.queue = fair_queue.FairQueue(bounds)
        #: Set to None when the request may go, or to a refusal.
        self.waiting: dict[str, asyncio.Future[outcomes.NotRun | None]] = {}
        #: Slots of the requests sent and not yet answered.
        self.running: dict[str, int] = {}

    def pump(self, now: float) -> None:
        """Lets waiting requests go while the target bears one more."""
        allowance = condition.allowance_at(self.condition, now)
        free = allowance - len(self.running)
        while free > 0:
            popped = fair_queue.pop(self.queue, now)
            self.queue = popped.queue
            for expired in popped.expired:
                self.settle(expired.request_id, outcomes.Reason.deadline)
            if popped.entry is None:
                return
            free -= self._let_go(popped.entry.request_id)

    def settle(self, request_id: str, reason: outcomes.Reason) -> None:
        """Refuses a waiting request."""
        waiter = self.waiting.pop(request_id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(outcomes.NotRun(reason))

    def refuse_all(self, reason: outcomes.Reason) -> None:
        """Refuses every waiting request and empties the queue."""
        self.queue = fair_queue.FairQueue(self.queue.bounds)
        for request_id in list(self.waiting):
            self.settle(request_id, reason)

    def _let_go(self, request_id: str) -> int:
        waiter = self.waiting.pop(request_id, None)
        if waiter is None or waiter.done():
            return 0
        #: Counts as running from here on, so that no other takes its place.
        self.running[request_id] = -1
        waiter.set_result(None)
        return 1


class Dispatcher:
    """Holds a channel for each target that this instance leads."""

    def __init__(
        self,
        targets: client.TargetClient,
        authorise: Authoriser,
        queue_length: int,
        warming: str = 'stepwise',
    ) -> None:
        """Lets up to `queue_length` requests wait for each target.

        `authorise` is asked again right before each request is sent.
        """
        self.targets = targets
        self.authorise = authorise
        self.warming = warming
        self.bounds = fair_queue.Bounds(
            total=queue_length,
            organisation=max(int(queue_length * ORGANISATION_SHARE), 1),
        )
        self.channels: dict[str, Channel] = {}

    async def run(self, dispatch: Dispatch) -> outcomes.Outcome:
        """Waits for a turn, then sends the request once."""
        channel = self._channel(dispatch.target)
        if channel.condition.phase in phases.CLOSED:
            return outcomes.NotRun(outcomes.Reason.no_owner)
        refusal = await self._wait_for_turn(channel, dispatch.request)
        if refusal is not None:
            return refusal
        try:
            return await self._send(channel, dispatch)
        finally:
            channel.running.pop(dispatch.request.request_id, None)
            channel.pump(time.monotonic())

    def observe(self, view: state.ClusterState) -> None:
        """Takes in the agreed states of targets."""
        now = time.monotonic()
        for name, channel in self.channels.items():
            target = view.targets.get(name)
            directive = condition.Directive(target.state if target else 'gone')
            channel.condition = condition.decide(
                channel.condition,
                directive,
                now,
            )
            if directive.state == 'live':
                channel.pump(now)
            else:
                channel.refuse_all(outcomes.Reason.no_owner)

    def running_slots(self, target: str) -> frozenset[int]:
        """Returns the slots of the requests that run at a target."""
        channel = self.channels.get(target)
        if channel is None:
            return frozenset()
        return frozenset(slot for slot in channel.running.values() if slot >= 0)

    def waiting_count(self) -> int:
        """Returns how many requests wait in front of all led targets."""
        return sum(len(channel.waiting) for channel in self.channels.values())

    def is_idle(self) -> bool:
        """Tells whether no request waits or runs."""
        return not any(
            channel.waiting or channel.running
            for channel in self.channels.values()
        )

    def _channel(self, target: state.TargetState) -> Channel:
        channel = self.channels.get(target.target)
        if channel is None:
            channel = Channel(target.concurrency, self.bounds)
            self.channels[target.target] = channel
        return channel

    async def _wait_for_turn(
        self,
        channel: Channel,
        request: requests.RoutedRequest,
    ) -> outcomes.NotRun | None:
        now = time.monotonic()
        entry = fair_queue.Entry(
            request.request_id,
            request.organisation,
            request.deadline,
        )
        pushed = fair_queue.push(channel.queue, entry, now)
        if isinstance(pushed, result.Err):
            return _refused(pushed.err_value)
        channel.queue = pushed.ok_value.queue
        evicted = pushed.ok_value.evicted
        if evicted is not None:
            channel.settle(evicted.request_id, outcomes.Reason.queue_full)
        waiter: asyncio.Future[outcomes.NotRun | None] = asyncio.Future()
        channel.waiting[request.request_id] = waiter
        channel.pump(now)
        ticket = pushed.ok_value.ticket
        try:
            return await asyncio.wait_for(waiter, request.deadline - now)
        except TimeoutError:
            self._withdraw(channel, request, ticket)
            return outcomes.NotRun(outcomes.Reason.deadline)
        except asyncio.CancelledError:
            self._withdraw(channel, request, ticket)
            raise

    def _withdraw(
        self,
        channel: Channel,
        request: requests.RoutedRequest,
        ticket: fair_queue.Ticket,
    ) -> None:
        channel.waiting.pop(request.request_id, None)
        channel.running.pop(request.request_id, None)
        channel.queue = fair_queue.remove(channel.queue, ticket)
        channel.pump(time.monotonic())

    async def _send(
        self,
        channel: Channel,
        dispatch: Dispatch,
    ) -> outcomes.Outcome:
        request = dispatch.request
        began = time.monotonic()
        if request.deadline <= began:
            return outcomes.NotRun(outcomes.Reason.deadline)
        fence = self.authorise(dispatch.target.target, request.slot)
        if not fence:
            return outcomes.NotRun(outcomes.Reason.no_owner)
        channel.running[request.request_id] = request.slot
        outcome = await self.targets.run(
            dispatch.target.address,
            request,
            client.GrantHeaders(request.slot, fence),
            request.deadline - began,
        )
        ended = time.monotonic()
        event = _event(outcome, ended - began)
        channel.condition = condition.decide(
            channel.condition,
            event,
            ended,
            self.warming,
        )
        return outcome


def _event(outcome: outcomes.Outcome, seconds: float) -> condition.Event:
    if isinstance(outcome, outcomes.Answered):
        return condition.Answer(seconds)
    if outcome.reason is outcomes.Reason.target_refused:
        return condition.Shed()
    return condition.Loss()


def _refused(refusal: fair_queue.Refusal) -> outcomes.NotRun:
    if refusal is fair_queue.Refusal.expired:
        return outcomes.NotRun(outcomes.Reason.deadline)
    return outcomes.NotRun(outcomes.Reason.queue_full)
