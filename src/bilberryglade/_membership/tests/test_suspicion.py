"""Who is expelled, by whom, and who never is."""

import typing
import unittest

from bilberryglade._membership import authority, signs, suspicion
from bilberryglade._membership.tests import clusters
from bilberryglade._state import state

PATIENCE = suspicion.Patience(suspect=1, heartbeat=0.2)
Heard: typing.TypeAlias = dict[str, float]
Case: typing.TypeAlias = tuple[Heard, set[str]]

NORTH = ('entry-a', 'entry-b', 'entry-c')


class SuspicionTest(unittest.TestCase):
    """Decisions of entry-a, unless another is named."""

    def setUp(self) -> None:
        """Joins three instances in one failure domain and two in another."""
        records = [clusters.joined(name) for name in NORTH]
        records.extend(
            clusters.joined(name, 'south') for name in ('entry-s', 'entry-t')
        )
        self.view = clusters.folded(records)

    def watched(
        self,
        heard: dict[str, float],
        now: float,
        name: str = 'entry-a',
    ) -> tuple[suspicion.Watch, authority.Facts]:
        """Looks from 0 to `now`, having heard others at the given moments."""
        answers: list[signs.Sign] = [
            clusters.sign_of(self.view, other, moment)
            for other, moment in heard.items()
        ]
        facts = clusters.facts_of(self.view, name, answers)
        watch = suspicion.look(suspicion.Watch(), facts, 0)
        for half_second in range(1, int(now * 2) + 1):
            watch = suspicion.look(watch, facts, half_second / 2)
        return watch, facts

    def lost(
        self,
        heard: dict[str, float],
        now: float,
        name: str = 'entry-a',
    ) -> list[str]:
        """Returns the names that are expelled at `now`."""
        watch, facts = self.watched(heard, now, name)
        found = suspicion.lost_members(watch, facts, PATIENCE)
        return [member.instance for member in found]

    def test_silent_member_is_expelled(self) -> None:
        """After its time, and the survivor's turn."""
        heard = {'entry-b': 3.0, 'entry-s': 3.0}
        self.assertEqual(self.lost(heard, 1), [])
        self.assertEqual(self.lost(heard, 3), ['entry-c'])

    def test_other_domains_are_left_alone(self) -> None:
        """Nobody expels an instance of another failure domain."""
        self.assertEqual(self.lost({'entry-b': 9, 'entry-c': 9}, 9), [])

    def test_whoever_hears_nobody_expels_nobody(self) -> None:
        """It should rather suspect itself."""
        self.assertEqual(self.lost({}, 9), [])

    def test_pause_gives_time_anew(self) -> None:
        """A process that was paused does not blame the others."""
        heard = {'entry-b': 3.0, 'entry-s': 3.0}
        watch, facts = self.watched(heard, 3)
        watch = suspicion.look(watch, facts, 60)
        self.assertEqual(
            suspicion.lost_members(watch, facts, PATIENCE),
            [],
        )

    def test_survivors_take_turns(self) -> None:
        """One survivor comes before the other."""
        heard = {'entry-a': 3.0, 'entry-b': 3.0}
        for now in (1.5, 2.0):
            by_a = self.lost(heard, now, 'entry-a')
            by_b = self.lost(heard, now, 'entry-b')
            with self.subTest(now=now):
                self.assertEqual((by_a + by_b)[:1], ['entry-c'])

    def test_silent_domain(self) -> None:
        """Only whoever hears a majority calls a domain silent."""
        cases: list[Case] = [
            ({'entry-b': 9, 'entry-c': 9}, {'south'}),
            ({'entry-b': 9}, set()),
        ]
        for heard, silent in cases:
            with self.subTest(heard=heard):
                watch, facts = self.watched(heard, 9)
                found = suspicion.silent_domains(watch, facts, PATIENCE)
                self.assertEqual(found, silent)

    def test_of_two_that_expel_each_other_one_stays(self) -> None:
        """The record of one that is expelled already does not count."""
        first = self._by('entry-a', 'entry-b')
        after = clusters.folded([first], self.view)
        with self.assertRaisesRegex(AssertionError, 'no member any more'):
            clusters.folded([self._by('entry-b', 'entry-a')], after)

    def _by(self, observer: str, lost: str) -> dict[str, object]:
        members: dict[str, state.Member] = dict(self.view.members)
        by_joined_at = members[observer].joined_at
        return {**clusters.left(self.view, lost), 'by_joined_at': by_joined_at}
