"""What callers get by the learnt policy and by the configured places."""

import itertools
import statistics
import sys
import typing
import unittest

from bilberryglade._capacity import learning, policies
from bilberryglade_lab.experiments import target_load

SPEEDS: typing.Final = (0.6, 1.0, 1.4)
SEEDS: typing.Final = (1, 2, 3, 4)
SECONDS: typing.Final = 20
#: Most that callers may lose where targets don't slow down, as a share: what the
#: requirements allow earlier deployments.
MAX_LOSS: typing.Final = 0.03

FLAT: typing.Final = (1.0, 1.0)
MILD: typing.Final = (1.0, 1.3)
HALF: typing.Final = (1.0, 2.6)
WIDE: typing.Final = (1.0, 1.0, 1.0, 1.0)
NEARLY_FULL: typing.Final = (1.0, 1.0, 1.2, 2.4)
EARLY: typing.Final = (1.0, 1.3, 2.2, 4.0)
WORK: typing.Final = 0.121


class Case(typing.NamedTuple):
    """A load on three targets; `load` is a share of what they could finish."""

    slow_down: tuple[float, ...]
    load: float
    is_keyed: bool


#: Cases without a gain from a limit: nothing may be lost.
EVEN: typing.Final = tuple(
    Case(*case)
    for case in itertools.product(
        (FLAT, MILD, WIDE), (0.5, 0.9, 1.5), (True, False)
    )
)
#: Cases in which a target finishes more if it has a place less.
SLOWED: typing.Final = (
    Case(HALF, 0.9, is_keyed=True),
    Case(NEARLY_FULL, 0.5, is_keyed=True),
    Case(NEARLY_FULL, 0.9, is_keyed=True),
    Case(NEARLY_FULL, 0.9, is_keyed=False),
    Case(NEARLY_FULL, 1.5, is_keyed=True),
    Case(EARLY, 0.5, is_keyed=True),
    Case(EARLY, 0.9, is_keyed=False),
)


def play(case: Case, policy: str) -> target_load.Result:
    """Returns the mean result of some seeds, with spells of slow machines."""
    targets = [
        target_load.TargetKind(speed, case.slow_down, has_spells=True)
        for speed in SPEEDS
    ]
    rate = case.load * len(case.slow_down) * len(SPEEDS) / WORK / max(SPEEDS)
    played: list[target_load.Result] = []
    for seed in SEEDS:
        model = target_load.Model(
            policy,
            targets,
            [target_load.CallerKind(rate, WORK)],
            seed,
            case.is_keyed,
            SECONDS,
        )
        model.run()
        played.append(model.result())
    return target_load.Result(*map(statistics.fmean, zip(*played, strict=True)))


class CallersTests(unittest.TestCase):
    """The same arrivals, work and spells under both policies."""

    def compare(
        self, case: Case
    ) -> tuple[target_load.Result, target_load.Result]:
        """Prints and returns the results of both policies."""
        before = play(case, policies.CONFIGURED)
        after = play(case, policies.LEARNT)
        kind = 'keyed' if case.is_keyed else 'any'
        lines = [f'\n{case.slow_down} load {case.load} {kind}\n']
        for name, got in (('configured', before), ('learnt', after)):
            lines.append(
                f'  {name:10} in aim {got.in_aim:.3f} late {got.late:.3f}'
                f' refused {got.refused:.3f} lost {got.lost:.3f}'
                f' mean time {got.waits:.3f} s, {got.throughput:.1f} a second\n'
            )
        sys.stdout.writelines(lines)
        return before, after

    def test_targets_that_do_not_slow_down(self) -> None:
        """Exploration costs callers no more than the bound."""
        for case in EVEN:
            with self.subTest(case=case):
                before, after = self.compare(case)
                self.assertGreater(after.in_aim, before.in_aim - MAX_LOSS)
                self.assertLessEqual(after.lost, 0)

    def test_targets_that_slow_down(self) -> None:
        """More requests are answered within the aim, and none is lost."""
        for case in SLOWED:
            with self.subTest(case=case):
                before, after = self.compare(case)
                self.assertGreater(after.in_aim, before.in_aim)
                self.assertLessEqual(after.lost, 0)


class ChangeTests(unittest.TestCase):
    """One busy target that changes in mid-run."""

    def busy(
        self,
        first: target_load.TargetKind,
        changed: target_load.TargetKind,
        seed: int = 1,
    ) -> tuple[target_load.Model, learning.Life]:
        """Returns a model that ran up to the change at 10 s."""
        kind = first._replace(changes_at=10, changed=changed)
        model = target_load.Model(
            policies.LEARNT,
            [kind],
            [target_load.CallerKind(40)],
            seed,
            seconds=30,
        )
        model.run(10)
        policy = model.policy
        assert isinstance(policy, learning.LearntPolicy)
        return model, next(iter(policy.lives.values()))

    def test_speed_is_followed_within_two_seconds(self) -> None:
        """The time of work at the limit is that of the new speed."""
        for speed in (0.5, 2.0):
            with self.subTest(speed=speed):
                model, life = self.busy(
                    target_load.TargetKind(1.0, WIDE),
                    target_load.TargetKind(speed, WIDE),
                )
                model.run(12)
                seconds = life.seconds(12)
                assert seconds is not None
                self.assertAlmostEqual(seconds * speed, WORK, delta=WORK * 0.35)

    def test_slow_down_is_found_within_two_seconds(self) -> None:
        """A lower limit is in force, and kept after its trial."""
        for seed in range(1, 7):
            with self.subTest(seed=seed):
                model, life = self.busy(
                    target_load.TargetKind(1.0, WIDE),
                    target_load.TargetKind(1.0, (1.0, 1.0, 1.2, 4.0)),
                    seed,
                )
                self.assertEqual(life.usable_places(), 4)
                model.run(12)
                self.assertEqual(life.usable_places(), 3)
                model.run(13)
                self.assertEqual(life.limit.level, 3)

    def test_limit_rises_after_a_slow_down(self) -> None:
        """A target that is well again gets its places back."""
        model, life = self.busy(
            target_load.TargetKind(1.0, (1.0, 1.0, 1.2, 4.0)),
            target_load.TargetKind(1.0, WIDE),
        )
        self.assertLess(life.usable_places(), 4)
        model.run(20)
        self.assertEqual(life.limit.level, 4)
