"""The learnt pace reaches the planning of keys."""

import typing
import unittest
from unittest import mock

from bilberryglade._capacity import learning, policies
from bilberryglade._ownership import planning, ranges, shares
from bilberryglade._values import clock
from bilberryglade_lab.experiments import target_load

#: Factor by which full targets of the test slow down.
SLOW_DOWN: typing.Final = 2.4
HOT_BLOCK: typing.Final = 500
#: Requests a second on a thing that everybody asks for, and on all others.
HOT_LOAD: typing.Final = 250.0
OTHER_LOAD: typing.Final = 395.0
TARGETS: typing.Final = 92


class PaceTests(unittest.TestCase):
    """Targets of one speed, of which one slows down when it is full."""

    def reported(self, policy: str) -> dict[str, float]:
        """Returns the work times that a dispatcher reports to the coordinator."""
        kinds = [
            target_load.TargetKind(1.0, (1.0, 1.0, 1.0, 1.0)),
            target_load.TargetKind(1.0, (1.0, 1.0, 1.2, SLOW_DOWN)),
        ]
        callers = target_load.CallerKind(55)
        model = target_load.Model(policy, kinds, [callers])
        model.run(15)
        with mock.patch.object(clock, 'now', lambda: model.now):
            return model.ledger.work_seconds(0)

    def test_slow_target_gets_fewer_keys(self) -> None:
        """Its share is that of what it finishes at its limit."""
        seconds = self.reported(policies.LEARNT)
        weights = shares.divide(
            [shares.Capacity(4, seconds[name]) for name in ('t0', 't1')], 40
        )
        self.assertLess(weights[1], weights[0] * 0.85)
        # At three of four places it finishes 3 / (4 * 1.2) of the other's.
        self.assertAlmostEqual(
            seconds['t0'] / seconds['t1'], 3 / (4 * 1.2), delta=0.2
        )

    def test_trial_moves_no_keys(self) -> None:
        """A limit that is only tried leaves the reported time as it is."""
        model = target_load.Model(
            policies.LEARNT,
            [target_load.TargetKind(1.0, (1.0, 1.0))],
            [target_load.CallerKind(30)],
        )
        model.run(10)
        policy = model.policy
        assert isinstance(policy, learning.LearntPolicy)
        name, life = next(iter(policy.lives.items()))
        known = model.ledger.standings[name]
        before = policy.work_seconds(name, known, model.now)
        life.limit = life.limit._replace(trial=1)
        self.assertEqual(policy.work_seconds(name, known, model.now), before)


class HotKeyTests(unittest.TestCase):
    """A thing that more than a third of all look-ups are about."""

    def test_neighbours_move_away(self) -> None:
        """Three plans later its owner has hardly any other load."""
        owners = [ranges.Owner(f't{index}', 1) for index in range(TARGETS)]
        candidates = [
            ranges.Candidate(owner, 645 / TARGETS, 2 / 0.121)
            for owner in owners
        ]
        even = OTHER_LOAD / ranges.BLOCKS
        loads = dict.fromkeys(range(ranges.BLOCKS), even)
        table = planning.plan((), candidates, loads, may_balance=False).table
        loads[HOT_BLOCK] += HOT_LOAD
        counts: list[float] = []
        for step in range(4):
            table = tuple(
                entry._replace(fence=step + 1)
                if ranges.is_new(entry)
                else entry
                for entry in table
            )
            key = HOT_BLOCK * ranges.BLOCK_KEYS
            hot = next(entry.owner for entry in table if entry.last >= key)
            carried = sum(
                ranges.load_of(entry.first, entry.last, loads)
                for entry in table
                if entry.owner == hot
            )
            counts.append(carried - HOT_LOAD)
            table = planning.plan(
                table,
                candidates,
                loads,
                may_balance=True,
                relieves_hot_owners=True,
            ).table
        print('\nother load at the owner of a hot key:', counts)  # noqa: WPS421
        self.assertLess(counts[-1], counts[0] / 4)
