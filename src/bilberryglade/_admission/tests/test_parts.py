"""Tests of urgencies, division of places, and appointments."""

import typing
import unittest

import hypothesis
from hypothesis import strategies

from bilberryglade._admission import appointments, prices, returning, urgencies
from bilberryglade._routing import admission, catalogue

NOW: typing.Final = 50.0
ROUTE: typing.Final = catalogue.Route(
    name='r',
    host='h',
    prefix='/',
    repeatable=True,
    is_public=True,
    timeout=1,
    aim=0.3,
    priority=3,
    attempts=1,
    parts=(catalogue.Part('s', 1),),
)


class UrgencyTests(unittest.TestCase):
    """The urgency of a request by its configuration."""

    def test_organisation_is_ignored_or_odd_value_orders_wrongly(self) -> None:
        """The organisation's priority goes first; odd ones are bounded."""
        cases = (
            (None, 3, 3),
            (0, 3, 0),
            (7, 3, 7),
            (-4, 3, 0),
            (10**15, 3, urgencies.LEAST_URGENT),
            (None, -1, 0),
        )
        for own, of_route, expected in cases:
            organisation = catalogue.Organisation('o', own, 0, 0)
            admitted = admission.Admitted(
                ROUTE._replace(priority=of_route), organisation
            )
            with self.subTest(own=own, of_route=of_route):
                self.assertEqual(urgencies.urgency_of(admitted), expected)
        self.assertEqual(
            urgencies.urgency_of(admission.Admitted(ROUTE, None)), 3
        )
        self.assertEqual(urgencies.received(10**18), urgencies.LEAST_URGENT)
        self.assertIsNone(urgencies.received(None))


class ShareTests(unittest.TestCase):
    """The division of places among kinds."""

    @hypothesis.given(
        strategies.dictionaries(
            strategies.one_of(strategies.none(), strategies.integers(0, 9)),
            strategies.floats(0, 500),
            min_size=1,
            max_size=6,
        ),
        strategies.floats(0.5, 300),
    )
    def test_kind_starves_or_goes_before_a_more_urgent_one(
        self, demand: dict[int | None, float], capacity: float
    ) -> None:
        """Shares fall with urgency, keep the floor and fit the capacity."""
        shares = prices.shares(demand, capacity)
        total = sum(demand.values())
        floor = min(capacity / total, 1) * prices.FLOOR_PART if total else 0
        known = sorted(one for one in demand if one is not None)
        for more, less in zip(known, known[1:], strict=False):
            self.assertGreaterEqual(shares[more], shares[less] - 1e-9)
        for urgency, rate in demand.items():
            self.assertGreaterEqual(shares[urgency], floor - 1e-9)
            self.assertLessEqual(shares[urgency], 1 + 1e-9)
            self.assertGreaterEqual(rate, 0)
        taken = sum(shares[one] * rate for one, rate in demand.items())
        self.assertLessEqual(taken, capacity + 0.01)


class BookTests(unittest.TestCase):
    """Times at which refused callers come back."""

    def test_refused_callers_come_back_as_one_crowd(self) -> None:
        """Each gets its own time; once none is left it gets none."""
        book = appointments.Book()
        told: list[float] = []
        refused = 0
        for _ in range(40):
            booked = appointments.make(book, (NOW + 0.1, NOW + 0.6), 0.05, 0)
            book = booked.book
            if booked.at is None:
                refused += 1
            else:
                told.append(booked.at)
        gaps = [after - before for before, after in zip(told, told[1:])]
        self.assertGreaterEqual(min(gaps), 0.05 - 1e-9)
        self.assertLessEqual(max(told), NOW + 0.6)
        self.assertEqual(len(told) + refused, 40)
        self.assertIn(len(told), {10, 11})

    def test_missed_appointment_keeps_its_place_for_ever(self) -> None:
        """It lapses, and later callers are booked more closely."""
        booked = appointments.make(appointments.Book(), (NOW, NOW + 1), 0.1, 0)
        lapsed = appointments.expire(booked.book, NOW + 0.5)
        self.assertEqual(lapsed.times, ())
        self.assertLess(lapsed.kept, 1)
        self.assertEqual(appointments.due(lapsed, NOW + 1), 0)

    def test_caller_without_appointment_takes_anothers(self) -> None:
        """One that comes far too early is not the one that is expected."""
        booked = appointments.make(
            appointments.Book(), (NOW + 0.5, NOW + 1), 0.1, 0
        )
        self.assertIsNone(appointments.keep(booked.book, NOW))
        kept = appointments.keep(booked.book, NOW + 0.5)
        assert kept is not None
        self.assertEqual(kept.times, ())


class ReturnTests(unittest.TestCase):
    """The time that a caller is told."""

    def test_drawn_time_is_moved(self) -> None:
        """One drawn for the caller is told as it is; others are spread."""
        drawn = returning.Return(0.4, is_drawn=True)
        self.assertEqual(returning.told_ms(drawn, 0.5, 0.9), 400)
        shared = returning.Return(0.4)
        self.assertEqual(returning.told_ms(shared, None, 1), 600)
        self.assertEqual(returning.told_ms(shared, 1, 1), 300)
        self.assertEqual(returning.told_ms(shared, -1, 1), 1)
