"""No organisation gets more than its rate and burst, wherever it asks."""

import itertools
import typing
import unittest

import hypothesis
from hypothesis import strategies

from bilberryglade._limits import division, parts

INSTANCES: typing.Final = 12
QUOTA: typing.Final = parts.Quota(rate=40, burst=40)
#: Instances of 3 failure domains.
SIZES: typing.Final = (3, 12, 69)
#: Single tokens that the pool and one holder of each failure domain can save up
#: whatever their parts are.
ROUNDING: typing.Final = 4


class Ask(typing.NamedTuple):
    """Requests at one instance after a pause."""

    pause: float
    instance: int
    requests: int
    extra: int


asks = strategies.lists(
    strategies.builds(
        Ask,
        strategies.floats(0, 0.2),
        strategies.integers(0, max(SIZES) - 1),
        strategies.integers(1, 20),
        strategies.integers(0, 12),
    ),
    max_size=120,
)


def domains_of(size: int) -> dict[str, list[str]]:
    """Returns the names of so many instances by failure domain."""
    names = [f'e{number:02}' for number in range(size)]
    return {domain: names[place::3] for place, domain in enumerate('abc')}


def admitted_in(
    sequence: list[Ask], quota: parts.Quota = QUOTA, size: int = INSTANCES
) -> list[float]:
    """Returns the times at which tokens were given.

    Who holds no even part asks a neighbour that does, then the pool.
    """
    domains = domains_of(size)
    divided = division.divide('office', quota, domains)
    flows = {
        name: parts.even_flow(quota, share, is_led=True)
        for name, share in divided.shares.items()
    }
    pool = parts.pool_flow(quota, covered=1)
    buckets = {name: parts.Bucket(flow.room, 0) for name, flow in flows.items()}
    buckets['pool'] = parts.Bucket(pool.room, 0)
    flows['pool'] = pool
    now: float = 0
    given: list[float] = []
    for ask in sequence:
        now += ask.pause
        domain = list(domains)[ask.instance % len(domains)]
        near = divided.near[domain]
        holder = near[ask.instance % len(near)]
        for _ in range(ask.requests):
            for name, extra in ((holder, 0), ('pool', ask.extra)):
                need = parts.Need(extra=extra)
                taken = parts.take(buckets[name], flows[name], need, now)
                buckets[name] = taken.bucket
                given.extend(itertools.repeat(now, taken.amount))
                if taken.amount:
                    break
    return given


class BoundTests(unittest.TestCase):
    """The sum over all instances."""

    @hypothesis.given(
        asks,
        strategies.sampled_from(SIZES),
        strategies.sampled_from((1, 9, 40, 400)),
    )
    @hypothesis.settings(max_examples=150, deadline=None)
    def test_any_window(
        self, sequence: list[Ask], size: int, burst: int
    ) -> None:
        """Any span gets its rate and burst, and the rounding, at most."""
        quota = parts.Quota(rate=burst, burst=burst)
        given = admitted_in(sequence, quota, size)
        places = range(len(given))
        for begin, end in itertools.combinations(places, 2):
            span = given[end] - given[begin]
            most = quota.rate * span + quota.burst + ROUNDING
            self.assertLessEqual(end - begin + 1, most + 1e-6)

    def test_small_quota_is_not_held_by_every_instance(self) -> None:
        """Guards against a token saved up at each instance (review/4)."""
        for size, burst in itertools.product(SIZES, (1, 9, 40, 400)):
            with self.subTest(size=size, burst=burst):
                quota = parts.Quota(rate=burst, burst=burst)
                divided = division.divide('office', quota, domains_of(size))
                self.assertAlmostEqual(sum(divided.shares.values()), 1)
                for is_led, part in ((True, parts.EVEN_PART), (False, 1)):
                    rooms = sum(
                        parts.even_flow(quota, share, is_led=is_led).room
                        for share in divided.shares.values()
                    )
                    self.assertLessEqual(rooms, max(burst * part, 3) + 1e-6)


class ServiceTests(unittest.TestCase):
    """Requests within the rate are served."""

    def test_one_instance_has_it_all(self) -> None:
        """All demand at one instance gets its part and the whole pool."""
        sequence = [Ask(0.05, 0, 1, 0) for _ in range(400)]
        self.assertGreater(len(admitted_in(sequence)), 380)

    def test_without_pool(self) -> None:
        """While there is a coordinator, own parts are nearly half the rate."""
        own = parts.even_flow(QUOTA, 1 / INSTANCES, is_led=True)
        self.assertAlmostEqual(
            own.rate * INSTANCES, QUOTA.rate * parts.EVEN_PART
        )

    def test_ahead_of_need(self) -> None:
        """Tokens ahead of need leave half of the pool to the others."""
        pool = parts.pool_flow(QUOTA, covered=1)
        full = parts.Bucket(pool.room, 0)
        taken = parts.take(full, pool, parts.Need(extra=1000), 0)
        self.assertGreaterEqual(taken.bucket.level, pool.room / 2 - 1)

    def test_time_to_come_back(self) -> None:
        """A refusal says when there is a token."""
        flow = parts.Flow(rate=2, room=1)
        taken = parts.take(parts.Bucket(0, 0), flow, parts.Need(), 0)
        self.assertEqual(taken.amount, 0)
        again = parts.take(
            taken.bucket, flow, parts.Need(), taken.retry_seconds + 1e-6
        )
        self.assertEqual(again.amount, 1)


class FillTests(unittest.TestCase):
    """What a bucket holds when what fills it has changed."""

    def test_new_flow_fills_from_when_it_is_known(self) -> None:
        """Guards against a whole share for a time in which it was a part."""
        small, large = parts.Flow(1, 2), parts.Flow(10, 20)
        for before, after, level in ((small, large, 2), (large, small, 2)):
            with self.subTest(before=before):
                bucket = parts.Bucket(0, 0, before)
                taken = parts.take(bucket, after, parts.Need(0), 100)
                self.assertEqual(taken.bucket.level, level)


class LateTests(unittest.TestCase):
    """Callers who came back after a refusal, and are late already."""

    def admitted(self, flow: parts.Flow, requests: int) -> tuple[int, int]:
        """Returns how many in time and late ones pass, taking turns."""
        bucket = parts.Bucket(flow.room, 0)
        passed = [0, 0]
        for number in range(requests):
            need = parts.Need(is_late=number % 2 == 1)
            taken = parts.take(bucket, flow, need, number * 0.01)
            bucket = taken.bucket
            passed[number % 2] += taken.amount
        return (passed[0], passed[1])

    def test_scarce(self) -> None:
        """At twice the rate, tokens go to those who are still in time."""
        in_time, late = self.admitted(parts.Flow(50, 10), 1000)
        self.assertGreater(in_time, 480)
        self.assertLess(late, 30)

    def test_plenty(self) -> None:
        """Within the rate, who is late is served as well."""
        in_time, late = self.admitted(parts.Flow(200, 50), 1000)
        self.assertEqual((in_time, late), (500, 500))

    def test_a_bucket_without_room(self) -> None:
        """Guards against tokens that a reserve below nothing would make."""
        for room in (0, 0.5):
            taken = parts.take(
                parts.Bucket(room, 0),
                parts.Flow(0, room),
                parts.Need(is_late=True),
                0,
            )
            self.assertEqual(taken.amount, 0)

    def test_a_bucket_of_one_token(self) -> None:
        """Nobody is left out for good where no reserve can be saved up."""
        taken = parts.take(
            parts.Bucket(1, 0), parts.Flow(1, 1), parts.Need(is_late=True), 0
        )
        self.assertEqual(taken.amount, 1)


class CutTests(unittest.TestCase):
    """Some instances hear of no coordinator."""

    def test_both_sides_together(self) -> None:
        """Whoever hears of it, all flows add up to the rate and no more."""
        for cut in range(INSTANCES):
            led = INSTANCES - cut
            own = parts.even_flow(QUOTA, 1 / INSTANCES, is_led=True)
            alone = parts.even_flow(QUOTA, 1 / INSTANCES, is_led=False)
            pool = parts.pool_flow(QUOTA, covered=led / INSTANCES)
            rate = own.rate * led + alone.rate * cut + pool.rate
            with self.subTest(cut=cut):
                self.assertAlmostEqual(rate, QUOTA.rate)

    def test_nobody_coordinates(self) -> None:
        """All instances together still have the whole rate."""
        alone = parts.even_flow(QUOTA, 1 / INSTANCES, is_led=False)
        self.assertAlmostEqual(alone.rate * INSTANCES, QUOTA.rate)
