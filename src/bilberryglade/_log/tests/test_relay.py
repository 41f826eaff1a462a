"""Relays between instances that hear each other through encoded messages."""

import typing
import unittest
from collections import abc
from unittest import mock

import result

from bilberryglade._codec import codec
from bilberryglade._log import (
    chunks,
    follower,
    intake,
    log_duties,
    peer_handlers,
    relay,
)
from bilberryglade._log.tests import fake_log
from bilberryglade._membership import heartbeats
from bilberryglade._peers import handlers, network
from bilberryglade._state import state
from bilberryglade._state.tests import test_folding

HANDLERS = peer_handlers
NOW = 1000
PART_BYTES = 64


class Wire(network.PeerNetwork):
    """Carries messages between relays in memory, encoded."""

    def __init__(self) -> None:
        """Starts with nobody."""
        self.nodes: dict[str, Node] = {}
        self.sent: list[str] = []
        self.is_cut = False

    def send(self, address: str, message: abc.Mapping[str, object]) -> bool:
        """Hands the message to the handler of its kind at once."""
        kind = str(message['kind'])
        self.sent.append(kind)
        if self.is_cut or address not in self.nodes:
            return True
        handler = handlers.handlers.entries[kind]
        raw = codec.encode_packed(message)
        decoded: result.Result[typing.Any, codec.DecodeError]
        decoded = codec.decode_packed(raw, handler.kind)
        handler.handle(self.nodes[address], decoded.unwrap())
        return True


class Node:
    """One instance: a follower and its relay."""

    def __init__(
        self, name: str, log: fake_log.FakeLogClient, wire: Wire
    ) -> None:
        """Joins the wire under its name."""
        self.reader = follower.Follower(log, 0)
        self.relay = relay.Relay(name, name, self.reader, wire, 10)
        wire.nodes[name] = self


def joined(name: str) -> dict[str, typing.Any]:
    """Returns the record of an instance that joins."""
    return {
        'id': f'join-{name}',
        'kind': 'instance_joined',
        'instance': name,
        'boot': f'boot-of-{name}',
        'failure_domain': 'north',
        'peer_address': name,
        'admin_address': '',
    }


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """Two instances, of which one is cut from the log."""

    async def asyncSetUp(self) -> None:
        """Both know that both are members; `cut` reads the log no more."""
        self.clock = mock.Mock(return_value=NOW)
        self.log = fake_log.FakeLogClient()
        self.no_log = fake_log.FakeLogClient()
        self.wire = Wire()
        self.near = Node('near', self.log, self.wire)
        self.cut = Node('cut', self.log, self.wire)
        for node in (self.near, self.cut):
            node.reader.clock = self.clock
        for name in ('near', 'cut'):
            await self.log.append('control', joined(name), 1)
        await self.cut.reader.read_once(0)
        self.no_log.is_down = True
        self.cut.reader.log = self.no_log
        await self.cut.reader.read_once(0)

    async def issue(self, count: int) -> None:
        """Appends records that `near` reads and `cut` does not."""
        for number in range(count):
            record = test_folding.key_issued(f'k{number}')
            await self.log.append('control', record, 1)
        while self.near.reader.view.offset < self.log.stream('control').head:
            await self.near.reader.read_once(0)

    def hear(self, age_seconds: float = 0) -> None:
        """Lets `cut` hear a heartbeat's answer of `near`."""
        offset = self.near.reader.view.offset
        sign = heartbeats.Sign('near', '', 1, offset, age_seconds, NOW, NOW)
        self.cut.relay.hear(sign)

    async def test_records_and_age_travel(self) -> None:
        """The cut instance gets the records and knows as of when."""
        await self.issue(3)
        self.clock.return_value = NOW + 5
        self.near.reader.known = self.near.reader.known._replace(fresh_at=NOW)
        self.hear()
        self.assertEqual(self.cut.reader.view, self.near.reader.view)
        fresh_at = self.cut.reader.known.fresh_at
        self.assertLessEqual(fresh_at, NOW)
        self.assertGreater(fresh_at, NOW - 0.1)

    async def test_drift_makes_knowledge_older(self) -> None:
        """An age of a clock that may run slow counts for more."""
        await self.issue(0)
        self.hear(age_seconds=20)
        self.assertAlmostEqual(
            self.cut.reader.known.fresh_at,
            max(NOW - 20.2, self.cut.reader.known.fresh_at),
        )
        self.assertEqual(relay.known_at(NOW, 20_000, 10), NOW - 20.2)

    async def test_far_behind_gets_the_state(self) -> None:
        """Whoever is behind the kept records gets the state in parts."""
        with (
            mock.patch.object(intake, 'MAX_RECENT', 4),
            mock.patch.object(chunks, 'PART_BYTES', PART_BYTES),
        ):
            await self.issue(30)
            self.hear()
        self.assertEqual(self.cut.reader.view, self.near.reader.view)
        self.assertIn('state_given', self.wire.sent)
        self.assertNotIn('records_given', self.wire.sent)

    async def test_questions_are_spaced(self) -> None:
        """A peer that does not answer is not asked again at once."""
        await self.issue(1)
        self.wire.is_cut = True
        for seconds, asked in ((0, 1), (0.2, 1), (0.31, 2)):
            self.clock.return_value = NOW + seconds
            self.hear()
            self.assertEqual(self.wire.sent.count('records_asked'), asked)

    async def test_answers_to_no_question(self) -> None:
        """An answer that was not asked for, or comes twice, is skipped."""
        await self.issue(1)
        before = self.cut.reader.known
        self.near.relay.give_records(
            {
                'kind': 'records_asked',
                'version': 1,
                'instance': 'cut',
                'address': 'cut',
                'sequence': 99,
                'start': 3,
            },
        )
        self.assertEqual(self.wire.sent, ['records_given'])
        self.assertEqual(self.cut.reader.known, before)

    async def test_start_without_the_log(self) -> None:
        """An instance that starts while the log is down asks listed peers."""
        await self.issue(2)
        starting = Node('starting', self.no_log, self.wire)
        starting.reader.clock = self.clock
        listing = mock.AsyncMock()
        listing.read.return_value = result.Ok(
            [
                {'role': 'instance', 'name': 'near', 'address': 'near'},
                {'role': 'target', 'name': 'ledger-0', 'address': 'cut'},
            ],
        )
        cold_start = log_duties.ColdStart(
            'starting', starting.reader, listing, starting.relay
        )
        await cold_start.ask_once()
        self.assertEqual(starting.reader.view, self.near.reader.view)
        self.assertEqual(self.wire.sent.count('state_asked'), 1)
        self.assertFalse(starting.reader.is_ready)
        self.clock.return_value = NOW + 1.1
        self.assertTrue(starting.reader.is_ready)


class ShouldAskTest(unittest.TestCase):
    """When a peer that is ahead is asked."""

    def test_decisions(self) -> None:
        """The own read gets a moment first, unless it fails."""
        fresh = relay.Lag()
        behind = relay.Lag(behind_since=NOW - 0.2)
        cases = {
            'not behind': (behind, False, True, False),
            'just behind': (fresh, True, False, False),
            'behind for a while': (behind, True, False, True),
            'just behind, log fails': (fresh, True, True, True),
            'asked lately': (
                behind._replace(asked_at=NOW - 0.1),
                True,
                True,
                False,
            ),
        }
        for name, (lag, is_behind, is_failing, is_due) in cases.items():
            with self.subTest(name):
                decision = relay.should_ask(lag, is_behind, is_failing, NOW)
                self.assertEqual(decision.is_due, is_due)

    def test_kept_records(self) -> None:
        """Records are given while they are kept."""
        view = state.ClusterState(offset=9)
        recent = tuple(intake.Numbered(offset, {}) for offset in (7, 8, 9))
        known = intake.Intake(view=view, recent=recent)
        for start, offsets in ((7, [7, 8, 9]), (9, [9]), (10, [])):
            kept = relay.records_from(known, start)
            self.assertEqual([row.offset for row in kept or ()], offsets)
        self.assertIsNone(relay.records_from(known, 6))
