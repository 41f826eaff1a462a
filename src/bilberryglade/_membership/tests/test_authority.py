"""Authority by reads and by votes, and when it has ended."""

import unittest

import hypothesis
from hypothesis import strategies

from bilberryglade._membership import authority, endings
from bilberryglade._membership.tests import clusters

NAMES = ('entry-a', 'entry-b', 'entry-c', 'entry-d')


class AuthorityTest(unittest.TestCase):
    """Whether an instance may act."""

    def setUp(self) -> None:
        """Joins three instances."""
        self.view = clusters.folded(clusters.joined(row) for row in NAMES[:3])

    def until(self, *heard: str, **changes: float) -> float:
        """Returns until when entry-a may act, having heard others at 10."""
        signs = [clusters.sign_of(self.view, name, 10) for name in heard]
        facts = clusters.facts_of(self.view, 'entry-a', signs, **changes)
        return authority.authority_until(facts, authority.GROUP_OF_ALL)

    def test_read_gives_authority(self) -> None:
        """A read counts from when it began."""
        self.assertEqual(self.until(fresh_at=5), 7)

    def test_either_is_enough(self) -> None:
        """A young read or votes give authority; neither gives none."""
        sign = clusters.sign_of(self.view, 'entry-b', 10)
        cases = (
            (5, (), 6, True),
            (5, (), 8, False),
            (5, (sign,), 11, True),
            (5, (sign,), 12, False),
        )
        for fresh_at, signs, now, expected in cases:
            facts = clusters.facts_of(self.view, 'entry-a', signs, fresh_at)
            with self.subTest(signs=signs, now=now):
                self.assertEqual(
                    authority.has_authority(facts, '', now),
                    expected,
                )

    def test_votes_of_majority(self) -> None:
        """A majority counts from the oldest heartbeat it needs."""
        cases = (((), authority.NEVER), (('entry-b',), 12))
        for heard, expected in cases:
            with self.subTest(heard=heard):
                self.assertEqual(self.until(*heard), expected)

    def test_vote_of_other_process_counts_not(self) -> None:
        """A restarted voter is another member."""
        sign = clusters.sign_of(self.view, 'entry-b', 10)
        restarted = sign._replace(joined_at=99)
        facts = clusters.facts_of(self.view, 'entry-a', [restarted])
        until = authority.authority_until(facts, authority.GROUP_OF_ALL)
        self.assertEqual(until, authority.NEVER)

    def test_newer_knowledge_is_a_veto(self) -> None:
        """A peer that knows more takes reads of a stale replica away too."""
        newer = clusters.folded([clusters.joined('entry-d')], self.view)
        sign = clusters.sign_of(newer, 'entry-b', 10)
        facts = clusters.facts_of(self.view, 'entry-a', [sign], fresh_at=10)
        until = authority.authority_until(facts, authority.GROUP_OF_ALL)
        self.assertEqual(until, authority.NEVER)

    def test_expelled_instance_has_none(self) -> None:
        """Whoever is no member may not act, however fresh its read."""
        self.view = clusters.folded(
            [clusters.left(self.view, 'entry-a')],
            self.view,
        )
        self.assertEqual(self.until(fresh_at=5), authority.NEVER)

    def test_lone_member_has_no_quorum(self) -> None:
        """One member alone cannot know that it was not replaced."""
        self.view = clusters.folded([clusters.joined('entry-a')])
        self.assertEqual(self.until(), authority.NEVER)


class EndingsTest(unittest.TestCase):
    """When nobody acts on an earlier state any more."""

    def setUp(self) -> None:
        """Joins four instances and loses one."""
        joined = clusters.folded(clusters.joined(row) for row in NAMES)
        self.before = clusters.folded(
            [clusters.settled(joined, 'north')],
            joined,
        )
        lost = clusters.left(self.before, 'entry-a')
        self.view = clusters.folded([lost], self.before)
        self.lost_at = self.view.offset

    def confirmed(self, *heard: str) -> bool:
        """Tells whether entry-b knows enough, having heard others."""
        signs = [clusters.sign_of(self.view, name, 10) for name in heard]
        facts = clusters.facts_of(self.view, 'entry-b', signs)
        return endings.is_confirmed(facts, '', self.lost_at)

    def test_needs_enough_of_the_old_group(self) -> None:
        """Two of four leave no majority to the lost one."""
        self.assertFalse(self.confirmed())
        self.assertTrue(self.confirmed('entry-c'))

    def test_old_offset_confirms_nothing(self) -> None:
        """A peer that has not folded the change may still vote."""
        sign = clusters.sign_of(self.before, 'entry-c', 10)
        facts = clusters.facts_of(self.view, 'entry-b', [sign])
        self.assertFalse(endings.is_confirmed(facts, '', self.view.offset))

    def test_address_that_changed_hands_confirms(self) -> None:
        """A new process at a lost voter's address took its votes away."""
        again = clusters.joined('entry-a', boot='another-boot')
        self.view = clusters.folded([again], self.view)
        self.assertTrue(self.confirmed('entry-a'))

    def test_confirmed_off_domain_counts(self) -> None:
        """Operators may vouch for a failure domain that is off."""
        off = {
            'kind': 'failure_domain_changed',
            'failure_domain': 'north',
            'state': 'out',
            'based_on': 0,
            'by': 'operations',
        }
        for is_off in (False, True):
            record = {**off, 'confirmed_off': is_off}
            self.view = clusters.folded([record], self.view)
            off['based_on'] = self.view.offset
            with self.subTest(is_off=is_off):
                self.assertEqual(self.confirmed(), is_off)

    def test_ends_after_votes_aged_out(self) -> None:
        """The end lies one bound of authority after the confirmation."""
        sign = clusters.sign_of(self.view, 'entry-c', 10)
        facts = clusters.facts_of(self.view, 'entry-b', [sign])
        offset = self.view.offset
        noted = endings.note_change(endings.Endings(''), offset)
        self.assertEqual(
            endings.ended_at(noted, self.view, offset),
            endings.UNKNOWN,
        )
        advanced = endings.advance(noted, facts, 10.5)
        self.assertEqual(endings.ended_at(advanced, self.view, offset), 12.5)
        self.assertEqual(
            endings.settled_offset(advanced, 2, 14.5),
            offset,
        )

    def test_record_ends_epochs(self) -> None:
        """The record lets later readers forget earlier members."""
        self.assertEqual(len(self.view.epochs), 1)
        record = clusters.settled(self.view, 'north')
        self.assertEqual(clusters.folded([record], self.view).epochs, ())


class IntersectionTest(unittest.TestCase):
    """Votes and confirmations cannot both be had at one moment."""

    @hypothesis.given(
        size=strategies.integers(2, 9),
        folded=strategies.sets(strategies.integers(0, 8)),
        asked=strategies.sets(strategies.integers(0, 8)),
    )
    def test_votes_and_confirmations_exclude_each_other(
        self,
        size: int,
        folded: set[int],
        asked: set[int],
    ) -> None:
        """Whoever was asked after it folded the change gives no vote."""
        names = [f'entry-{row}' for row in range(size)]
        joined = clusters.folded(clusters.joined(name) for name in names)
        before = clusters.folded([clusters.settled(joined, 'north')], joined)
        lost = clusters.left(before, 'entry-0')
        after = clusters.folded([lost], before)
        knows = {names[row] for row in folded if 0 < row < size}
        knows.add('entry-1')
        views = {name: after if name in knows else before for name in names}
        replies = [
            clusters.sign_of(views[names[row]], names[row], 10)
            for row in asked
            if 0 < row < size
        ]
        holder = clusters.facts_of(before, 'entry-0', replies)
        may_act = authority.authority_until(holder, '') > 10
        confirming = [clusters.sign_of(after, name, 10) for name in knows]
        successor = clusters.facts_of(after, 'entry-1', confirming)
        is_confirmed = endings.is_confirmed(successor, '', after.offset)
        self.assertFalse(may_act and is_confirmed)
