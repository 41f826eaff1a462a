"""Brings a routed request to the leader of its key's owner, and back."""

import asyncio
import time

from bilberryglade._delivery import dispatcher, messages
from bilberryglade._log import follower
from bilberryglade._ownership import leases
from bilberryglade._peers import network
from bilberryglade._routing import roles
from bilberryglade._state import state
from bilberryglade._values import outcomes, requests
from bilberryglade_schema import peer


class Delivery:
    """Delivers requests, its own callers' and those that peers forward."""

    def __init__(
        self,
        instance: str,
        reader: follower.Follower,
        granter: leases.Leases,
        local: dispatcher.Dispatcher,
        peers: network.PeerNetwork,
    ) -> None:
        """Acts as `instance`."""
        self.instance = instance
        self.reader = reader
        self.granter = granter
        self.local = local
        self.peers = peers
        self.pending: dict[str, asyncio.Future[outcomes.Outcome]] = {}
        self.running: set[asyncio.Task[None]] = set()

    async def deliver(
        self,
        request: requests.RoutedRequest,
    ) -> outcomes.Outcome:
        """Runs `request` at the owner of its slot, here or through a peer."""
        target = owner_of(self.reader.view, request)
        if target is None:
            return outcomes.NotRun(outcomes.Reason.no_owner)
        leader = roles.leader_of_target(self.reader.view, target.target)
        if leader == self.instance:
            return await self.dispatch(request)
        member = self.reader.view.members.get(leader)
        if member is None:
            return outcomes.NotRun(outcomes.Reason.not_leader)
        return await self._forward(request, target.target, member.peer_address)

    async def dispatch(
        self,
        request: requests.RoutedRequest,
    ) -> outcomes.Outcome:
        """Runs `request` at its target, which this instance must lead."""
        view = self.reader.view
        target = owner_of(view, request)
        if target is None:
            return outcomes.NotRun(outcomes.Reason.no_owner)
        if roles.leader_of_target(view, target.target) != self.instance:
            return outcomes.NotRun(outcomes.Reason.not_leader)
        if not self.granter.may_dispatch(target.target, request.slot):
            return outcomes.NotRun(outcomes.Reason.no_owner)
        return await self.local.run(dispatcher.Dispatch(request, target))

    def take_forward(self, message: peer.Forward) -> None:
        """Starts to run a request that a peer forwarded."""
        task = asyncio.create_task(self._answer(message))
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    def take_answer(self, message: peer.Answer) -> None:
        """Hands an answer to the request that waits for it, if any does."""
        waiting = self.pending.get(message['request_id'])
        if waiting is not None and not waiting.done():
            waiting.set_result(messages.outcome_of(message))

    async def _forward(
        self,
        request: requests.RoutedRequest,
        target: str,
        address: str,
    ) -> outcomes.Outcome:
        message = messages.forward_of(self.instance, request, target)
        waiting: asyncio.Future[outcomes.Outcome] = asyncio.Future()
        self.pending[request.request_id] = waiting
        try:
            if not self.peers.send(address, message):
                return outcomes.NotRun(outcomes.Reason.peer_unreachable)
            return await asyncio.wait_for(
                waiting,
                request.deadline - time.monotonic(),
            )
        except TimeoutError:
            return outcomes.Unknown(outcomes.Reason.answer_lost)
        finally:
            self.pending.pop(request.request_id, None)

    async def _answer(self, message: peer.Forward) -> None:
        request = messages.request_of(message)
        outcome = await self.dispatch(request)
        member = self.reader.view.members.get(message['sender'])
        if member is None:
            return
        answer = messages.answer_of(
            self.instance,
            request.request_id,
            outcome,
        )
        self.peers.send(member.peer_address, answer)


def owner_of(
    view: state.ClusterState,
    request: requests.RoutedRequest,
) -> state.TargetState | None:
    """Returns the target that owns the request's slot."""
    service = view.services.get(request.service)
    if service is None:
        return None
    owner = service.owners.get(request.slot)
    if owner is None:
        return None
    return view.targets.get(owner.target)
