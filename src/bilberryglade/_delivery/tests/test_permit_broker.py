"""Tests of the permit broker: choice, answers and failures of dispatchers."""

import asyncio
import typing
import unittest
from unittest import mock

from bilberryglade._capacity import learning
from bilberryglade._delivery import permit_broker, permits, send_results
from bilberryglade._membership import fleet
from bilberryglade._targets import choosing, directory
from bilberryglade._targets.tests import samples
from bilberryglade._values import outcomes
from bilberryglade_schema import fleet as messages

DEMAND: typing.Final = choosing.Demand('a', 0.3, 1.0, frozenset())
TARGET: typing.Final = samples.target()


class FakeNetwork:
    """Delivers messages between instances, or drops them all."""

    def __init__(self) -> None:
        """Starts without instances."""
        #: Permit brokers by the address of their instance.
        self.brokers: dict[str, permit_broker.PermitBroker] = {}
        self.is_partitioned = False
        #: Kinds of all messages that were sent, dropped ones included.
        self.sent: list[str] = []

    def send(self, address: str, message: typing.Any) -> bool:
        """Delivers a message in the event loop's next iteration."""
        self.sent.append(message['kind'])
        if not self.is_partitioned:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.deliver, address, message)
        return True

    def deliver(self, address: str, message: typing.Any) -> None:
        """Passes a message to its receiver's handler."""
        receiver = self.brokers[address]
        if message['kind'] == 'ask':
            receiver.handle_ask(message)
        elif message['kind'] == 'permit':
            receiver.handle_answer(message)
        else:
            receiver.handle_end(message)


class PermitBrokerTests(unittest.IsolatedAsyncioTestCase):
    """Three instances and one target in the failure domain of the first."""

    def setUp(self) -> None:
        """Creates the instances; each has all as members, and the target."""
        self.network = FakeNetwork()
        fleet_members = [
            fleet.Member(name, name, name, domain)
            for name, domain in (('e1', 'a'), ('e2', 'b'), ('e3', 'b'))
        ]
        for own_member in fleet_members:
            members = fleet.Fleet(own_member, self.network)  # type: ignore[arg-type]
            for member in fleet_members:
                members.take(member)
            self.network.brokers[own_member.name] = permit_broker.PermitBroker(
                members, permits.PermitLedger(_only_target, _no_spacing)
            )

    def outstanding(self, name: str) -> int:
        """Returns the requests at the target in an instance's ledger."""
        ledger = self.network.brokers[name].ledger
        return sum(
            target_standing.outstanding
            for target_standing in ledger.standings.values()
        )

    async def request_permit(self, name: str) -> permit_broker.PermitResult:
        """Requests a permit at the instance `name`."""
        return await self.network.brokers[name].request_permit(
            's', TARGET, DEMAND
        )

    async def test_dispatcher_in_domain_counts_for_all(self) -> None:
        """The instance in the target's failure domain grants all permits."""
        for name in ('e1', 'e2', 'e3'):
            answer = await self.request_permit(name)
            assert isinstance(answer, permit_broker.GrantedPermit)
            self.assertEqual(answer.dispatcher, 'e1')
        self.assertEqual(self.outstanding('e1'), 3)
        self.assertEqual(self.outstanding('e2'), 0)

    async def test_ended_request_is_not_counted(self) -> None:
        """The dispatcher removes a request from its count when it has ended."""
        answer = await self.request_permit('e2')
        assert isinstance(answer, permit_broker.GrantedPermit)
        finished = send_results.FinishedSend(send_results.SendResult.good, 0.1)
        self.network.brokers['e2'].end_permit(answer, finished)
        await asyncio.sleep(0.01)
        self.assertEqual(self.outstanding('e1'), 0)

    async def test_refusal_when_target_is_full(self) -> None:
        """A full target's refusal has a time after which to retry."""
        answers = [await self.request_permit('e2') for _ in range(20)]
        refusal = answers[-1]
        assert isinstance(refusal, choosing.Refusal)
        self.assertGreater(refusal.retry_seconds, 0)

    async def test_silent_dispatcher_is_skipped(self) -> None:
        """After one missing answer the next member by rank is asked."""
        self.network.is_partitioned = True
        self.assertIsNone(await self.request_permit('e2'))
        self.network.is_partitioned = False
        answer = await self.request_permit('e2')
        assert isinstance(answer, permit_broker.GrantedPermit)
        self.assertNotEqual(answer.dispatcher, 'e1')

    async def test_next_dispatcher_is_asked_at_once(self) -> None:
        """Under the learnt policy no request is sent past a lost dispatcher.

        The target would get more than it can queue if every instance sent by
        its own view until it skips the dispatcher.
        """
        broker = self.network.brokers['e2']
        broker.ledger.capacity = learning.LearntPolicy()
        self.network.brokers.pop('e1')
        with mock.patch.object(self.network, 'deliver', self.deliver_if_there):
            answer = await self.request_permit('e2')
        assert isinstance(answer, permit_broker.GrantedPermit)
        self.assertNotEqual(answer.dispatcher, 'e1')

    def deliver_if_there(self, address: str, message: typing.Any) -> None:
        """Delivers a message unless its receiver is lost."""
        if address in self.network.brokers:
            FakeNetwork.deliver(self.network, address, message)

    async def test_late_permit_is_returned(self) -> None:
        """A permit that comes after the timeout is ended at its dispatcher."""
        answer: messages.PermitAnswer = {
            'kind': 'permit',
            'sender': 'e1',
            'number': 7,
            'target': TARGET.name,
            'born': TARGET.born,
        }
        self.network.brokers['e2'].handle_answer(answer)
        self.assertEqual(self.network.sent, ['end'])

    async def test_urgency_is_lost_on_the_way(self) -> None:
        """The dispatcher decides by it, and tells why and when it refuses."""
        refusal = choosing.Refusal(
            outcomes.Reason.queue_full, 0.4, cause='share', is_drawn=True
        )

        asked_gate = mock.Mock()
        asked_gate.decide.return_value = refusal
        dispatcher = self.network.brokers['e1']
        dispatcher.ledger.gate = asked_gate
        told = DEMAND._replace(urgency=3, is_retry=True, caller_left=2.5)
        answer = await self.network.brokers['e2'].request_permit(
            's', TARGET, told
        )
        self.assertEqual(answer, refusal)
        await self.request_permit('e2')
        seen = [call.args[2] for call in asked_gate.decide.call_args_list]
        self.assertEqual(seen[0]._replace(failure_domain='a'), told)
        self.assertIsNone(seen[1].urgency)
        self.assertEqual(seen[1].caller_left, 0)

    async def test_leaving_dispatcher_is_not_asked(self) -> None:
        """A member that is leaving is not chosen as a dispatcher."""
        broker = self.network.brokers['e2']
        broker.members.leave('e1')
        answer = await self.request_permit('e2')
        assert isinstance(answer, permit_broker.GrantedPermit)
        self.assertNotEqual(answer.dispatcher, 'e1')


class RankTests(unittest.TestCase):
    """The ranking of members over many targets."""

    def test_targets_spread_over_dispatchers(self) -> None:
        """Targets are spread about evenly over the dispatchers."""
        own_member = fleet.Member('e0', 'x', 'x', 'a')
        members = fleet.Fleet(own_member, None)  # type: ignore[arg-type]
        for number in range(1, 4):
            members.take(fleet.Member(f'e{number}', 'x', 'x', 'a'))
        dispatchers = [
            permit_broker.rank_members(f's/t{number}', 'a', members)[0]
            for number in range(200)
        ]
        for name in members.members:
            with self.subTest(name=name):
                self.assertGreater(dispatchers.count(name), 30)

    def test_weak_instance_does_not_give_the_permits_of_a_whole_service(
        self,
    ) -> None:
        """One with ample strength does; a target's are spread over all."""
        strong = {'a1', 'c0'}
        own = fleet.Member('a0', 'boot', '127.0.0.1:1', 'a', processor=0.4)
        members = fleet.Fleet(own, mock.Mock())
        for name in ('a1', 'a2', 'b0', 'b1', 'b2', 'c0', 'c1', 'c2'):
            processor = 2.0 if name in strong else 0.4
            members.take(
                fleet.Member(name, 'boot', name, name[0], processor=processor)
            )
        first = {
            permit_broker.rank_members(f's{number}/', '', members)[0]
            for number in range(40)
        }
        self.assertEqual(first, strong)
        near = {
            permit_broker.rank_members(f's/t{number}', 'b', members)[0]
            for number in range(40)
        }
        self.assertEqual(near, {'b0', 'b1', 'b2'})


def _only_target(_service: str, _owner: str) -> list[directory.Target]:
    return [TARGET]


def _no_spacing(_service: str) -> float:
    return 0
