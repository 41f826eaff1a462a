"""Leases that targets may hold: when keys are free for the next owner."""

import unittest

import hypothesis
from hypothesis import strategies

from bilberryglade._ownership import holds, ranges
from bilberryglade._values import leases

OLD = ranges.Owner('old', 1)
NEW = ranges.Owner('new', 1)
OLD_RANGE = ranges.Range(100, 199, OLD, 2)
NEW_RANGE = ranges.Range(150, 249, NEW, 4)
spans = strategies.tuples(
    strategies.integers(0, 99), strategies.integers(0, 99)
)


def given(entry: ranges.Range) -> leases.Lease:
    """Returns the keys that others give back for a range."""
    return leases.Lease(entry.first, entry.last, ranges.release_fence(entry))


class FreeTests(unittest.TestCase):
    """When a range may be granted to its new owner."""

    def setUp(self) -> None:
        """The old owner was granted its range, and confirmed it."""
        ordered = holds.ordered((), OLD_RANGE, until=50)
        self.held = holds.confirmed(ordered, OLD_RANGE, before=0)

    def blocked(self, known: tuple[holds.Hold, ...], now: float) -> bool:
        """Tells whether the new owner has to wait."""
        return bool(holds.in_the_way(known, NEW_RANGE, now))

    def test_time(self) -> None:
        """A lease that nobody released is waited for."""
        self.assertTrue(self.blocked(self.held, 49))
        self.assertFalse(self.blocked(self.held, 50))

    def test_release(self) -> None:
        """A confirmed release frees the released keys alone."""
        known = holds.released(self.held, 'old', given(NEW_RANGE), 'word')
        self.assertFalse(self.blocked(known, 10))
        rest = ranges.Range(100, 149, NEW, 6)
        self.assertTrue(holds.in_the_way(known, rest, 10))

    def test_unanswered_order(self) -> None:
        """An order that may come late outlasts a release."""
        known = holds.ordered(self.held, OLD_RANGE, until=60)
        known = holds.released(
            known, 'old', given(OLD_RANGE._replace(fence=4)), ''
        )
        self.assertTrue(self.blocked(known, 59))
        self.assertFalse(self.blocked(known, 60))

    def test_order_never_sent(self) -> None:
        """An order of which no byte went out leaves what was before."""
        known = holds.ordered(self.held, OLD_RANGE, until=60)
        known = holds.withdrawn(known, self.held, OLD_RANGE, until=60)
        self.assertEqual(known, self.held)

    def test_order_never_sent_for_keys_that_were_cut_meanwhile(self) -> None:
        """What the owner keeps of its earlier range is still its own."""
        rest = OLD_RANGE._replace(first=150)
        moved = NEW_RANGE._replace(first=100, last=149)
        known = holds.ordered(self.held, rest, until=60)
        known = holds.released(known, 'old', given(moved), '')
        known = holds.withdrawn(known, self.held, rest, until=60)
        self.assertTrue(self.blocked(known, 49))
        self.assertFalse(self.blocked(known, 50))

    def test_earlier_life_of_the_new_owner(self) -> None:
        """It is not waited for by its own later life, and is by others."""
        own = OLD_RANGE._replace(owner=ranges.Owner('old', 2), fence=8)
        self.assertFalse(holds.in_the_way(self.held, own, 10))
        self.assertTrue(holds.in_the_way(self.held, NEW_RANGE, 10))
        self.assertFalse(holds.in_the_way(self.held, NEW_RANGE, 50))
        known = holds.released(self.held, 'old', given(NEW_RANGE), '')
        self.assertFalse(holds.in_the_way(known, NEW_RANGE, 10))

    def test_same_owner(self) -> None:
        """Nobody stands in its own way."""
        own = OLD_RANGE._replace(fence=8)
        self.assertFalse(holds.in_the_way(self.held, own, 10))

    def test_handover(self) -> None:
        """Warm state goes on only if one owner released the whole range."""
        inner = ranges.Range(120, 180, NEW, 4)
        known = holds.released(self.held, 'old', given(inner), 'word')
        self.assertEqual(holds.handover(known, inner), 'word')
        self.assertEqual(holds.handover(known, NEW_RANGE), '')


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
        for fence, freed in cases:
            with self.subTest(fence=fence):
                known = holds.ordered((), OLD_RANGE, until=50)
                known = holds.ordered(known, later, until=60)
                known = holds.released(
                    known, 'old', leases.Lease(0, 999, fence), ''
                )
                found = tuple(hold.fence for hold in known if hold.is_released)
                self.assertEqual(found, freed)

    def test_leases_of_all_lives_are_released(self) -> None:
        """A later life answers for those before it, and nobody for others."""
        reborn = OLD_RANGE._replace(owner=ranges.Owner('old', 2), fence=4)
        known = holds.ordered((), OLD_RANGE, until=50)
        known = holds.ordered(known, reborn, until=50)
        known = holds.ordered(known, NEW_RANGE, until=50)
        known = holds.released(known, 'old', leases.Lease(0, 999, 9), '')
        held = [hold.owner for hold in known if not hold.is_released]
        self.assertEqual(held, [NEW])

    def test_release_of_keys_that_were_cut_meanwhile(self) -> None:
        """Two takers of one lease get their answers in any order."""
        known = holds.ordered((), OLD_RANGE, until=50)
        for first, last in ((150, 199), (100, 149)):
            span = leases.Lease(first, last, 5)
            known = holds.released(known, 'old', span, '')
        self.assertTrue(all(hold.is_released for hold in known))

    @hypothesis.given(spans, spans)
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
        known = holds.ordered((), whole, until=50)
        if low > last or high < first:
            return
        pieces = holds.released(known, 'old', given(part), '')
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
