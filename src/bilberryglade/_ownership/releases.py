"""Asks earlier leaders to release targets and slots, and answers such asks."""

import asyncio
import typing

from bilberryglade._membership import authority
from bilberryglade._ownership import (
    activation,
    holdings,
    holdings_tracker,
    leases,
)
from bilberryglade._peers import handlers, network
from bilberryglade._routing import roles
from bilberryglade._state import state
from bilberryglade._values import steps
from bilberryglade_schema import peer

ASK: typing.Final = steps.declare(
    'ownership.ask_release',
    steps.StepKind.message,
)
ANSWER: typing.Final = steps.declare(
    'ownership.answer_release',
    steps.StepKind.message,
)
ASK_INTERVAL_SECONDS: typing.Final = 0.1


class ReleaseExchange:
    """Sends and answers release messages.

    With them, targets and slots change hands before the authority and the
    grants of their earlier leaders expire.
    """

    def __init__(
        self,
        tracker: holdings_tracker.HoldingsTracker,
        granter: leases.LeaseGranter,
        peers: network.PeerNetwork,
    ) -> None:
        """Sends messages on behalf of the process that `tracker` tracks."""
        self.tracker = tracker
        self.granter = granter
        self.peers = peers

    async def run(self) -> None:
        """Asks for awaited releases repeatedly, until cancelled."""
        while True:
            self.ask_earlier_leaders()
            await self._wait_for_state_change()

    def ask_earlier_leaders(self) -> None:
        """Asks each instance that may still act for the awaited releases."""
        view = self.tracker.view
        for instance, awaited in self.tracker.holdings.awaited.items():
            address = peer_address_of(view, instance)
            if instance != self.tracker.heartbeats.instance and address:
                self.peers.send(address, self._ask_message(awaited))

    def handle_ask(self, message: peer.ReleaseAsk) -> None:
        """Answers with those of the requested releases that are complete.

        There is no answer while this process has not folded the state that
        the sender acts on.
        """
        view = self.tracker.view
        address = peer_address_of(view, message['instance'])
        joined_at = own_joined_at(self.tracker.facts())
        if not address or not joined_at or view.offset < message['offset']:
            return
        answer: peer.ReleaseAnswer = {
            'kind': 'release_answer',
            'version': handlers.VERSION,
            'instance': self.tracker.heartbeats.instance,
            'joined_at': joined_at,
            'offset': view.offset,
            'targets': [
                target
                for target in message['targets']
                if self._has_left_target(target)
            ],
            'slots': [
                row for row in message['slots'] if self._has_left_slot(row)
            ],
        }
        if answer['targets'] or answer['slots']:
            self.peers.send(address, answer)

    def handle_answer(self, message: peer.ReleaseAnswer) -> None:
        """Records the releases that another process reports."""
        subjects = [
            activation.slot_subject(
                activation.Slot(row['service'], row['slot']),
                row['fence'],
            )
            for row in message['slots']
        ]
        self.tracker.record_release(
            message['joined_at'],
            message['offset'],
            (*message['targets'], *subjects),
        )
        self.tracker.update()

    def _ask_message(
        self, awaited: holdings.AwaitedReleases
    ) -> peer.ReleaseAsk:
        return {
            'kind': 'release_ask',
            'version': handlers.VERSION,
            'instance': self.tracker.heartbeats.instance,
            'offset': self.tracker.view.ownership_changed_at,
            'targets': sorted(awaited.targets),
            'slots': [
                {'service': slot.service, 'slot': slot.number, 'fence': fence}
                for slot, fence in sorted(awaited.slots)
            ],
        }

    def _has_left_target(self, target: str) -> bool:
        """Returns whether this process has stopped acting for `target`."""
        view = self.tracker.view
        if target in self.tracker.holdings.led:
            return False
        if (
            roles.leader_of_target(view, target)
            == self.tracker.heartbeats.instance
        ):
            return False
        return not self.granter.running_slots(target)

    def _has_left_slot(self, row: peer.SlotFence) -> bool:
        """Returns whether this process stopped work under older fences."""
        view = self.tracker.view
        slot = activation.Slot(row['service'], row['slot'])
        service = view.services.get(slot.service, state.ServiceSlots())
        owner = service.owners.get(slot.number)
        if owner is None or owner.fence != row['fence']:
            return False
        target = owner.previous_target
        if target in self.tracker.holdings.led:
            return self._has_vacated(slot, owner)
        return slot.number not in self.granter.running_slots(target)

    def _has_vacated(
        self,
        slot: activation.Slot,
        owner: state.SlotOwner,
    ) -> bool:
        """Returns whether a slot can no longer run at a target led here.

        Without a release of its own, this process relies on the end of the
        authority and grants of earlier leaders.
        """
        inputs = self.tracker.inputs()
        if self.tracker.has_released(slot, owner.fence):
            return True
        if slot in self.tracker.holdings.leaving:
            return False
        group = activation.group_of_target(
            inputs.facts.view,
            owner.previous_target,
        )
        ended_offset = inputs.facts.view.ended.get(group, 0)
        if ended_offset < owner.previous_fence:
            return False
        return activation.earlier_grants_have_expired(
            inputs, owner.previous_target
        )

    async def _wait_for_state_change(self) -> None:
        advanced = self.tracker.reader.advanced
        try:
            await asyncio.wait_for(advanced.wait(), ASK_INTERVAL_SECONDS)
        except TimeoutError:
            return


def peer_address_of(view: state.ClusterState, instance: str) -> str:
    """Returns the peer address of a current or recent member, or ''."""
    member = view.members.get(instance)
    if member is not None:
        return member.peer_address
    for epoch in reversed(view.epochs):
        earlier_member = epoch.members.get(instance)
        if earlier_member is not None:
            return earlier_member.peer_address
    return ''


def own_joined_at(facts: authority.Facts) -> int:
    """Returns the offset at which this process joined, or 0.

    The offset is also found when the process has recently left.
    """
    member = authority.own_member(facts)
    if member is not None:
        return member.joined_at
    for epoch in reversed(facts.view.epochs):
        earlier_member = epoch.members.get(facts.instance)
        if earlier_member is not None and earlier_member.boot == facts.boot:
            return earlier_member.joined_at
    return 0
