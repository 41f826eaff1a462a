"""One coordinator at a time, in every order of claims, pauses and losses."""

import itertools
import typing
import unittest

from bilberryglade._membership import leadership

NAMES: typing.Final = ('a', 'b', 'c')
STEP_SECONDS: typing.Final = 0.9
DEPTH: typing.Final = 7


class World:
    """A topic of claims, and instances that read it and append to it."""

    def __init__(self) -> None:
        """Nobody has claimed."""
        self.now: float = 0
        self.claims: list[tuple[str, int]] = []
        self.states = {name: leadership.State() for name in NAMES}
        self.sequences = dict.fromkeys(NAMES, 0)
        self.told = dict.fromkeys(NAMES, leadership.Told(-1, 0))

    def tell(self, name: str) -> None:
        """An instance hears of the newest claim from its holder."""
        newest = len(self.claims) - 1
        if newest > self.told[name].offset:
            self.told[name] = leadership.Told(newest, self.now)

    def read(self, name: str) -> None:
        """An instance reads the newest claim."""
        if not self.claims:
            return
        holder, sequence = self.claims[-1]
        seen = leadership.Seen(
            offset=len(self.claims) - 1,
            holder=holder,
            boot=holder,
            address=holder,
            sequence=sequence,
            is_resigned=False,
            first_seen=self.now,
        )
        dated = leadership.dated(seen, self.told[name])
        state = leadership.observe(self.states[name], dated)
        if holder != name:
            state = leadership.lost(state)
        self.states[name] = state

    def act(self, name: str) -> None:
        """An instance renews, or claims if it may, on what it has read."""
        state = self.states[name]
        holds = leadership.holds(state, self.now)
        if not holds:
            state = leadership.lost(state)
            if not leadership.may_claim(state, name, self.now):
                self.states[name] = state
                return
        end = 0 if state.seen is None else state.seen.offset + 1
        if holds:
            end = state.newest + 1
        if end != len(self.claims):
            self.states[name] = leadership.lost(state)
            return
        self.sequences[name] += 1
        self.claims.append((name, self.sequences[name]))
        self.states[name] = leadership.claimed(state, end, self.now)

    def holders(self) -> list[str]:
        """Returns who coordinates now."""
        return [
            name
            for name in NAMES
            if leadership.holds(self.states[name], self.now)
        ]


def step(world: World, move: tuple[str, str]) -> None:
    """Performs one move; time passes with `wait`."""
    kind, name = move
    if kind == 'wait':
        world.now += STEP_SECONDS
    elif kind == 'read':
        world.read(name)
    elif kind == 'tell':
        world.tell(name)
    else:
        world.act(name)


MOVES: typing.Final = (
    ('wait', ''),
    *((kind, name) for name in NAMES[:2] for kind in ('read', 'act')),
)
TOLD_MOVES: typing.Final = (
    ('wait', ''),
    ('act', 'a'),
    ('tell', 'b'),
    ('read', 'b'),
    ('act', 'b'),
)


class ExplorationTests(unittest.TestCase):
    """Every order of moves."""

    def test_at_most_one_coordinator(self) -> None:
        """Whatever is read late or not at all, two never hold at once."""
        self.assertEqual(self.explore(MOVES), len(MOVES) ** DEPTH)

    def test_claims_that_are_told(self) -> None:
        """The same holds where followers hear of claims before they read."""
        self.assertEqual(self.explore(TOLD_MOVES), len(TOLD_MOVES) ** DEPTH)

    def explore(self, kinds: tuple[tuple[str, str], ...]) -> int:
        """Goes through every order of moves; returns their number."""
        orders = 0
        for moves in itertools.product(kinds, repeat=DEPTH):
            world = World()
            for move in moves:
                step(world, move)
                self.assertLessEqual(len(world.holders()), 1, moves)
            orders += 1
        return orders


class ClaimTests(unittest.TestCase):
    """When a claim is allowed."""

    def seen(self, **changes: typing.Any) -> leadership.State:
        """Returns the state of `a` after it read a claim of `b` at 10 s."""
        claim = leadership.Seen(4, 'b', 'b1', 'at b', 3, False, 10)
        return leadership.observe(leadership.State(), claim._replace(**changes))

    def test_table(self) -> None:
        """Time, a resignation and an earlier claim of one's own decide."""
        lease = leadership.LEASE_SECONDS
        cases = (
            ('nobody claimed', leadership.State(), 10, True),
            ('just read', self.seen(), 10, False),
            ('at the end of the lease', self.seen(), 10 + lease, False),
            ('after it', self.seen(), 10.2 + lease * 1.02, True),
            ('resigned', self.seen(is_resigned=True), 10, True),
            ('own process', self.seen(holder='a', address='at a'), 10, True),
            (
                'earlier life here',
                self.seen(boot='b0', address='at a'),
                10,
                True,
            ),
            ('own name elsewhere', self.seen(holder='a', boot='a0'), 10, False),
            ('stopping', leadership.resigned(self.seen()), 99, False),
        )
        for name, state, now, allowed in cases:
            with self.subTest(name=name):
                given = leadership.may_claim(state, 'at a', now)
                self.assertEqual(given, allowed)

    def test_repeated_reading(self) -> None:
        """The same claim read again does not start its time anew."""
        state = self.seen()
        again = leadership.observe(state, state.seen)
        later = state.seen
        assert later is not None
        again = leadership.observe(again, later._replace(first_seen=99))
        assert again.seen is not None
        self.assertEqual(again.seen.first_seen, 10)

    def test_a_claim_that_was_told_of(self) -> None:
        """Its lease is counted from when its holder told of it first."""
        claim = leadership.Seen(4, 'b', 'b1', 'at b', 3, False, 10)
        told = leadership.Told(4, 8.5)
        dated = leadership.dated(claim, told)
        assert dated is not None
        self.assertEqual(dated.first_seen, 8.5)
        other = leadership.dated(claim, leadership.Told(3, 8.5))
        self.assertEqual(other, claim)

    def test_lease_runs_from_the_send(self) -> None:
        """The holder counts from before it sent its claim."""
        state = leadership.claimed(leadership.State(), 0, sent_at=5)
        until = 5 + leadership.LEASE_SECONDS
        self.assertTrue(leadership.holds(state, until - 0.01))
        self.assertFalse(leadership.holds(state, until))
