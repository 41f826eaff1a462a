"""Tests of a home that moves as planned."""

import unittest

import immutables

from bilberryglade._limits import home, tokens
from bilberryglade._routing import roles
from bilberryglade._state import state

LIMIT = tokens.Limit(rate=10, burst=8)
SPANS = home.Spans(authority=0.8, token=0.4, drift=0.01)
OLD = 'entry-old'
NEW = 'entry-new'


def _view(offset: int, *names: str) -> state.ClusterState:
    members = {name: state.Member(name, name, '', '', '', 1) for name in names}
    return state.ClusterState(
        offset=offset,
        members=immutables.Map(members),
        topology_changed_at=offset,
    )


BEFORE = _view(1, OLD)
AFTER = _view(2, OLD, NEW)
NAMES = tuple(tokens.QuotaName(f'member-{row}', 'open') for row in range(99))
QUOTA = next(name for name in NAMES if roles.quota_home(AFTER, *name) == NEW)


def _asked(
    kept: home.Home,
    needed: int,
    now: float,
    sequence: int = 1,
) -> home.Answered:
    ask = tokens.Ask('entry', sequence, needed, 0)
    return home.answer(kept, QUOTA, LIMIT, ask, True, now)


def _old_home() -> home.Home:
    """Returns a home that has given 5 of 8 tokens at time 100."""
    old = home.observe(home.Home(OLD, OLD, SPANS), BEFORE, 0).home
    return _asked(old, 5, 100).home


def _new_home(view: state.ClusterState = AFTER) -> home.Home:
    return home.observe(home.Home(NEW, NEW, SPANS), view, 100.1).home


class HandoverTest(unittest.TestCase):
    """What an old home hands over."""

    def setUp(self) -> None:
        """Moves the quota from the old home."""
        observed = home.observe(_old_home(), AFTER, 100.1)
        self.old = observed.home
        self.handover = observed.handovers[0]

    def test_new_home_goes_on(self) -> None:
        """The new home gives what is left at once, and no more."""
        new = home.receive(_new_home(), self.handover, 100.1)
        answered = _asked(new, 8, 100.1)
        self.assertEqual(answered.grant.amount, 3)
        self.assertEqual(_asked(answered.home, 8, 100.2, 2).grant.amount, 0)
        self.assertEqual(_asked(self.old, 8, 100.1, 2).grant.amount, 0)

    def test_outstanding_tokens_count(self) -> None:
        """Without them the new home would earn beside spent tokens."""
        for given, amount in ((5, 3), (0, 6)):
            with self.subTest(given):
                handover = self.handover._replace(given=given)
                new = home.receive(_new_home(), handover, 100.1)
                self.assertEqual(_asked(new, 8, 100.4).grant.amount, amount)

    def test_copies_and_strays(self) -> None:
        """A copy adds nothing; one for another term is not believed."""
        new = home.receive(_new_home(), self.handover, 100.1)
        spent = _asked(new, 3, 100.1).home
        again = home.receive(spent, self.handover, 100.2)
        self.assertEqual(_asked(again, 3, 100.2, 2).grant.amount, 0)
        later = _new_home(_view(3, OLD, NEW))
        stray = home.receive(later, self.handover, 100.1)
        self.assertFalse(_asked(stray, 3, 100.2).grant.confirmed)

    def test_no_handover(self) -> None:
        """Without one the new home waits, and so does one after a batch."""
        waits = _asked(_new_home(), 3, 100.2).grant
        self.assertFalse(waits.confirmed)
        self.assertAlmostEqual(waits.retry_seconds, 1.112)
        batch = home.observe(_old_home(), _view(3, OLD, NEW), 100.1)
        self.assertEqual(batch.handovers, ())
