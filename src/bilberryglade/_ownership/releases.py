"""Asks earlier leaders to release what they led, and answers when asked."""

import asyncio
import typing

from bilberryglade._membership import authority
from bilberryglade._ownership import activation, holder, holdings, leases
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
ASK_SECONDS: typing.Final = 0.1


class Releases:
    """The messages by which roles and slots change hands without a wait."""

    def __init__(
        self,
        keeper: holder.Holder,
        granter: leases.Leases,
        peers: network.PeerNetwork,
    ) -> None:
        """Speaks for the process of `keeper`."""
        self.keeper = keeper
        self.granter = granter
        self.peers = peers

    async def ask(self) -> None:
        """Asks again and again for what is missing, until cancelled."""
        while True:
            self.ask_once()
            await self._wait_for_news()

    def ask_once(self) -> None:
        """Asks each process that may still act for what is missing."""
        view = self.keeper.view
        for instance, wants in self.keeper.holdings.wants.items():
            address = address_of(view, instance)
            if instance != self.keeper.beats.instance and address:
                self.peers.send(address, self._ask_message(wants))

    def answer(self, message: peer.ReleaseAsk) -> None:
        """Answers with what this process has released of what is asked."""
        view = self.keeper.view
        address = address_of(view, message['instance'])
        joined_at = own_joined_at(self.keeper.facts())
        if not address or not joined_at or view.offset < message['offset']:
            return
        answer: peer.ReleaseAnswer = {
            'kind': 'release_answer',
            'version': handlers.VERSION,
            'instance': self.keeper.beats.instance,
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

    def take_answer(self, message: peer.ReleaseAnswer) -> None:
        """Keeps what a process said it released."""
        subjects = [
            activation.slot_subject(
                activation.Slot(row['service'], row['slot']),
                row['fence'],
            )
            for row in message['slots']
        ]
        self.keeper.take_release(
            message['joined_at'],
            message['offset'],
            (*message['targets'], *subjects),
        )
        self.keeper.update()

    def _ask_message(self, wants: holdings.Wants) -> peer.ReleaseAsk:
        return {
            'kind': 'release_ask',
            'version': handlers.VERSION,
            'instance': self.keeper.beats.instance,
            'offset': self.keeper.view.ownership_changed_at,
            'targets': sorted(wants.targets),
            'slots': [
                {'service': slot.service, 'slot': slot.number, 'fence': fence}
                for slot, fence in sorted(wants.slots)
            ],
        }

    def _has_left_target(self, target: str) -> bool:
        view = self.keeper.view
        if target in self.keeper.holdings.led:
            return False
        if roles.leader_of_target(view, target) == self.keeper.beats.instance:
            return False
        return not self.granter.running(target)

    def _has_left_slot(self, row: peer.SlotFence) -> bool:
        """Tells whether this process stopped what came before a fence."""
        view = self.keeper.view
        slot = activation.Slot(row['service'], row['slot'])
        service = view.services.get(slot.service, state.ServiceSlots())
        owner = service.owners.get(slot.number)
        if owner is None or owner.fence != row['fence']:
            return False
        target = owner.previous_target
        if target in self.keeper.holdings.led:
            return self._has_vacated(slot, owner)
        return slot.number not in self.granter.running(target)

    def _has_vacated(
        self,
        slot: activation.Slot,
        owner: state.SlotOwner,
    ) -> bool:
        situation = self.keeper.situation()
        if self.keeper.has_released(slot, owner.fence):
            return True
        if slot in self.keeper.holdings.leaving:
            return False
        group = activation.group_of_target(
            situation.facts.view,
            owner.previous_target,
        )
        ended = situation.facts.view.ended.get(group, 0)
        if ended < owner.previous_fence:
            return False
        return activation.previous_has_lapsed(situation, owner.previous_target)

    async def _wait_for_news(self) -> None:
        advanced = self.keeper.reader.advanced
        try:
            await asyncio.wait_for(advanced.wait(), ASK_SECONDS)
        except TimeoutError:
            return


def address_of(view: state.ClusterState, instance: str) -> str:
    """Returns the peer address of a present or recent member, or ''."""
    member = view.members.get(instance)
    if member is not None:
        return member.peer_address
    for epoch in reversed(view.epochs):
        past = epoch.members.get(instance)
        if past is not None:
            return past.peer_address
    return ''


def own_joined_at(facts: authority.Facts) -> int:
    """Returns the join of this process, also after it has left; else 0."""
    member = authority.own_member(facts)
    if member is not None:
        return member.joined_at
    for epoch in reversed(facts.view.epochs):
        past = epoch.members.get(facts.instance)
        if past is not None and past.boot == facts.boot:
            return past.joined_at
    return 0
