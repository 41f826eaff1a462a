"""The coordinator's pools while some instances are cut off from it."""

import typing
import unittest
from unittest import mock

from bilberryglade._limits import parts, pools
from bilberryglade._membership import candidacy, fleet
from bilberryglade._routing import catalogue
from bilberryglade._values import clock
from bilberryglade_schema import fleet as messages

RATE: typing.Final = 400.0
MEMBERS: typing.Final = 4


class CoverTests(unittest.TestCase):
    """An instance that is cut off takes its part of the pool for itself."""

    def setUp(self) -> None:
        """Four instances; the first coordinates, on a clock of the test."""
        self.now = 10.0
        moved = mock.patch.object(clock, 'now', lambda: self.now)
        moved.start()
        self.addCleanup(moved.stop)
        members = fleet.Fleet(member(0), mock.Mock())
        for number in range(1, MEMBERS):
            members.take(member(number))
        holder = catalogue.Organisation('office', None, RATE, 4 * RATE)
        lease = mock.Mock(holds=True)
        self.pools = pools.Pools(members, lease, lambda: {'office': holder})
        self.pools.begin()

    def report(self, number: int, *, is_led: bool = True) -> None:
        """Takes in the report of an instance."""
        self.pools.take_report(
            {
                'kind': 'report',
                'sender': f'e{number}',
                'is_led': is_led,
                'key_counts': {},
                'target_seconds': {},
            },
        )

    def tokens(self, seconds: float, heard: typing.Iterable[int]) -> int:
        """Returns the tokens of some time in which instances report."""
        given = 0
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            for number in heard:
                self.report(number)
            given += self.pools.answer(ask())['amount']
        return given

    def test_all_are_heard(self) -> None:
        """The pool has all that is not divided evenly."""
        given = self.tokens(2, (1, 2, 3))
        self.assertAlmostEqual(given, 2 * RATE * (1 - parts.EVEN_PART), delta=4)

    def test_one_falls_silent(self) -> None:
        """Its part is kept back before it takes itself for cut off."""
        self.tokens(1, (1, 2, 3))
        self.tokens(parts.COVERED_SECONDS, (1, 2))
        given = self.tokens(2, (1, 2))
        wanted = 2 * RATE * (1 - parts.EVEN_PART) * 3 / 4
        self.assertLessEqual(given, wanted + 4)
        self.assertLess(parts.COVERED_SECONDS, candidacy.SILENCE_SECONDS)

    def test_one_that_does_not_hear(self) -> None:
        """A cut in one direction counts at once."""
        self.tokens(1, (1, 2, 3))
        self.report(3, is_led=False)
        given = self.tokens(2, (1, 2))
        wanted = 2 * RATE * (1 - parts.EVEN_PART) * 3 / 4
        self.assertLessEqual(given, wanted + 4)


def member(number: int) -> fleet.Member:
    """Returns an instance."""
    return fleet.Member(f'e{number}', 'b', '127.0.0.1:1', 'a')


def ask() -> messages.QuotaAsk:
    """Returns an ask for as many tokens as there are."""
    return {
        'kind': 'quota_ask',
        'sender': 'e1',
        'boot': 'b',
        'sequence': 1,
        'organisation': 'office',
        'needed': 1000,
        'extra': 0,
    }
