"""At most one target runs work of a slot, in any order of events.

Each protection is taken out in turn; the exploration then finds two owners.
"""

import unittest
from unittest import mock

from bilberryglade._membership import authority
from bilberryglade._ownership import activation
from bilberryglade._ownership.tests import explorer, world as worlds

MOVES = ('move to target-b', 'move to target-a')
LOSS = ('lose entry-a', 'move to target-b')
#: Moves up to where the new owner knows of its assignment.
ASSIGNED = ('vote entry-a', 'append entry-a', 'read entry-b')
#: Moves up to where the old owner's reads have aged out.
AGED = (*ASSIGNED, 'fence entry-b', 'tick entry-a', 'tick entry-a')
LAPSED = (*AGED, 'tick entry-a', 'tick entry-a', 'tick entry-a')
#: Moves up to a send that was checked before a pause and comes long after.
PAUSED = ('pause entry-a', 'append entry-a', 'read entry-b', 'fence entry-b')
LATE = (*PAUSED, *('tick entry-a' for _ in range(5)))
#: Moves up to where a lost instance's work has lapsed.
LOST = (
    *('append entry-a', 'append entry-a', 'read entry-b', 'fence entry-b'),
    *('tick entry-a' for _ in range(5)),
)
LOST_LATE = ('pause entry-a', *LOST)
INTACT = worlds.Rules()
OUT_OF_REACH = worlds.Rules(tells_earlier_owner=False)


@authority.quorum_rules.register('nobody asked')
def unbounded(facts: authority.Facts, group: str) -> float:
    """Gives authority for ever, whoever else knows of something newer."""
    return float('inf')


class ExplorationTest(unittest.TestCase):
    """The protections as they are, and with one taken out."""

    def explored(
        self,
        script: tuple[str, ...],
        steps: tuple[str, ...],
        depth: int,
        rules: worlds.Rules = INTACT,
    ) -> explorer.Exploration:
        """Explores from where `steps` lead."""
        begin = explorer.walked(worlds.start(rules, script), steps)
        return explorer.explore(begin, depth)

    def test_every_order(self) -> None:
        """No order of events from the start gives two owners."""
        unfenced = worlds.Rules(fenced=False)
        cases = (
            (MOVES, INTACT, 4017),
            (LOSS, INTACT, 3793),
            (MOVES, unfenced, 3500),
        )
        for script, rules, states in cases:
            with self.subTest(script=script, rules=rules):
                seen = self.explored(script, (), 5, rules)
                self.assertEqual(seen.violation, ())
                self.assertGreaterEqual(seen.states, states)

    def test_every_order_around_takeover(self) -> None:
        """Nor does any order after the old owner's reads have aged out."""
        cases = (
            *((MOVES, steps, INTACT) for steps in (AGED, LAPSED, LATE)),
            *((LOSS, steps, INTACT) for steps in (LOST, LOST_LATE)),
            (MOVES, LAPSED, OUT_OF_REACH),
        )
        for script, steps, rules in cases:
            with self.subTest(script=script, steps=steps):
                seen = self.explored(script, steps, 5, rules)
                self.assertEqual(seen.violation, ())

    def test_new_owner_serves_in_the_end(self) -> None:
        """The waits are not for ever."""
        for script, steps in ((MOVES, LAPSED), (LOSS, LOST)):
            with self.subTest(script=script):
                world = explorer.walked(
                    worlds.start(INTACT, script),
                    (*steps, 'read entry-b', 'serve entry-b'),
                )
                targets = {run.target for run in world.runs}
                self.assertEqual(targets, {'target-b'})

    def test_without_activation_wait(self) -> None:
        """A new owner that acts at once meets the old one."""
        with mock.patch.object(
            activation, 'earlier_owners_have_stopped', return_value=True
        ):
            seen = self.explored(MOVES, ASSIGNED, 3)
        self.assertNotEqual(seen.violation, ())

    def test_without_quorum_rule(self) -> None:
        """An old owner that needs no votes goes on beside the new one.

        Its target is out of the new owner's reach, so only waiting protects.
        """
        rules = OUT_OF_REACH._replace(quorum='nobody asked')
        seen = self.explored(MOVES, LAPSED, 3, rules)
        self.assertNotEqual(seen.violation, ())

    def test_without_fence(self) -> None:
        """A send after a pause passes at a target that checks no fence."""
        rules = worlds.Rules(targets_check_fences=False)
        seen = self.explored(MOVES, LATE, 3, rules)
        self.assertNotEqual(seen.violation, ())

    def test_without_telling_the_earlier_owner(self) -> None:
        """An earlier owner that knows of no newer fence takes a late grant."""
        seen = self.explored(MOVES, LATE, 3, OUT_OF_REACH)
        self.assertNotEqual(seen.violation, ())
