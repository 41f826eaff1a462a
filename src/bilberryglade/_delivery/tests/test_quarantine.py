"""Who is blamed when targets die, and for how long."""

import asyncio
import typing
import unittest
from unittest import mock

import immutables

from bilberryglade._delivery import crash_watch, quarantine
from bilberryglade._state import state
from bilberryglade._targets.tests import raw_target
from bilberryglade._values import outcomes

Deaths: typing.TypeAlias = tuple[tuple[str, str], ...]
Case: typing.TypeAlias = tuple[str, Deaths, list[str]]
LOST: typing.Final = outcomes.Unknown(outcomes.Reason.answer_lost)


def blamed(deaths: Deaths) -> list[str]:
    """Returns who is convicted after each death of `target: suspects`."""
    inquest = quarantine.Inquest()
    found: list[str] = []
    for number, (target, suspects) in enumerate(deaths):
        death = quarantine.Death(str(number), target, frozenset(suspects))
        finding = quarantine.on_death(inquest, death)
        inquest = finding.inquest
        if finding.guilty:
            found.append(finding.guilty)
    return found


class InquestTest(unittest.TestCase):
    """The table of deaths and verdicts; P crashes targets."""

    def test_verdicts(self) -> None:
        """Deaths of distinct targets convict, shared ones tell apart."""
        cases: tuple[Case, ...] = (
            ('one death', (('a', 'P'),), []),
            ('alone on two', (('a', 'P'), ('b', 'P')), ['P']),
            ('thrice on one', (('a', 'P'),) * 3, ['P']),
            ('twice on one', (('a', 'P'),) * 2, []),
            (
                'neighbours differ',
                (('a', 'PX'), ('b', 'PY'), ('c', 'PZ')),
                ['P'],
            ),
            (
                'a neighbour stays',
                (('a', 'PX'), ('b', 'PX'), ('c', 'PX')),
                [],
            ),
            (
                'then they part',
                (('a', 'PX'), ('b', 'PX'), ('c', 'PX'), ('d', 'P')),
                ['P'],
            ),
            ('shared on one target', (('a', 'PX'),) * 5, []),
            (
                'a neighbour is not blamed afterwards',
                (('a', 'PX'), ('b', 'P'), ('c', 'P'), ('d', 'X')),
                ['P'],
            ),
        )
        for name, deaths, wanted in cases:
            with self.subTest(name):
                self.assertEqual(blamed(deaths), wanted)

    def test_copies_count_once(self) -> None:
        """A report that comes again is no second death."""
        death = quarantine.Death('1', 'a', frozenset('P'))
        inquest = quarantine.Inquest()
        for _ in range(4):
            finding = quarantine.on_death(inquest, death)
            inquest = finding.inquest
            self.assertEqual(finding.guilty, '')

    def test_an_answer_clears(self) -> None:
        """A request that a target answered is no suspect."""
        death = quarantine.Death('1', 'a', frozenset('X'))
        inquest = quarantine.on_death(quarantine.Inquest(), death).inquest
        inquest = quarantine.on_survival(inquest, 'X')
        again = quarantine.Death('2', 'b', frozenset('X'))
        self.assertEqual(quarantine.on_death(inquest, again).guilty, '')

    def test_it_ends(self) -> None:
        """A quarantine ends by the instance's own clock, and can be renewed."""
        first = immutables.Map({'P': 5})
        learnt = quarantine.learn(first, {}, 100)
        learnt = quarantine.learn(first, learnt, 130)
        for now, wanted in ((100, True), (159, True), (161, False)):
            self.assertEqual(
                quarantine.in_force(first, learnt, 'P', now),
                wanted,
            )
        renewed = immutables.Map({'P': 9})
        learnt = quarantine.learn(renewed, learnt, 170)
        self.assertTrue(quarantine.in_force(renewed, learnt, 'P', 171))
        self.assertFalse(quarantine.in_force(renewed, learnt, 'X', 171))


class WatchTest(unittest.IsolatedAsyncioTestCase):
    """The watch over fakes of the targets, the log and the peers."""

    def setUp(self) -> None:
        """Starts a watch of one instance with one peer."""
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
        """Runs one request that ends in `outcome`, and lets it be examined."""
        await self.watch.run(
            raw_target.request(),
            _target(target),
            mock.AsyncMock(return_value=outcome),
        )
        await asyncio.gather(*self.watch.tasks)

    async def test_two_dead_targets(self) -> None:
        """The second death puts the request into quarantine, fleet-wide."""
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
        self.assertTrue(self.watch.refuses(raw_target.request()))
        self.assertFalse(self.watch.refuses(raw_target.request('PUT')))

    async def test_no_death_without_a_fall(self) -> None:
        """Lost answers of targets that stand blame nobody."""
        self.targets.has_fallen.return_value = False
        for target in 'abc':
            await self.run_at(target, LOST)
        self.writer.commit.assert_not_called()

    async def test_deaths_seen_by_peers_count(self) -> None:
        """A death that a peer saw is evidence here."""
        fingerprint = quarantine.fingerprint_of(raw_target.request())
        self.watch.take_death(
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
