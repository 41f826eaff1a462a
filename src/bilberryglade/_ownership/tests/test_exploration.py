"""At most one target runs requests of a slot, in any order of events.

Other tests remove one protection each and check that the exploration then
finds two owners.
"""

import unittest
from unittest import mock

from bilberryglade._membership import authority
from bilberryglade._ownership import activation
from bilberryglade._ownership.tests import cluster_model, explorer

MOVE_SCRIPT = ('move to target-b', 'move to target-a')
LOSS_SCRIPT = ('lose entry-a', 'move to target-b')
#: Moves after which the new owner has read its assignment.
ASSIGNED = ('vote entry-a', 'append entry-a', 'read entry-b')
#: Moves after which the old owner's reads give no authority any more.
READS_EXPIRED = (*ASSIGNED, 'fence entry-b', 'tick entry-a', 'tick entry-a')
#: Moves after which the old owner's grants have expired, too.
GRANTS_EXPIRED = (
    *READS_EXPIRED,
    'tick entry-a',
    'tick entry-a',
    'tick entry-a',
)
#: Moves during which the old owner is paused between check and send.
PAUSED = ('pause entry-a', 'append entry-a', 'read entry-b', 'fence entry-b')
#: Moves after which the paused send is long overdue.
DELAYED_SEND = (*PAUSED, *('tick entry-a' for _ in range(5)))
#: Moves after which requests of a lost instance can run no longer.
AFTER_LOSS = (
    *('append entry-a', 'append entry-a', 'read entry-b', 'fence entry-b'),
    *('tick entry-a' for _ in range(5)),
)
AFTER_LOSS_DELAYED_SEND = ('pause entry-a', *AFTER_LOSS)
ALL_PROTECTIONS = cluster_model.Protections()
EARLIER_OWNER_UNREACHABLE = cluster_model.Protections(
    fences_off_earlier_owner=False
)


@authority.quorum_rules.register('no votes needed')
def unlimited_authority(facts: authority.Facts, group: str) -> float:
    """Gives unlimited authority, whatever newer changes others have read."""
    return float('inf')


class ExplorationTest(unittest.TestCase):
    """Explorations with all protections, and with one of them removed."""

    def explore(
        self,
        script: tuple[str, ...],
        steps: tuple[str, ...],
        depth: int,
        protections: cluster_model.Protections = ALL_PROTECTIONS,
    ) -> explorer.Exploration:
        """Explores from the state of the model after `steps`."""
        start = explorer.apply_moves(
            cluster_model.initial_model(protections, script), steps
        )
        return explorer.explore(start, depth)

    def test_every_order(self) -> None:
        """No order of moves from the start leads to two owners."""
        unfenced = cluster_model.Protections(fenced=False)
        cases = (
            (MOVE_SCRIPT, ALL_PROTECTIONS, 4017),
            (LOSS_SCRIPT, ALL_PROTECTIONS, 3793),
            (MOVE_SCRIPT, unfenced, 3500),
        )
        for script, protections, states in cases:
            with self.subTest(script=script, protections=protections):
                exploration = self.explore(script, (), 5, protections)
                self.assertEqual(exploration.violation, ())
                self.assertGreaterEqual(exploration.states, states)

    def test_every_order_around_takeover(self) -> None:
        """No order of moves around a takeover leads to two owners.

        They start after authority, grants or a lost instance have expired.
        """
        cases = (
            *(
                (MOVE_SCRIPT, steps, ALL_PROTECTIONS)
                for steps in (READS_EXPIRED, GRANTS_EXPIRED, DELAYED_SEND)
            ),
            *(
                (LOSS_SCRIPT, steps, ALL_PROTECTIONS)
                for steps in (AFTER_LOSS, AFTER_LOSS_DELAYED_SEND)
            ),
            (MOVE_SCRIPT, GRANTS_EXPIRED, EARLIER_OWNER_UNREACHABLE),
        )
        for script, steps, protections in cases:
            with self.subTest(script=script, steps=steps):
                exploration = self.explore(script, steps, 5, protections)
                self.assertEqual(exploration.violation, ())

    def test_new_owner_serves_in_the_end(self) -> None:
        """The new owner serves once the old one's grants have expired."""
        for script, steps in (
            (MOVE_SCRIPT, GRANTS_EXPIRED),
            (LOSS_SCRIPT, AFTER_LOSS),
        ):
            with self.subTest(script=script):
                model = explorer.apply_moves(
                    cluster_model.initial_model(ALL_PROTECTIONS, script),
                    (*steps, 'read entry-b', 'serve entry-b'),
                )
                targets = {request.target for request in model.requests}
                self.assertEqual(targets, {'target-b'})

    def test_without_activation_wait(self) -> None:
        """A new owner that does not wait serves beside the old one."""
        with mock.patch.object(
            activation, 'earlier_owners_have_stopped', return_value=True
        ):
            exploration = self.explore(MOVE_SCRIPT, ASSIGNED, 3)
        self.assertNotEqual(exploration.violation, ())

    def test_without_quorum_rule(self) -> None:
        """An old owner that needs no votes serves beside the new one.

        The new owner cannot reach the old target to fence it off, so waiting
        is the only protection.
        """
        protections = EARLIER_OWNER_UNREACHABLE._replace(
            quorum_rule='no votes needed'
        )
        exploration = self.explore(MOVE_SCRIPT, GRANTS_EXPIRED, 3, protections)
        self.assertNotEqual(exploration.violation, ())

    def test_without_fence(self) -> None:
        """A target that checks no fence accepts a request sent after a pause."""
        protections = cluster_model.Protections(targets_check_fences=False)
        exploration = self.explore(MOVE_SCRIPT, DELAYED_SEND, 3, protections)
        self.assertNotEqual(exploration.violation, ())

    def test_without_fencing_off_the_earlier_owner(self) -> None:
        """An earlier owner that got no newer fence accepts a delayed grant."""
        exploration = self.explore(
            MOVE_SCRIPT, DELAYED_SEND, 3, EARLIER_OWNER_UNREACHABLE
        )
        self.assertNotEqual(exploration.violation, ())
