"""Forwards requests between instances, as `forward_protocol` decides."""

import asyncio
import time
import typing
from collections import abc

from bilberryglade._delivery import forward_protocol, messages
from bilberryglade._log import follower
from bilberryglade._peers import network
from bilberryglade._state import state
from bilberryglade._values import outcomes, requests
from bilberryglade_schema import peer

#: Time within which a running leader accepts a forward; a sender that is not
#: answered in this time gives up.
ACCEPT_TIMEOUT_SECONDS: typing.Final = 0.5

Runner: typing.TypeAlias = abc.Callable[
    [requests.RoutedRequest],
    abc.Awaitable[outcomes.Outcome],
]


class PendingForward:
    """A forward that the sender waits for."""

    def __init__(
        self, forward: forward_protocol.SentForward, address: str
    ) -> None:
        """Starts without a reply from the leader at peer address `address`."""
        self.forward = forward
        self.address = address
        self.accepted: asyncio.Future[None] = asyncio.Future()
        self.answer: asyncio.Future[outcomes.Outcome] = asyncio.Future()


class Forwarder:
    """Sends forwards to peers, and runs the requests that peers forward."""

    def __init__(
        self,
        instance: str,
        reader: follower.Follower,
        peers: network.PeerNetwork,
        run_request: Runner,
    ) -> None:
        """Acts as `instance`; `run_request` runs what peers forward."""
        self.instance = instance
        self.reader = reader
        self.peers = peers
        self.run_request = run_request
        self.pending: dict[str, PendingForward] = {}
        self.received = forward_protocol.ReceivedForwards()
        self.awaiting_proceed: dict[str, requests.RoutedRequest] = {}
        self.running: dict[str, asyncio.Task[None]] = {}
        #: Ids of running requests that may be repeated, and thus cancelled.
        self.cancellable: set[str] = set()

    async def send(
        self,
        request: requests.RoutedRequest,
        target: str,
        member: state.Member,
    ) -> outcomes.Outcome:
        """Forwards `request` to `member`, the leader of `target`."""
        forward = forward_protocol.SentForward(
            request.repeatable,
            member.instance,
            member.joined_at,
        )
        pending = PendingForward(forward, member.peer_address)
        self.pending[request.request_id] = pending
        message = messages.forward_message(self.instance, request, target)
        try:
            if not self.peers.send(member.peer_address, message):
                return outcomes.NotRun(outcomes.Reason.peer_unreachable)
            return await self._wait_for_outcome(pending, request.deadline)
        finally:
            self.pending.pop(request.request_id, None)
            if not pending.answer.done():
                self._send_control('forward_cancel', pending.address, request)

    def observe(self, view: state.ClusterState) -> None:
        """Ends forwards whose leader has left or was replaced, as of `view`."""
        for pending in self.pending.values():
            member = view.members.get(pending.forward.leader)
            joined_at = member.joined_at if member else 0
            if joined_at == pending.forward.joined_at or pending.answer.done():
                continue
            pending.answer.set_result(
                forward_protocol.outcome_without_answer(pending.forward),
            )

    def handle_accepted(self, message: peer.ForwardAccepted) -> None:
        """Lets the leader run the request if the sender still waits for it."""
        request_id = message['request_id']
        pending = self.pending.get(request_id)
        if pending is None or pending.accepted.done():
            return
        if not pending.forward.repeatable:
            proceed = messages.control_message(
                'forward_proceed', self.instance, request_id
            )
            if not self.peers.send(pending.address, proceed):
                return
        pending.forward = pending.forward._replace(accepted=True)
        pending.accepted.set_result(None)

    def handle_answer(self, message: peer.Answer) -> None:
        """Passes an answer to the forward that waits for it, if any does."""
        pending = self.pending.get(message['request_id'])
        if pending is not None and not pending.answer.done():
            pending.answer.set_result(messages.outcome_from(message))

    def handle_forward(self, message: peer.Forward) -> None:
        """Accepts a forwarded request; runs it at once if it may be repeated."""
        request = messages.request_from(message)
        member = self.reader.view.members.get(message['sender'])
        if member is None:
            return
        now = time.monotonic()
        decision = forward_protocol.on_forward(
            forward_protocol.expire(self.received, now),
            request.request_id,
            request.repeatable,
            request.deadline,
            now,
        )
        self._set_received(decision.received)
        if decision.accepts:
            self._send_control('forward_accepted', member.peer_address, request)
        if decision.runs:
            self._start_run(request, message['sender'])
        elif decision.accepts:
            self.awaiting_proceed[request.request_id] = request

    def handle_proceed(self, message: peer.ForwardProceed) -> None:
        """Runs an accepted request after its sender let it proceed."""
        request_id = message['request_id']
        decision = forward_protocol.on_proceed(
            self.received, request_id, time.monotonic()
        )
        request = self.awaiting_proceed.get(request_id)
        self._set_received(decision.received)
        if decision.runs and request is not None:
            self._start_run(request, message['sender'])

    def handle_cancel(self, message: peer.ForwardCancel) -> None:
        """Drops a request that has not started, or cancels a repeatable run."""
        request_id = message['request_id']
        self._set_received(
            forward_protocol.on_cancel(self.received, request_id)
        )
        task = self.running.get(request_id)
        if task is not None and request_id in self.cancellable:
            task.cancel()

    async def _wait_for_outcome(
        self,
        pending: PendingForward,
        deadline: float,
    ) -> outcomes.Outcome:
        remaining_seconds = deadline - time.monotonic()
        replies: set[asyncio.Future[typing.Any]] = {
            pending.accepted,
            pending.answer,
        }
        await asyncio.wait(
            replies,
            timeout=min(remaining_seconds, ACCEPT_TIMEOUT_SECONDS),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if pending.accepted.done():
            remaining_seconds = max(deadline - time.monotonic(), 0)
            await asyncio.wait({pending.answer}, timeout=remaining_seconds)
        if pending.answer.done():
            return pending.answer.result()
        return forward_protocol.outcome_without_answer(pending.forward)

    def _start_run(self, request: requests.RoutedRequest, sender: str) -> None:
        request_id = request.request_id
        task = asyncio.create_task(self._run_and_answer(request, sender))
        self.running[request_id] = task
        task.add_done_callback(lambda _: self._forget(request_id))
        if request.repeatable:
            self.cancellable.add(request_id)

    def _forget(self, request_id: str) -> None:
        self.running.pop(request_id, None)
        self.cancellable.discard(request_id)

    async def _run_and_answer(
        self,
        request: requests.RoutedRequest,
        sender: str,
    ) -> None:
        outcome = await self.run_request(request)
        member = self.reader.view.members.get(sender)
        if member is None:
            return
        answer = messages.answer_message(
            self.instance,
            request.request_id,
            outcome,
        )
        self.peers.send(member.peer_address, answer)

    def _set_received(
        self, received: forward_protocol.ReceivedForwards
    ) -> None:
        """Stores `received`; drops requests that await `proceed` no longer."""
        self.received = received
        for request_id in list(self.awaiting_proceed):
            if request_id not in received.awaiting_proceed:
                self.awaiting_proceed.pop(request_id)

    def _send_control(
        self,
        kind: str,
        address: str,
        request: requests.RoutedRequest,
    ) -> None:
        message = messages.control_message(
            kind, self.instance, request.request_id
        )
        self.peers.send(address, message)
