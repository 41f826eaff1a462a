"""Which slots move, how many at a time, and which stay."""

import unittest

from bilberryglade._membership.tests import clusters
from bilberryglade._routing import placement
from bilberryglade._state import folding, state

RULES = 'service ledger path /ledger key path 2 isolation {} # by operations'
SLOTS = 256


def placed(view: state.ClusterState, **options: object) -> state.ClusterState:
    """Returns the state after one step of placement, if there is one."""
    planned = placement.plan(view, 'ledger', **options)  # type: ignore[arg-type]
    if planned is None:
        return view
    moves = [{'slot': slot, 'target': name} for slot, name in planned.moves]
    record: folding.Record = {
        'kind': 'slots_assigned',
        'service': 'ledger',
        'based_on': planned.based_on,
        'moves': moves,
    }
    return clusters.folded([record], view)


def counts(view: state.ClusterState) -> dict[str, int]:
    """Returns how many slots each target owns."""
    owners = view.services['ledger'].owners.values()
    names = [owner.target for owner in owners]
    return {name: names.count(name) for name in sorted(set(names))}


def domain(view: state.ClusterState, name: str, to: str) -> folding.Record:
    """Returns the record that takes a failure domain out or restores it."""
    known = view.failure_domains.get(name)
    return {
        'kind': 'failure_domain_changed',
        'failure_domain': name,
        'state': to,
        'based_on': known.changed_at if known else 0,
        'by': 'operations',
    }


class PlacementTest(unittest.TestCase):
    """A service with two targets in each of two failure domains."""

    def setUp(self) -> None:
        """Registers members and targets and places all slots."""
        view = clusters.folded(
            [
                clusters.joined('entry-a', 'north'),
                clusters.joined('entry-b', 'south'),
                *(
                    clusters.target(f'target-{name}-{row}', name, fenced=True)
                    for name in ('north', 'south')
                    for row in range(2)
                ),
            ],
        )
        self.view = placed(view)

    def test_even_at_first(self) -> None:
        """Each target gets its share in one step."""
        self.assertEqual(set(counts(self.view).values()), {SLOTS // 4})

    def test_domain_out_empties_at_once(self) -> None:
        """All of its slots move in one step."""
        out = clusters.folded([domain(self.view, 'north', 'out')], self.view)
        self.assertEqual(
            counts(placed(out)),
            {'target-south-0': SLOTS // 2, 'target-south-1': SLOTS // 2},
        )

    def test_restore_in_steps(self) -> None:
        """A restored domain gets its share back a few slots at a time."""
        view = self.view
        for to in ('out', 'in_service'):
            view = clusters.folded([domain(view, 'north', to)], view)
            before = view
            view = placed(view, most_voluntary=placement.MOST_VOLUNTARY)
        north = [
            count
            for name, count in counts(view).items()
            if name not in counts(before)
        ]
        self.assertEqual(sum(north), placement.MOST_VOLUNTARY)
        self.assertEqual(placed(view, most_voluntary=0), view)
        for _ in range(SLOTS // 2 // placement.MOST_VOLUNTARY):
            view = placed(view)
        self.assertEqual(set(counts(view).values()), {SLOTS // 4})

    def test_silent_domain(self) -> None:
        """Its slots move, unless the service keeps its keys there."""
        silent = frozenset(('north',))
        cases = (('yield', {SLOTS // 2}), ('keep', {SLOTS // 4}))
        for isolation, expected in cases:
            rules: folding.Record = {
                'kind': 'rules_published',
                'by': 'operations',
                'based_on': 0,
                'text': RULES.format(isolation),
            }
            view = clusters.folded([rules], self.view)
            moved = placed(view, silent=silent)
            with self.subTest(isolation=isolation):
                self.assertEqual(set(counts(moved).values()), expected)

    def test_target_without_leader_gets_nothing(self) -> None:
        """A failure domain without instances serves nobody."""
        view = clusters.folded(
            [clusters.left(self.view, 'entry-a')],
            self.view,
        )
        self.assertNotIn('target-north-0', counts(placed(view)))
