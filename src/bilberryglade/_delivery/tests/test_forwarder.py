"""Tests forwards between two instances over a network that loses messages."""

import asyncio
import time
import typing
import unittest
from unittest import mock

from bilberryglade._delivery import forwarder, peer_handlers
from bilberryglade._peers import handlers
from bilberryglade._state import state
from bilberryglade._targets.tests import raw_target
from bilberryglade._values import outcomes, requests

DONE = outcomes.Answered(200, (), b'done')
ENTRY, LEADER = 'entry', 'leader'
DUPLICATED_KINDS = ('forward', 'forward_accepted', 'forward_proceed', 'answer')
Message: typing.TypeAlias = dict[str, typing.Any]


class FakeNetwork:
    """Delivers each message as often as `copies` states for its kind."""

    def __init__(self) -> None:
        """Starts without instances; each message is delivered once."""
        self.nodes: dict[str, mock.Mock] = {}
        self.copies: dict[str, int] = {}
        self.held: list[tuple[str, Message]] = []

    def send(self, address: str, message: Message) -> bool:
        """Delivers `message` once or several times, or holds it back."""
        copies = self.copies.get(message['kind'], 1)
        if not copies:
            self.held.append((address, message))
        for _ in range(copies):
            asyncio.get_running_loop().call_soon(self.deliver, address, message)
        return True

    def deliver(self, address: str, message: Message) -> None:
        """Passes a message to the handler of the instance at `address`."""
        handler = handlers.handlers.entries[message['kind']]
        handler.handle(self.nodes[address], message)


class ForwarderTest(unittest.IsolatedAsyncioTestCase):
    """Forwards from one entry instance to one leader."""

    def setUp(self) -> None:
        """Connects the entry instance and the leader."""
        self.assertTrue(peer_handlers.HasDelivery)
        self.network = FakeNetwork()
        self.ran: list[str] = []
        self.run_seconds: float = 0
        members = {name: _member(name) for name in (ENTRY, LEADER)}
        view = state.ClusterState()
        view = view._replace(members=view.members.update(members))
        reader = mock.Mock(view=view)
        for name in members:
            instance_forwarder = forwarder.Forwarder(
                name,
                reader,
                self.network,  # type: ignore[arg-type]
                self.run_request,
            )
            node = mock.Mock()
            node.delivery.forwarder = instance_forwarder
            self.network.nodes[name] = node
        self.entry = self.forwarder_of(ENTRY)

    def forwarder_of(self, name: str) -> forwarder.Forwarder:
        """Returns the forwarder of an instance."""
        delivery = self.network.nodes[name].delivery
        return typing.cast(forwarder.Forwarder, delivery.forwarder)

    async def run_request(
        self, request: requests.RoutedRequest
    ) -> outcomes.Outcome:
        """Records a forwarded request and answers after `run_seconds`."""
        self.ran.append(request.request_id)
        await asyncio.sleep(self.run_seconds)
        return DONE

    async def send(
        self,
        repeatable: bool = False,
        seconds: float = 0.1,
    ) -> outcomes.Outcome:
        """Forwards one request from the entry instance to the leader."""
        request = raw_target.request(repeatable=repeatable)
        deadline = time.monotonic() + seconds
        outcome = await self.entry.send(
            request._replace(deadline=deadline),
            'claims-0',
            _member(LEADER),
        )
        await asyncio.sleep(0.01)
        return outcome

    async def test_duplicated_messages_run_once(self) -> None:
        """A request runs once though each of its messages arrives twice."""
        for repeatable in (True, False):
            self.setUp()
            self.network.copies = dict.fromkeys(DUPLICATED_KINDS, 2)
            self.assertEqual(await self.send(repeatable), DONE)
            self.assertEqual(len(self.ran), 1)

    async def test_lost_messages(self) -> None:
        """The outcome is right whichever message of a forward is lost."""
        refused = outcomes.NotRun(outcomes.Reason.peer_unreachable)
        lost = outcomes.Unknown(outcomes.Reason.answer_lost)
        cases = (
            ('forward', False, refused, 0),
            ('forward', True, lost, 0),
            ('forward_accepted', False, refused, 0),
            ('forward_proceed', False, lost, 0),
            ('answer', False, lost, 1),
            ('answer', True, lost, 1),
        )
        for kind, repeatable, expected, runs in cases:
            with self.subTest(kind, repeatable=repeatable):
                self.setUp()
                self.network.copies[kind] = 0
                self.assertEqual(await self.send(repeatable), expected)
                self.assertEqual(len(self.ran), runs)

    async def test_late_forward_does_not_run(self) -> None:
        """A forward that arrives after its sender gave up does not run."""
        self.network.copies = {'forward': 0, 'forward_cancel': 0}
        await self.send()
        for address, message in self.network.held:
            if message['kind'] == 'forward':
                self.network.deliver(address, message)
        await asyncio.sleep(0.05)
        self.assertEqual(self.ran, [])

    async def test_late_proceed_does_not_run(self) -> None:
        """A `forward_proceed` after the request's deadline has no effect."""
        self.network.copies = {'forward_proceed': 0, 'forward_cancel': 0}
        await self.send(seconds=0.05)
        await asyncio.sleep(0.05)
        for address, message in self.network.held:
            self.network.deliver(address, message)
        await asyncio.sleep(0.01)
        self.assertEqual(self.ran, [])

    async def test_cancelled_caller(self) -> None:
        """A cancelled caller ends a run only if it may be repeated."""
        for repeatable, running in ((True, 0), (False, 1)):
            self.setUp()
            self.run_seconds = 1
            task = asyncio.create_task(self.send(repeatable, seconds=2))
            await asyncio.sleep(0.05)
            self.assertEqual(len(self.ran), 1)
            task.cancel()
            await asyncio.sleep(0.05)
            leader = self.forwarder_of(LEADER)
            self.assertEqual(len(leader.running), running)

    async def test_replaced_leader(self) -> None:
        """A forward to a leader that was replaced ends at once."""
        self.network.copies = {'answer': 0}
        task = asyncio.create_task(self.send(seconds=5))
        await asyncio.sleep(0.05)
        self.entry.observe(state.ClusterState())
        async with asyncio.timeout(0.5):
            self.assertEqual(
                await task,
                outcomes.Unknown(outcomes.Reason.answer_lost),
            )


def _member(name: str) -> state.Member:
    return state.Member(name, 'boot', 'north', name, '', 1)
