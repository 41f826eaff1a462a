"""The owner rules report each kind of violation in a series of grants."""

import typing
import unittest

from bilberryglade._ownership.tests import modelled_targets, owner_rules

#: Name of the case, time of the grant in seconds, its first and last key and
#: fence, and the rules that it breaks.
Case: typing.TypeAlias = tuple[str, float, tuple[int, int, int], list[str]]


class OwnerRulesTest(unittest.TestCase):
    """Grants to two modelled targets, `old` and `new`."""

    def setUp(self) -> None:
        """Grants keys 0 to 99 to the target `old` for 5 seconds."""
        self.rules = owner_rules.OwnerRules()
        self.targets = [
            modelled_targets.Target(
                name, name, 'a', 0, keeps_newer_leases=False
            )
            for name in ('old', 'new')
        ]
        self.grant('old', 0, modelled_targets.Lease(0, 99, 2, 5))

    def grant(
        self,
        name: str,
        now: float,
        order: modelled_targets.Lease,
    ) -> list[str]:
        """Grants keys to a target; returns all rules broken up to now."""
        receiver = next(
            target for target in self.targets if target.name == name
        )
        receiver.grant(now, order, creates_lease=True)
        modelled_targets.check_grant(
            self.rules, self.targets, receiver, order, now
        )
        return [violation.rule for violation in self.rules.violations]

    def test_overlaps(self) -> None:
        """Grants to `new` while `old` holds a key, or with a low fence."""
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
        """Released keys may be granted once work on them has ended.

        They may also be granted when the released lease would have ended.
        """
        order = modelled_targets.Lease(0, 99, 4, 3)
        for now, work_seconds, rules in (
            (2, 0, []),
            (2, 1, []),
            (2, 2.5, ['at work']),
            (5.5, 9, []),
        ):
            with self.subTest(now=now, work_seconds=work_seconds):
                self.setUp()
                released = modelled_targets.Lease(0, 99, 3, 0)
                self.targets[0].release(1, released, work_seconds)
                self.assertEqual(self.grant('new', now, order), rules)

    def test_refused_fence(self) -> None:
        """A target refuses a lower fence than it has seen, until it restarts."""
        target = self.targets[0]
        status = target.grant(
            1, modelled_targets.Lease(50, 50, 1, 3), creates_lease=True
        )
        self.assertEqual(status, modelled_targets.CONFLICT_STATUS)
        target.stop()
        target.restart('elsewhere')
        status = target.grant(
            1, modelled_targets.Lease(50, 50, 1, 3), creates_lease=True
        )
        self.assertEqual(status, modelled_targets.OK_STATUS)
