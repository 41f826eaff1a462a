"""Tests which request is blamed when targets crash, and for how long."""

import asyncio
import typing
import unittest
from unittest import mock

import immutables

from bilberryglade._delivery import crash_watch, quarantine
from bilberryglade._state import state
from bilberryglade._targets.tests import raw_target
from bilberryglade._values import outcomes

Crashes: typing.TypeAlias = tuple[tuple[str, str], ...]
Case: typing.TypeAlias = tuple[str, Crashes, list[str]]
LOST: typing.Final = outcomes.Unknown(outcomes.Reason.answer_lost)


def blamed_after(crashes: Crashes) -> list[str]:
    """Returns who is blamed, in order, for crashes of (target, suspects)."""
    history = quarantine.CrashHistory()
    found: list[str] = []
    for number, (target, suspects) in enumerate(crashes):
        crash = quarantine.TargetCrash(str(number), target, frozenset(suspects))
        analysis = quarantine.on_crash(history, crash)
        history = analysis.history
        if analysis.blamed_fingerprint:
            found.append(analysis.blamed_fingerprint)
    return found


class CrashHistoryTest(unittest.TestCase):
    """Blame by the history of crashes; request P crashes targets."""

    def test_verdicts(self) -> None:
        """Repeated crashes blame the one request that they have in common."""
        cases: tuple[Case, ...] = (
            ('one crash', (('a', 'P'),), []),
            ('alone on two targets', (('a', 'P'), ('b', 'P')), ['P']),
            ('three times on one target', (('a', 'P'),) * 3, ['P']),
            ('twice on one target', (('a', 'P'),) * 2, []),
            (
                'other requests differ',
                (('a', 'PX'), ('b', 'PY'), ('c', 'PZ')),
                ['P'],
            ),
            (
                'the same other request each time',
                (('a', 'PX'), ('b', 'PX'), ('c', 'PX')),
                [],
            ),
            (
                'the same other request, then alone',
                (('a', 'PX'), ('b', 'PX'), ('c', 'PX'), ('d', 'P')),
                ['P'],
            ),
            ('shared on one target', (('a', 'PX'),) * 5, []),
            (
                'the other request is not blamed afterwards',
                (('a', 'PX'), ('b', 'P'), ('c', 'P'), ('d', 'X')),
                ['P'],
            ),
        )
        for name, crashes, expected in cases:
            with self.subTest(name):
                self.assertEqual(blamed_after(crashes), expected)

    def test_duplicate_report_counts_once(self) -> None:
        """A duplicate report is not counted as a second crash."""
        crash = quarantine.TargetCrash('1', 'a', frozenset('P'))
        history = quarantine.CrashHistory()
        for _ in range(4):
            analysis = quarantine.on_crash(history, crash)
            history = analysis.history
            self.assertEqual(analysis.blamed_fingerprint, '')

    def test_answer_clears_suspect(self) -> None:
        """A request that a target answered is no longer a suspect."""
        crash = quarantine.TargetCrash('1', 'a', frozenset('X'))
        history = quarantine.on_crash(quarantine.CrashHistory(), crash).history
        history = quarantine.on_answer(history, 'X')
        second_crash = quarantine.TargetCrash('2', 'b', frozenset('X'))
        self.assertEqual(
            quarantine.on_crash(history, second_crash).blamed_fingerprint, ''
        )

    def test_quarantine_expires(self) -> None:
        """A quarantine ends by the instance's own clock and can be renewed."""
        first = immutables.Map({'P': 5})
        applied = quarantine.update_applied(first, {}, 100)
        applied = quarantine.update_applied(first, applied, 130)
        for now, expected in ((100, True), (159, True), (161, False)):
            self.assertEqual(
                quarantine.is_quarantined(first, applied, 'P', now),
                expected,
            )
        renewed = immutables.Map({'P': 9})
        applied = quarantine.update_applied(renewed, applied, 170)
        self.assertTrue(quarantine.is_quarantined(renewed, applied, 'P', 171))
        self.assertFalse(quarantine.is_quarantined(renewed, applied, 'X', 171))


class CrashWatchTest(unittest.IsolatedAsyncioTestCase):
    """The crash watch with fake targets, log and peers."""

    def setUp(self) -> None:
        """Starts the crash watch of an instance with one peer."""
        self.view = state.ClusterState()
        members = self.view.members.set('peer', _member('peer'))
        self.reader = mock.Mock(view=self.view._replace(members=members))
        self.targets = mock.Mock(has_fallen=mock.AsyncMock(return_value=True))
        self.writer = mock.Mock(commit=mock.AsyncMock())
        self.peers = mock.Mock()
        self.watch = crash_watch.CrashWatch(
            'entry', self.reader, self.writer, self.targets, self.peers
        )

    async def run_at(self, target: str, outcome: outcomes.Outcome) -> None:
        """Runs one request that ends in `outcome` and awaits the crash check."""
        await self.watch.run(
            raw_target.request(),
            _target(target),
            mock.AsyncMock(return_value=outcome),
        )
        await asyncio.gather(*self.watch.tasks)

    async def test_two_crashed_targets(self) -> None:
        """The crash of a second target quarantines the request on all instances."""
        await self.run_at('a', LOST)
        self.writer.commit.assert_not_called()
        await self.run_at('b', outcomes.Answered(500, (), b''))
        arguments = self.writer.commit.call_args
        record = arguments.args[0]
        self.assertEqual(record['targets'], ['a', 'b'])
        self.assertEqual(self.peers.send.call_count, 2)
        self.reader.view = self.view._replace(
            quarantined=immutables.Map({record['fingerprint']: 1}),
        )
        self.watch.observe(self.reader.view)
        self.assertTrue(self.watch.is_quarantined(raw_target.request()))
        self.assertFalse(self.watch.is_quarantined(raw_target.request('PUT')))

    async def test_lost_answer_is_not_a_crash(self) -> None:
        """Lost answers of targets that still run blame no request."""
        self.targets.has_fallen.return_value = False
        for target in 'abc':
            await self.run_at(target, LOST)
        self.writer.commit.assert_not_called()

    async def test_peer_crash_reports_count(self) -> None:
        """A crash that a peer reported counts like one seen here."""
        fingerprint = quarantine.fingerprint_of(raw_target.request())
        self.watch.handle_crash(
            {
                'kind': 'target_died',
                'version': 1,
                'sender': 'peer',
                'death_id': 'd-1',
                'target': 'a',
                'suspects': [fingerprint],
            },
        )
        await self.run_at('b', LOST)
        self.writer.commit.assert_called_once()


def _member(name: str) -> state.Member:
    return state.Member(name, 'boot', 'north', name, '', 1)


def _target(name: str) -> state.TargetState:
    return state.TargetState(name, 'claims', 'north', name, 2, True, 'live', 1)
