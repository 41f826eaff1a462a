"""No organisation exceeds its rate and burst, whatever fails."""

import contextlib
import functools
import random
import typing
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from bilberryglade._limits import bucket, holding, home, tokens
from bilberryglade._routing import roles
from bilberryglade_lab.experiments import limits_model, limits_observer

QUOTA = tokens.QuotaName('press', 'allow|listing')
LIMIT = tokens.Limit(rate=50, burst=12)
TOLERANCE = 1e-6
SECONDS = 12
INSTANCES = tuple(f'entry-{number}' for number in range(4))
BAD_LINK = limits_model.Link(
    loss=0.1, duplication=0.1, late=0.1, late_seconds=2
)


class _Faults:
    """Faults that strike a fleet, chosen by a seeded generator."""

    def __init__(self, model: limits_model.Model, rng: random.Random) -> None:
        self.model = model
        self.rng = rng

    def strike(self) -> None:
        kinds = (
            self.pause,
            self.cut_from_log,
            self.cut_from_peer,
            self.model.leave,
            self.restart,
        )
        self.rng.choice(kinds)(self.rng.choice(INSTANCES))

    def pause(self, name: str) -> None:
        until = self.model.now + self.seconds()
        self.model.instances[name].paused_until = until

    def cut_from_log(self, name: str) -> None:
        node = self.model.instances[name]
        node.reads_log = False
        self.model.at(
            self.model.now + self.seconds(),
            functools.partial(setattr, node, 'reads_log', True),
        )

    def cut_from_peer(self, name: str) -> None:
        pair = (name, self.rng.choice(INSTANCES))
        self.model.cuts.add(pair)
        self.model.at(
            self.model.now + self.seconds(),
            functools.partial(self.model.cuts.discard, pair),
        )

    def restart(self, name: str) -> None:
        self.model.join(name, speed=self.rng.choice((1, 1.009)))

    def seconds(self) -> float:
        return self.rng.choice((0.3, 1.0, 3.0))


def _run(seed: int, faults: int) -> limits_observer.Judged:
    rng = random.Random(seed)
    model = limits_model.Model(seed, {QUOTA: LIMIT}, link=BAD_LINK)
    for name in INSTANCES:
        model.join(name, speed=rng.choice((1, 1.009)))
    hazards = _Faults(model, rng)
    for _ in range(faults):
        model.at(2 + rng.random() * SECONDS, hazards.strike)
    moment: float = 0
    while moment < SECONDS + 2:
        burst = rng.choice((1, 1, 1, 30))
        moment += rng.expovariate(60 / burst)
        for _ in range(burst):
            entry = rng.choice(INSTANCES)
            model.at(moment, functools.partial(model.arrive, entry, QUOTA))
    model.run(SECONDS + 4)
    return model.judge(QUOTA)


def _takeover(seed: int) -> limits_observer.Judged:
    """The home is declared lost while it is cut from the log, but runs on."""
    rng = random.Random(seed)
    model = limits_model.Model(seed, {QUOTA: LIMIT})
    for name in INSTANCES:
        model.join(name)
    model.run(2)
    isolated = roles.quota_home(model.log, *QUOTA)
    model.instances[isolated].reads_log = False
    model.leave(isolated)
    moment: float = 0
    while moment < 6:
        moment += rng.expovariate(400)
        entry = rng.choice((isolated, *INSTANCES))
        model.at(2 + moment, functools.partial(model.arrive, entry, QUOTA))
    model.run(10)
    return model.judge(QUOTA)


class OvershootTest(unittest.TestCase):
    """The observer's bucket never runs below zero."""

    @hypothesis.settings(max_examples=40, derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.integers(min_value=0, max_value=10**6),
        strategies.integers(min_value=0, max_value=20),
    )
    def test_any_faults(self, seed: int, faults: int) -> None:
        """Pauses, cuts, losses, restarts and a bad network: no overshoot."""
        self.assertLessEqual(_run(seed, faults).overshoot, TOLERANCE)

    def test_work_is_done(self) -> None:
        """Without faults but with a bad network most requests pass."""
        judged = _run(1, 0)
        self.assertGreater(judged.admitted, 0.7 * judged.ideal)

    def test_observer_sees_overshoot(self) -> None:
        """The observer finds a made-up history that exceeds the limit."""
        model = limits_model.Model(0, {QUOTA: LIMIT})
        for number in range(LIMIT.burst + 1):
            event = limits_observer.Event(number / 1000, QUOTA, admitted=True)
            model.events.append(event)
        self.assertGreater(model.judge(QUOTA).overshoot, TOLERANCE)


class ProtectionTest(unittest.TestCase):
    """Each protection taken out lets the limit be exceeded."""

    def test_takeover(self) -> None:
        """The old home stops by itself, and the new one waits for that."""
        protections: tuple[tuple[str, typing.Any], ...] = (
            ('all', contextlib.nullcontext()),
            ('no succession', _without_succession()),
            ('no authority', _without_authority()),
        )
        for name, removed in protections:
            with self.subTest(name), removed:
                overshoot = _takeover(1).overshoot
                self.assertEqual(overshoot > TOLERANCE, name != 'all')

    def test_late_grant(self) -> None:
        """Tokens that arrive after the home forgot them are worth nothing."""
        for token_seconds, usable in ((0.4, 12), (1000, 17)):
            with self.subTest(token_seconds):
                held = holding.Holding('boot', token_seconds)
                asked = holding.ask(held, 5, now=0)
                given = _given(asked.ask)
                later = bucket.refill(given.bucket, LIMIT, now=1)
                grant = tokens.Grant(1, given.amount)
                held = holding.take(asked.holding, grant, now=1)
                total = holding.left(held, now=1) + int(later.level)
                self.assertEqual(total, usable)

    def test_report_after_long_use(self) -> None:
        """What was earned beside unspent tokens is not credited later."""
        settled = tokens.Settled(1, 5)
        given = _given(tokens.Ask('boot', 1, 5, 0)).bucket
        kept = bucket.refill(given, LIMIT, 0.3)
        kept = bucket.settle(kept, 'boot', settled)
        self.assertEqual(5 + int(kept.level), LIMIT.burst)
        wrong = bucket.settle(given, 'boot', settled)
        wrong = bucket.refill(wrong, LIMIT, 0.3)
        self.assertGreater(5 + int(wrong.level), LIMIT.burst)

    def test_outstanding_counts(self) -> None:
        """The home earns nothing beside tokens that fill the burst."""
        kept = _given(tokens.Ask('boot', 1, 5, 0)).bucket
        for given, level in ((5, 7), (0, 12)):
            with self.subTest(given):
                changed = bucket.refill(kept._replace(given=given), LIMIT, 0.3)
                self.assertEqual(changed.level, level)

    def test_copies_change_nothing(self) -> None:
        """A second copy of a report or a grant adds no token."""
        given = _given(tokens.Ask('boot', 1, 5, 0))
        settled = tokens.Settled(1, 2, 3)
        once = bucket.settle(given.bucket, 'boot', settled)
        self.assertEqual(bucket.settle(once, 'boot', settled), once)
        self.assertEqual((once.level, once.given), (10, 0))
        asked = holding.ask(holding.Holding('boot', 0.4), 5, now=0)
        grant = tokens.Grant(1, 5)
        held = holding.take(asked.holding, grant, now=0.1)
        self.assertEqual(holding.take(held, grant, now=0.1), held)


def _given(ask: tokens.Ask) -> bucket.Taken:
    """Returns a full bucket after it answered `ask` at time 0."""
    full = bucket.Bucket(level=LIMIT.burst, refilled_at=0)
    return bucket.take(full, bucket.GrantName('boot', 1), ask, 0.404)


def _without_succession() -> typing.Any:
    """A new home begins at once."""
    return mock.patch.object(home.Spans, 'succession', 0)


def _without_authority() -> typing.Any:
    """A home goes on giving, however old its newest read is."""
    return mock.patch.object(
        limits_model.Instance, 'has_authority', lambda node, local: True
    )
