"""Leases that targets may hold: when keys are free for the next owner."""

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
    """Returns the keys that others give back for a range."""
    return leases.Lease(entry.first, entry.last, ranges.release_fence(entry))


class ConflictTests(unittest.TestCase):
    """When a range may be granted to its new owner."""

    def setUp(self) -> None:
        """The old owner was granted its range, and confirmed it."""
        ordered = outstanding_leases.record_order((), OLD_RANGE, until=50)
        self.outstanding = outstanding_leases.record_confirmation(
            ordered, OLD_RANGE, earlier_unanswered_until=0
        )

    def is_blocked(
        self,
        outstanding: tuple[outstanding_leases.OutstandingLease, ...],
        now: float,
    ) -> bool:
        """Tells whether the new owner has to wait."""
        return bool(
            outstanding_leases.find_conflicting(outstanding, NEW_RANGE, now)
        )

    def test_unreleased_lease(self) -> None:
        """A lease that nobody released is waited for."""
        self.assertTrue(self.is_blocked(self.outstanding, 49))
        self.assertFalse(self.is_blocked(self.outstanding, 50))

    def test_release(self) -> None:
        """A confirmed release frees the released keys alone."""
        outstanding = outstanding_leases.record_release(
            self.outstanding, 'old', released_keys(NEW_RANGE), 'word'
        )
        self.assertFalse(self.is_blocked(outstanding, 10))
        rest = ranges.Range(100, 149, NEW, 6)
        self.assertTrue(
            outstanding_leases.find_conflicting(outstanding, rest, 10)
        )

    def test_unanswered_order(self) -> None:
        """An order that may come late outlasts a release."""
        outstanding = outstanding_leases.record_order(
            self.outstanding, OLD_RANGE, until=60
        )
        outstanding = outstanding_leases.record_release(
            outstanding, 'old', released_keys(OLD_RANGE._replace(fence=4)), ''
        )
        self.assertTrue(self.is_blocked(outstanding, 59))
        self.assertFalse(self.is_blocked(outstanding, 60))

    def test_order_never_sent(self) -> None:
        """An order of which no byte went out leaves what was before."""
        outstanding = outstanding_leases.record_order(
            self.outstanding, OLD_RANGE, until=60
        )
        outstanding = outstanding_leases.undo_order(
            outstanding, self.outstanding, OLD_RANGE, until=60
        )
        self.assertEqual(outstanding, self.outstanding)

    def test_order_never_sent_for_keys_that_were_split_meanwhile(self) -> None:
        """What the owner keeps of its earlier range is still its own."""
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
        """It is not waited for by its own later life, and is by others."""
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
        """Nobody stands in its own way."""
        new_range = OLD_RANGE._replace(fence=8)
        self.assertFalse(
            outstanding_leases.find_conflicting(self.outstanding, new_range, 10)
        )

    def test_handover(self) -> None:
        """Warm state goes on only if one owner released the whole range."""
        inner = ranges.Range(120, 180, NEW, 4)
        outstanding = outstanding_leases.record_release(
            self.outstanding, 'old', released_keys(inner), 'word'
        )
        self.assertEqual(
            outstanding_leases.handover(outstanding, inner), 'word'
        )
        self.assertEqual(
            outstanding_leases.handover(outstanding, NEW_RANGE), ''
        )


class ReleaseTests(unittest.TestCase):
    """Parts of a lease that are released."""

    def test_late_release_leaves_a_later_lease(self) -> None:
        """Only what was given under lower fences counts as given back."""
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
        """A later life answers for those before it, and nobody for others."""
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
        """Two takers of one lease get their answers in any order."""
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
        """Pieces cover the lease, and just the overlap is released."""
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
