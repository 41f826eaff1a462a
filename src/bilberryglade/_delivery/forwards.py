"""Forwards between instances: performs what `handover` decides."""

import asyncio
import time
import typing
from collections import abc

from bilberryglade._delivery import handover, messages
from bilberryglade._log import follower
from bilberryglade._peers import network
from bilberryglade._state import state
from bilberryglade._values import outcomes, requests
from bilberryglade_schema import peer

#: Time within which a living leader accepts a forward.
ACCEPT_SECONDS: typing.Final = 0.5

Runner: typing.TypeAlias = abc.Callable[
    [requests.RoutedRequest],
    abc.Awaitable[outcomes.Outcome],
]


class Pending:
    """A forward that waits for its answer."""

    def __init__(self, offer: handover.Offer, address: str) -> None:
        """Waits on the leader at `address`."""
        self.offer = offer
        self.address = address
        self.accepted: asyncio.Future[None] = asyncio.Future()
        self.answer: asyncio.Future[outcomes.Outcome] = asyncio.Future()


class Forwards:
    """Both ends of the forwards of one instance."""

    def __init__(
        self,
        instance: str,
        reader: follower.Follower,
        peers: network.PeerNetwork,
        run: Runner,
    ) -> None:
        """Acts as `instance`; `run` runs what peers forward."""
        self.instance = instance
        self.reader = reader
        self.peers = peers
        self.run = run
        self.pending: dict[str, Pending] = {}
        self.desk = handover.Desk()
        self.offered: dict[str, requests.RoutedRequest] = {}
        self.running: dict[str, asyncio.Task[None]] = {}
        #: Ids of running requests that may be repeated.
        self.cancellable: set[str] = set()

    async def send(
        self,
        request: requests.RoutedRequest,
        target: str,
        member: state.Member,
    ) -> outcomes.Outcome:
        """Forwards `request` to the leader `member` of `target`."""
        offer = handover.Offer(
            request.repeatable,
            member.instance,
            member.joined_at,
        )
        pending = Pending(offer, member.peer_address)
        self.pending[request.request_id] = pending
        message = messages.forward_of(self.instance, request, target)
        try:
            if not self.peers.send(member.peer_address, message):
                return outcomes.NotRun(outcomes.Reason.peer_unreachable)
            return await self._wait(pending, request.deadline)
        finally:
            self.pending.pop(request.request_id, None)
            if not pending.answer.done():
                self._tell('forward_cancel', pending.address, request)

    def observe(self, view: state.ClusterState) -> None:
        """Gives up forwards whose leader was replaced."""
        for pending in self.pending.values():
            member = view.members.get(pending.offer.leader)
            joined_at = member.joined_at if member else 0
            if joined_at == pending.offer.joined_at or pending.answer.done():
                continue
            pending.answer.set_result(
                handover.outcome_of_silence(pending.offer),
            )

    def take_accepted(self, message: peer.ForwardAccepted) -> None:
        """Lets the leader proceed, if the request still waits."""
        request_id = message['request_id']
        pending = self.pending.get(request_id)
        if pending is None or pending.accepted.done():
            return
        if not pending.offer.repeatable:
            proceed = messages.step_of(
                'forward_proceed', self.instance, request_id
            )
            if not self.peers.send(pending.address, proceed):
                return
        pending.offer = pending.offer._replace(accepted=True)
        pending.accepted.set_result(None)

    def take_answer(self, message: peer.Answer) -> None:
        """Hands an answer to the request that waits for it, if any does."""
        pending = self.pending.get(message['request_id'])
        if pending is not None and not pending.answer.done():
            pending.answer.set_result(messages.outcome_of(message))

    def take_forward(self, message: peer.Forward) -> None:
        """Accepts a request that a peer forwarded."""
        request = messages.request_of(message)
        member = self.reader.view.members.get(message['sender'])
        if member is None:
            return
        now = time.monotonic()
        verdict = handover.on_forward(
            handover.expire(self.desk, now),
            request.request_id,
            request.repeatable,
            request.deadline,
            now,
        )
        self._settle(verdict.desk)
        if verdict.accepts:
            self._tell('forward_accepted', member.peer_address, request)
        if verdict.runs:
            self._start(request, message['sender'])
        elif verdict.accepts:
            self.offered[request.request_id] = request

    def take_proceed(self, message: peer.ForwardProceed) -> None:
        """Runs an offered request."""
        request_id = message['request_id']
        verdict = handover.on_proceed(self.desk, request_id, time.monotonic())
        request = self.offered.get(request_id)
        self._settle(verdict.desk)
        if verdict.runs and request is not None:
            self._start(request, message['sender'])

    def take_cancel(self, message: peer.ForwardCancel) -> None:
        """Ends what may be ended: offers, and work that may be repeated."""
        request_id = message['request_id']
        self._settle(handover.on_cancel(self.desk, request_id))
        task = self.running.get(request_id)
        if task is not None and request_id in self.cancellable:
            task.cancel()

    async def _wait(
        self,
        pending: Pending,
        deadline: float,
    ) -> outcomes.Outcome:
        left = deadline - time.monotonic()
        signs: set[asyncio.Future[typing.Any]] = {
            pending.accepted,
            pending.answer,
        }
        await asyncio.wait(
            signs,
            timeout=min(left, ACCEPT_SECONDS),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if pending.accepted.done():
            left = max(deadline - time.monotonic(), 0)
            await asyncio.wait({pending.answer}, timeout=left)
        if pending.answer.done():
            return pending.answer.result()
        return handover.outcome_of_silence(pending.offer)

    def _start(self, request: requests.RoutedRequest, sender: str) -> None:
        request_id = request.request_id
        task = asyncio.create_task(self._answer(request, sender))
        self.running[request_id] = task
        task.add_done_callback(lambda _: self._forget(request_id))
        if request.repeatable:
            self.cancellable.add(request_id)

    def _forget(self, request_id: str) -> None:
        self.running.pop(request_id, None)
        self.cancellable.discard(request_id)

    async def _answer(
        self,
        request: requests.RoutedRequest,
        sender: str,
    ) -> None:
        outcome = await self.run(request)
        member = self.reader.view.members.get(sender)
        if member is None:
            return
        answer = messages.answer_of(
            self.instance,
            request.request_id,
            outcome,
        )
        self.peers.send(member.peer_address, answer)

    def _settle(self, desk: handover.Desk) -> None:
        self.desk = desk
        for request_id in list(self.offered):
            if request_id not in desk.offered:
                self.offered.pop(request_id)

    def _tell(
        self,
        kind: str,
        address: str,
        request: requests.RoutedRequest,
    ) -> None:
        step = messages.step_of(kind, self.instance, request.request_id)
        self.peers.send(address, step)
