"""Which versions an instance uses, by what it knows and was told."""

import typing
import unittest
from unittest import mock

from bilberryglade._knowledge import knowledge
from bilberryglade._membership import fleet
from bilberryglade._rollouts import (
    encoding,
    exposure,
    phases,
    stepper,
    versions,
)
from bilberryglade._targets import directory
from bilberryglade._targets.tests import samples
from bilberryglade._values import clock

ROLLOUT = stepper.Rollout(7, 's', 'v1', 'v2', 12, 0, share=0.06)


class VersionTests(unittest.TestCase):
    """Which versions an instance uses."""

    def test_coordinator_lost(self) -> None:
        """A version on trial gets requests though nobody can take it back."""
        told = versions.Told(ROLLOUT, holds_until=10)
        both = frozenset(('v1', 'v2'))
        self.assertEqual(versions.allowed('v1', told, 9), both)
        self.assertEqual(versions.allowed('v1', told, 10), {'v1'})

    def test_coordinator_lost_after_the_move(self) -> None:
        """Requests go back to targets that are about to stop."""
        for phase in phases.SETTLED:
            moved = ROLLOUT._replace(phase=phase, share=1)
            told = versions.Told(moved, holds_until=10)
            self.assertEqual(versions.allowed('v1', told, 99), {'v2'})

    def test_restarted_instance(self) -> None:
        """It finds both versions listed and uses the one on trial."""
        order = mock.Mock(version='v2')
        self.assertEqual(versions.base_of(('v2', 'v1'), order), 'v1')
        self.assertEqual(versions.base_of(('v2',), order), 'v2')
        self.assertEqual(versions.allowed('v1', None, 0), {'v1'})


class ExposureTests(unittest.TestCase):
    """What an instance takes in of the coordinator's tellings."""

    def setUp(self) -> None:
        """Starts an instance that knows one target of the old version."""
        listed = directory.put(
            directory.Directory(), samples.target(version='v1')
        )
        reader = mock.Mock(
            known=knowledge.Knowledge(directory=listed), listeners=[]
        )
        own = fleet.Member('a', 'a1', '127.0.0.1:1', 'x')
        members = fleet.Fleet(own, mock.Mock())
        self.exposure = exposure.Exposure(members, reader, 5)
        self.exposure.start()
        self.exposure.refresh()

    def tell(
        self, phase: phases.Phase, term: int = 1, **changes: typing.Any
    ) -> frozenset[str]:
        """Tells of a phase; returns the versions that may be used then."""
        rollout = ROLLOUT._replace(phase=phase, **changes)
        stages = [encoding.to_stage(rollout, clock.now())]
        self.exposure.hear(
            {
                'kind': 'rollout_stages',
                'sender': 'b',
                'term': term,
                'stages': stages,
            }
        )
        known = self.exposure.reader.known
        return known.allowed['s']

    def test_version_without_an_order(self) -> None:
        """A version that nobody told of gets requests."""
        reader = self.exposure.reader
        added = samples.target(name='u', version='v2', offset=101)
        listed = directory.put(reader.known.directory, added)
        reader.known = reader.known._replace(directory=listed)
        self.exposure.refresh()
        self.assertEqual([one.name for one in reader.known.in_use('s')], ['t'])

    def test_earlier_coordinator(self) -> None:
        """One that lost its lease gives a bad version requests again."""
        self.tell(phases.Phase.rolled_back, term=2)
        told = self.tell(phases.Phase.exposing, term=1)
        self.assertEqual(told, {'v1'})

    def test_store_came_back_older(self) -> None:
        """A coordinator that read an earlier phase goes back to it."""
        self.tell(phases.Phase.sealed, share=1)
        told = self.tell(phases.Phase.growing, term=2, share=0.25)
        self.assertEqual(told, {'v2'})

    def test_repeats_stay_with_the_version_in_use(self) -> None:
        """A request fails twice by the version on trial."""
        self.tell(phases.Phase.growing, share=0.5)
        turns = [
            self.exposure.version_for('s', is_repeat=False) for _ in range(100)
        ]
        self.assertIn(turns.count('v2'), {49, 50, 51})
        repeats = {
            self.exposure.version_for('s', is_repeat=True) for _ in range(9)
        }
        self.assertEqual(repeats, {'v1'})

    def test_unknown_phase(self) -> None:
        """A coordinator of a later release ends this instance."""
        stage = encoding.to_stage(ROLLOUT, clock.now())
        stage['phase'] = 'odd'
        self.exposure.hear(
            {
                'kind': 'rollout_stages',
                'sender': 'b',
                'term': 1,
                'stages': [stage],
            }
        )
        self.assertEqual(self.exposure.unknown_phases, 1)
