"""Tests of the fair queue."""

import unittest

import hypothesis
import result
from hypothesis import strategies

from bilberryglade._limits import fair_queue

BOUNDS = fair_queue.Bounds(total=60, organisation=40)
LATE = 1000.0


def _filled(
    discipline: str,
    counts: dict[str, int],
    bounds: fair_queue.Bounds = BOUNDS,
) -> fair_queue.FairQueue:
    queue = fair_queue.FairQueue(bounds, discipline)
    for organisation, count in counts.items():
        for number in range(count):
            entry = fair_queue.Entry(f'{number}', organisation, LATE)
            queue = fair_queue.push(queue, entry, 0).unwrap().queue
    return queue


def _order(queue: fair_queue.FairQueue) -> list[str]:
    served: list[str] = []
    while True:
        popped = fair_queue.pop(queue, 0)
        if popped.entry is None:
            return served
        served.append(popped.entry.organisation)
        queue = popped.queue


class SharingTest(unittest.TestCase):
    """How organisations share the queue."""

    def test_small_beside_flood(self) -> None:
        """A late small organisation is next but one, or last if unfair."""
        cases = {'fair': 1, 'first_come': 40}
        for discipline, place in cases.items():
            with self.subTest(discipline):
                queue = _filled(discipline, {'large': 40, 'small': 1})
                order = _order(queue)
                self.assertEqual(order.index('small'), place)

    def test_small_finds_place_in_full_queue(self) -> None:
        """Two floods that fill the queue keep no small organisation out."""
        counts = {'large': 40, 'other': 20}
        for discipline, is_in in (('fair', True), ('first_come', False)):
            with self.subTest(discipline):
                queue = _filled(discipline, counts)
                entry = fair_queue.Entry('only', 'small', LATE)
                pushed = fair_queue.push(queue, entry, 0)
                self.assertEqual(pushed.is_ok(), is_in)
        evicted = fair_queue.push(_filled('fair', counts), entry, 0).unwrap()
        self.assertEqual(evicted.evicted, fair_queue.Entry('39', 'large', LATE))

    def test_cost_counts(self) -> None:
        """An organisation of costly requests is served less often."""
        queue = fair_queue.FairQueue(BOUNDS)
        for number in range(10):
            for organisation, cost in (('heavy', 3.0), ('light', 1.0)):
                entry = fair_queue.Entry(f'{number}', organisation, LATE, cost)
                queue = fair_queue.push(queue, entry, 0).unwrap().queue
        first_eight = _order(queue)[:8]
        self.assertEqual(first_eight.count('heavy'), 2)

    def test_idle_gains_no_credit(self) -> None:
        """An organisation that was idle does not make up for it."""
        queue = _filled('fair', {'busy': 30})
        for _ in range(20):
            queue = fair_queue.pop(queue, 0).queue
        for number in range(10):
            entry = fair_queue.Entry(f'{number}', 'idle', LATE)
            queue = fair_queue.push(queue, entry, 0).unwrap().queue
        first_ten = _order(queue)[:10]
        self.assertIn(first_ten.count('idle'), (5, 6))


class BoundsTest(unittest.TestCase):
    """Bounds, deadlines and removal."""

    def test_refusals(self) -> None:
        """Each bound refuses with its own reason."""
        narrow = fair_queue.Bounds(total=3, organisation=2)
        counts = {'one': 2, 'two': 1}
        cases = (
            ('one', LATE, fair_queue.Refusal.organisation_full),
            ('two', LATE, fair_queue.Refusal.total_full),
            ('two', -1.0, fair_queue.Refusal.expired),
        )
        for organisation, deadline, refusal in cases:
            with self.subTest(refusal):
                queue = _filled('fair', counts, narrow)
                entry = fair_queue.Entry('new', organisation, deadline)
                self.assertEqual(
                    fair_queue.push(queue, entry, 0),
                    result.Err(refusal),
                )

    def test_expired_are_handed_back(self) -> None:
        """Entries whose time is over are returned, not served."""
        queue = fair_queue.FairQueue(BOUNDS)
        for number in range(4):
            entry = fair_queue.Entry(f'{number}', 'one', 1.0 + number)
            queue = fair_queue.push(queue, entry, 0).unwrap().queue
        popped = fair_queue.pop(queue, 2.5)
        names = [entry.request_id for entry in popped.expired]
        self.assertEqual(names, ['0', '1'])
        self.assertEqual(popped.entry, fair_queue.Entry('2', 'one', 3.0))

    def test_removed_is_not_served(self) -> None:
        """A removed entry leaves the order of the others as it was."""
        queue = _filled('fair', {'one': 3})
        ticket = fair_queue.Ticket('one', 0)
        queue = fair_queue.remove(queue, ticket)
        self.assertEqual(queue, fair_queue.remove(queue, ticket))
        popped = fair_queue.pop(queue, 0)
        self.assertEqual(popped.entry, fair_queue.Entry('1', 'one', LATE))


class _Driven:
    """A queue under arbitrary steps, and what left it."""

    def __init__(self, discipline: str) -> None:
        bounds = fair_queue.Bounds(total=8, organisation=5)
        self.queue = fair_queue.FairQueue(bounds, discipline)
        self.pushed = 0
        self.gone: list[str] = []

    def push(self, organisation: str, number: int, now: int) -> None:
        entry = fair_queue.Entry(f'{now}', organisation, now + number, number)
        pushed = fair_queue.push(self.queue, entry, now)
        if isinstance(pushed, result.Err):
            return
        self.pushed += 1
        self.queue = pushed.ok_value.queue
        self.leave(pushed.ok_value.evicted)

    def pop(self, organisation: str, number: int, now: int) -> None:
        popped = fair_queue.pop(self.queue, now)
        self.queue = popped.queue
        for entry in (*popped.expired, popped.entry):
            self.leave(entry)

    def remove(self, organisation: str, number: int, now: int) -> None:
        if not fair_queue.waiting_of(self.queue, organisation):
            return
        ticket = fair_queue.head_of(self.queue, organisation)
        self.leave(self.queue.entries[ticket].entry)
        self.queue = fair_queue.remove(self.queue, ticket)

    def leave(self, entry: fair_queue.Entry | None) -> None:
        if entry is not None:
            self.gone.append(entry.request_id)


class AnyOrderTest(unittest.TestCase):
    """Whatever happens, nothing is lost or served twice."""

    @hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(('push', 'push', 'pop', 'remove')),
                strategies.sampled_from('abc'),
                strategies.integers(min_value=1, max_value=9),
            ),
            max_size=60,
        ),
        strategies.sampled_from(('fair', 'first_come')),
    )
    def test_conservation(
        self,
        steps: list[tuple[str, str, int]],
        discipline: str,
    ) -> None:
        """Pushed entries are served, expired, evicted, removed or waiting."""
        driven = _Driven(discipline)
        for now, (step, organisation, number) in enumerate(steps):
            getattr(driven, step)(organisation, number, now)
            self._check(driven.queue)
            self.assertEqual(len(driven.gone), len(set(driven.gone)))
            remaining = len(driven.queue.entries)
            self.assertEqual(len(driven.gone) + remaining, driven.pushed)

    def _check(self, queue: fair_queue.FairQueue) -> None:
        self.assertEqual(queue.turns, tuple(sorted(queue.turns)))
        lanes = [turn.organisation for turn in queue.turns]
        self.assertEqual(len(lanes), len(set(lanes)))
        waiting = [fair_queue.waiting_of(queue, name) for name in lanes]
        self.assertEqual(sum(waiting), len(queue.entries))
        self.assertLessEqual(len(queue.entries), queue.bounds.total)
        self.assertTrue(all(count <= 5 for count in waiting))
