"""The observer of the exploration fails on histories that break a rule."""

import typing
import unittest

from bilberryglade._ownership.tests import modelled_targets, owner_rules

#: Name, seconds, keys and fence that are taken, and the rules that it breaks.
Case: typing.TypeAlias = tuple[str, float, tuple[int, int, int], list[str]]


class OwnerRulesTest(unittest.TestCase):
    """Two targets and their keys, by hand."""

    def setUp(self) -> None:
        """One target holds some keys."""
        self.rules = owner_rules.OwnerRules()
        self.targets = [
            modelled_targets.Target(name, name, 'a', 0, keeps_newer=False)
            for name in ('old', 'new')
        ]
        self.grant('old', 0, modelled_targets.Lease(0, 99, 2, 5))

    def grant(
        self,
        name: str,
        now: float,
        order: modelled_targets.Lease,
    ) -> list[str]:
        """Grants keys, and returns the rules that are broken by then."""
        taker = next(one for one in self.targets if one.name == name)
        taker.grant(now, order, counts=True)
        modelled_targets.look(self.rules, self.targets, taker, order, now)
        return [found.rule for found in self.rules.violations]

    def test_overlaps(self) -> None:
        """Both hold a key; one fence is not above the other's."""
        cases: tuple[Case, ...] = (
            ('while it is held', 4, (50, 149, 4), ['held']),
            ('after its time', 6, (50, 149, 4), []),
            ('other keys', 4, (100, 149, 4), []),
            ('the same fence', 6, (50, 149, 2), ['fence']),
            ('a lower fence', 6, (50, 149, 1), ['fence']),
        )
        for name, now, (first, last, fence), rules in cases:
            with self.subTest(name=name):
                self.setUp()
                order = modelled_targets.Lease(first, last, fence, 3)
                self.assertEqual(self.grant('new', now, order), rules)

    def test_work_after_a_release(self) -> None:
        """Keys are free when their work has ended, or the lease would have."""
        order = modelled_targets.Lease(0, 99, 4, 3)
        for now, work, rules in (
            (2, 0, []),
            (2, 1, []),
            (2, 2.5, ['at work']),
            (5.5, 9, []),
        ):
            with self.subTest(now=now, work=work):
                self.setUp()
                given = modelled_targets.Lease(0, 99, 3, 0)
                self.targets[0].release(1, given, work)
                self.assertEqual(self.grant('new', now, order), rules)

    def test_refused_fence(self) -> None:
        """A target that has seen a higher fence takes no lower one."""
        known = self.targets[0]
        status = known.grant(
            1, modelled_targets.Lease(50, 50, 1, 3), counts=True
        )
        self.assertEqual(status, modelled_targets.CONFLICT_STATUS)
        known.end()
        known.begin('elsewhere')
        status = known.grant(
            1, modelled_targets.Lease(50, 50, 1, 3), counts=True
        )
        self.assertEqual(status, modelled_targets.OK_STATUS)
