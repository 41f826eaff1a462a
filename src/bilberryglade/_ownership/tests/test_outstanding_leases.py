"""Tests when the leases that targets may hold no longer block a new owner."""

import unittest

import hypothesis
from hypothesis import strategies

from bilberryglade._ownership import outstanding_leases, ranges
from bilberryglade._values import leases

OLD = ranges.Owner('old', 1)
NEW = ranges.Owner('new', 1)
OLD_RANGE = ranges.Range(100, 199, OLD, 2)
NEW_RANGE = ranges.Range(150, 249, NEW, 4)
key_pairs = strategies.tuples(
    strategies.integers(0, 99), strategies.integers(0, 99)
)


def released_keys(entry: ranges.Range) -> leases.Lease:
    """Returns the keys and fence of a release needed to grant a range."""
    return leases.Lease(entry.first, entry.last, ranges.release_fence(entry))


class ConflictTests(unittest.TestCase):
    """Conflicts between outstanding leases and the range of a new owner."""

    def setUp(self) -> None:
        """Records a confirmed lease of the old owner that ends at 50 s."""
        ordered = outstanding_leases.record_order((), OLD_RANGE, until=50)
        self.outstanding = outstanding_leases.record_confirmation(
            ordered, OLD_RANGE, earlier_unanswered_until=0
        )

    def is_blocked(
        self,
        outstanding: tuple[outstanding_leases.OutstandingLease, ...],
        now: float,
    ) -> bool:
        """Returns whether the new owner must wait at `now`."""
        return bool(
            outstanding_leases.find_conflicting(outstanding, NEW_RANGE, now)
        )

    def test_unreleased_lease(self) -> None:
        """A lease that is not released blocks the range until it has ended."""
        self.assertTrue(self.is_blocked(self.outstanding, 49))
        self.assertFalse(self.is_blocked(self.outstanding, 50))

    def test_release(self) -> None:
        """A confirmed release frees only the released keys."""
        outstanding = outstanding_leases.record_release(
            self.outstanding, 'old', released_keys(NEW_RANGE), 'token'
        )
        self.assertFalse(self.is_blocked(outstanding, 10))
        rest = ranges.Range(100, 149, NEW, 6)
        self.assertTrue(
            outstanding_leases.find_conflicting(outstanding, rest, 10)
        )

    def test_unanswered_order(self) -> None:
        """An unanswered order blocks the keys even after a release."""
        outstanding = outstanding_leases.record_order(
            self.outstanding, OLD_RANGE, until=60
        )
        outstanding = outstanding_leases.record_release(
            outstanding, 'old', released_keys(OLD_RANGE._replace(fence=4)), ''
        )
        self.assertTrue(self.is_blocked(outstanding, 59))
        self.assertFalse(self.is_blocked(outstanding, 60))

    def test_order_never_sent(self) -> None:
        """Undoing an order that was never sent restores the earlier leases."""
        outstanding = outstanding_leases.record_order(
            self.outstanding, OLD_RANGE, until=60
        )
        outstanding = outstanding_leases.undo_order(
            outstanding, self.outstanding, OLD_RANGE, until=60
        )
        self.assertEqual(outstanding, self.outstanding)

    def test_order_never_sent_for_keys_that_were_split_meanwhile(self) -> None:
        """Undoing keeps the old lease on the part of the range not released."""
        rest = OLD_RANGE._replace(first=150)
        moved = NEW_RANGE._replace(first=100, last=149)
        outstanding = outstanding_leases.record_order(
            self.outstanding, rest, until=60
        )
        outstanding = outstanding_leases.record_release(
            outstanding, 'old', released_keys(moved), ''
        )
        outstanding = outstanding_leases.undo_order(
            outstanding, self.outstanding, rest, until=60
        )
        self.assertTrue(self.is_blocked(outstanding, 49))
        self.assertFalse(self.is_blocked(outstanding, 50))

    def test_earlier_incarnation_of_the_new_owner(self) -> None:
        """Its lease blocks other targets, but not the new incarnation."""
        restarted_range = OLD_RANGE._replace(
            owner=ranges.Owner('old', 2), fence=8
        )
        self.assertFalse(
            outstanding_leases.find_conflicting(
                self.outstanding, restarted_range, 10
            )
        )
        self.assertTrue(
            outstanding_leases.find_conflicting(self.outstanding, NEW_RANGE, 10)
        )
        self.assertFalse(
            outstanding_leases.find_conflicting(self.outstanding, NEW_RANGE, 50)
        )
        outstanding = outstanding_leases.record_release(
            self.outstanding, 'old', released_keys(NEW_RANGE), ''
        )
        self.assertFalse(
            outstanding_leases.find_conflicting(outstanding, NEW_RANGE, 10)
        )

    def test_same_owner(self) -> None:
        """A lease does not block a new fence for the same owner."""
        new_range = OLD_RANGE._replace(fence=8)
        self.assertFalse(
            outstanding_leases.find_conflicting(self.outstanding, new_range, 10)
        )

    def test_handover(self) -> None:
        """There is a handover only if one owner released the whole range."""
        inner = ranges.Range(120, 180, NEW, 4)
        outstanding = outstanding_leases.record_release(
            self.outstanding, 'old', released_keys(inner), 'token'
        )
        self.assertEqual(
            outstanding_leases.handover(outstanding, inner), 'token'
        )
        self.assertEqual(
            outstanding_leases.handover(outstanding, NEW_RANGE), ''
        )


class ReleaseTests(unittest.TestCase):
    """Which leases, and which of their keys, a release covers."""

    def test_late_release_leaves_a_later_lease(self) -> None:
        """A release covers only leases with fences lower than its own."""
        later = OLD_RANGE._replace(fence=6)
        cases = (
            (1, ()),
            (2, ()),
            (3, (2,)),
            (5, (2,)),
            (6, (2,)),
            (7, (2, 6)),
        )
        for fence, released_fences in cases:
            with self.subTest(fence=fence):
                outstanding = outstanding_leases.record_order(
                    (), OLD_RANGE, until=50
                )
                outstanding = outstanding_leases.record_order(
                    outstanding, later, until=60
                )
                outstanding = outstanding_leases.record_release(
                    outstanding, 'old', leases.Lease(0, 999, fence), ''
                )
                found = tuple(
                    lease.fence for lease in outstanding if lease.is_released
                )
                self.assertEqual(found, released_fences)

    def test_leases_of_all_incarnations_are_released(self) -> None:
        """A release covers all incarnations of its target, but no other target."""
        restarted = OLD_RANGE._replace(owner=ranges.Owner('old', 2), fence=4)
        outstanding = outstanding_leases.record_order((), OLD_RANGE, until=50)
        outstanding = outstanding_leases.record_order(
            outstanding, restarted, until=50
        )
        outstanding = outstanding_leases.record_order(
            outstanding, NEW_RANGE, until=50
        )
        outstanding = outstanding_leases.record_release(
            outstanding, 'old', leases.Lease(0, 999, 9), ''
        )
        unreleased_owners = [
            lease.owner for lease in outstanding if not lease.is_released
        ]
        self.assertEqual(unreleased_owners, [NEW])

    def test_release_of_keys_that_were_split_meanwhile(self) -> None:
        """Releases of the parts of one lease may be confirmed in any order."""
        outstanding = outstanding_leases.record_order((), OLD_RANGE, until=50)
        for first, last in ((150, 199), (100, 149)):
            span = leases.Lease(first, last, 5)
            outstanding = outstanding_leases.record_release(
                outstanding, 'old', span, ''
            )
        self.assertTrue(all(lease.is_released for lease in outstanding))

    @hypothesis.given(key_pairs, key_pairs)
    def test_no_key_is_lost(
        self,
        lease: tuple[int, int],
        part_span: tuple[int, int],
    ) -> None:
        """The pieces cover the lease, and exactly the overlap is released."""
        first, last = sorted(lease)
        low, high = sorted(part_span)
        whole = ranges.Range(first, last, OLD, 2)
        part = ranges.Range(low, high, NEW, 4)
        outstanding = outstanding_leases.record_order((), whole, until=50)
        if low > last or high < first:
            return
        pieces = outstanding_leases.record_release(
            outstanding, 'old', released_keys(part), ''
        )
        keys = sorted(
            key
            for piece in pieces
            for key in range(piece.first, piece.last + 1)
        )
        self.assertEqual(keys, list(range(first, last + 1)))
        freed = {
            key
            for piece in pieces
            if piece.is_released
            for key in range(piece.first, piece.last + 1)
        }
        self.assertEqual(
            freed, set(range(max(first, low), min(last, high) + 1))
        )
