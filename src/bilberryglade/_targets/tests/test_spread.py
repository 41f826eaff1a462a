"""Requests without a key go where answers come soonest."""

import collections
import time
import unittest

import immutables

from bilberryglade._state import state
from bilberryglade._targets import spread
from bilberryglade._values import outcomes, requests

ANSWER = outcomes.Answered(200, (), b'')


def target_of(name: str) -> state.TargetState:
    """Returns a live target."""
    return state.TargetState(
        target=name,
        service='claims',
        failure_domain='north',
        address='127.0.0.1:1',
        concurrency=2,
        fenced=True,
        state='live',
        changed_at=1,
    )


NAMES = ('claims-0', 'claims-1', 'claims-2')
MEMBER = state.Member('entry-0', 'boot', 'north', '127.0.0.1:2', '', 1)
VIEW = state.ClusterState(
    members=immutables.Map({'entry-0': MEMBER}),
    targets=immutables.Map({name: target_of(name) for name in NAMES}),
    services=immutables.Map(
        {
            'claims': state.ServiceSlots(
                changed_at=5,
                owners=immutables.Map(
                    {
                        slot: state.SlotOwner(name, 5, '', 0)
                        for slot, name in enumerate(NAMES)
                    },
                ),
            ),
        },
    ),
)
REQUEST = requests.RoutedRequest(
    request_id='request',
    organisation='minders',
    service='claims',
    slot=2,
    key='',
    method='GET',
    path='/claims',
    headers=(),
    body=b'',
    deadline=time.monotonic() + 5,
    repeatable=True,
    idempotency_digest='',
)


class SpreadTest(unittest.TestCase):
    """Choices from what was seen."""

    def setUp(self) -> None:
        """Has seen one quick answer of each target."""
        self.spread = spread.Spread()
        for name in NAMES:
            self.answer(name, 0.01)

    def answer(self, name: str, seconds: float) -> None:
        """Sees an answer of a target."""
        self.spread.sent(name)
        self.spread.ended(name, ANSWER, seconds)

    def test_straggler_is_avoided(self) -> None:
        """A target that answered late gets nothing while others are free."""
        self.answer('claims-1', 0.5)
        counts = collections.Counter(
            self.spread.slot_for(VIEW, REQUEST) for _ in range(60)
        )
        self.assertEqual(set(counts), {0, 2})

    def test_bound_requests_keep_their_slot(self) -> None:
        """A key or the caller's own name decides, whatever was seen."""
        self.answer('claims-2', 5)
        for bound in (
            REQUEST._replace(key='child-7'),
            REQUEST._replace(idempotency_digest='0' * 32),
        ):
            with self.subTest(key=bound.key):
                self.assertEqual(self.spread.slot_for(VIEW, bound), 2)

    def test_drained_target_is_no_choice(self) -> None:
        """A target that takes no work is left out as soon as that is known."""
        drained = target_of('claims-0')._replace(state='draining')
        view = VIEW._replace(
            targets=VIEW.targets.set('claims-0', drained),
            topology_changed_at=6,
        )
        self.spread.slot_for(VIEW, REQUEST)
        slots = {self.spread.slot_for(view, REQUEST) for _ in range(60)}
        self.assertEqual(slots, {1, 2})

    def test_cancelled_requests_are_not_outstanding(self) -> None:
        """A request that its caller gave up frees its place in the count."""
        self.spread.sent('claims-0')
        self.spread.ended('claims-0', None, 0.02)
        self.assertEqual(self.spread.views['claims-0'].outstanding, 0)
