"""Forwards between two instances whose messages the test carries."""

import asyncio
import time
import typing
import unittest
from unittest import mock

from bilberryglade._delivery import forwards, peer_handlers
from bilberryglade._peers import handlers
from bilberryglade._state import state
from bilberryglade._targets.tests import raw_target
from bilberryglade._values import outcomes, requests

DONE = outcomes.Answered(200, (), b'done')
ENTRY, LEADER = 'entry', 'leader'
COPIED = ('forward', 'forward_accepted', 'forward_proceed', 'answer')
Message: typing.TypeAlias = dict[str, typing.Any]


class Wire:
    """Delivers each message as often as `copies` says for its kind."""

    def __init__(self) -> None:
        """Starts without instances."""
        self.nodes: dict[str, mock.Mock] = {}
        self.copies: dict[str, int] = {}
        self.held: list[tuple[str, Message]] = []

    def send(self, address: str, message: Message) -> bool:
        """Delivers, copies or holds a message."""
        copies = self.copies.get(message['kind'], 1)
        if not copies:
            self.held.append((address, message))
        for _ in range(copies):
            asyncio.get_running_loop().call_soon(self.hand, address, message)
        return True

    def hand(self, address: str, message: Message) -> None:
        """Gives a message to the instance at `address`."""
        handler = handlers.handlers.entries[message['kind']]
        handler.handle(self.nodes[address], message)


class ForwardsTest(unittest.IsolatedAsyncioTestCase):
    """One entry, one leader."""

    def setUp(self) -> None:
        """Joins both instances by one wire."""
        self.assertTrue(peer_handlers.HasDelivery)
        self.wire = Wire()
        self.ran: list[str] = []
        self.work_seconds: float = 0
        members = {name: _member(name) for name in (ENTRY, LEADER)}
        view = state.ClusterState()
        view = view._replace(members=view.members.update(members))
        reader = mock.Mock(view=view)
        for name in members:
            part = forwards.Forwards(
                name,
                reader,
                self.wire,  # type: ignore[arg-type]
                self.work,
            )
            node = mock.Mock()
            node.delivery.forwards = part
            self.wire.nodes[name] = node
        self.entry = self.part(ENTRY)

    def part(self, name: str) -> forwards.Forwards:
        """Returns the forwards of an instance."""
        delivery = self.wire.nodes[name].delivery
        return typing.cast(forwards.Forwards, delivery.forwards)

    async def work(self, request: requests.RoutedRequest) -> outcomes.Outcome:
        """Runs a forwarded request."""
        self.ran.append(request.request_id)
        await asyncio.sleep(self.work_seconds)
        return DONE

    async def send(
        self,
        repeatable: bool = False,
        seconds: float = 0.1,
    ) -> outcomes.Outcome:
        """Forwards one request."""
        request = raw_target.request(repeatable=repeatable)
        deadline = time.monotonic() + seconds
        outcome = await self.entry.send(
            request._replace(deadline=deadline),
            'claims-0',
            _member(LEADER),
        )
        await asyncio.sleep(0.01)
        return outcome

    async def test_copies_run_once(self) -> None:
        """Every message may come twice; the request runs once."""
        for repeatable in (True, False):
            self.setUp()
            self.wire.copies = dict.fromkeys(COPIED, 2)
            self.assertEqual(await self.send(repeatable), DONE)
            self.assertEqual(len(self.ran), 1)

    async def test_lost_messages(self) -> None:
        """What the entry says of each lost message is true."""
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
        for kind, repeatable, wanted, runs in cases:
            with self.subTest(kind, repeatable=repeatable):
                self.setUp()
                self.wire.copies[kind] = 0
                self.assertEqual(await self.send(repeatable), wanted)
                self.assertEqual(len(self.ran), runs)

    async def test_late_forward_does_not_run(self) -> None:
        """A forward that comes after its sender gave up does not run."""
        self.wire.copies = {'forward': 0, 'forward_cancel': 0}
        await self.send()
        for address, message in self.wire.held:
            if message['kind'] == 'forward':
                self.wire.hand(address, message)
        await asyncio.sleep(0.05)
        self.assertEqual(self.ran, [])

    async def test_late_proceed_does_not_run(self) -> None:
        """A `proceed` after the request's time sets nothing off."""
        self.wire.copies = {'forward_proceed': 0, 'forward_cancel': 0}
        await self.send(seconds=0.05)
        await asyncio.sleep(0.05)
        for address, message in self.wire.held:
            self.wire.hand(address, message)
        await asyncio.sleep(0.01)
        self.assertEqual(self.ran, [])

    async def test_cancelled_caller(self) -> None:
        """A cancellation ends work that may be repeated, and no other."""
        for repeatable, running in ((True, 0), (False, 1)):
            self.setUp()
            self.work_seconds = 1
            task = asyncio.create_task(self.send(repeatable, seconds=2))
            await asyncio.sleep(0.05)
            self.assertEqual(len(self.ran), 1)
            task.cancel()
            await asyncio.sleep(0.05)
            leader = self.part(LEADER)
            self.assertEqual(len(leader.running), running)

    async def test_replaced_leader(self) -> None:
        """A request does not wait for a leader that was replaced."""
        self.wire.copies = {'answer': 0}
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
