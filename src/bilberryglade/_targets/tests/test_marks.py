"""Which answers belong to a call."""

import typing
import unittest

from bilberryglade._targets import marks
from bilberryglade._values import outcomes

Header = outcomes.Header
OWN: typing.Final = Header('x-request-id', 'r-1')
OTHER: typing.Final = Header('x-request-id', 'r-0')
WORD: typing.Final = Header('x-handover', 'w')
ECHO: typing.Final = marks.Marks(echoed=OWN)
BARE: typing.Final = marks.Marks(
    foreign=frozenset((OWN.name, WORD.name)),
)


class MarksTests(unittest.TestCase):
    """An answer is known by what it bears."""

    def test_table(self) -> None:
        """The echo is there exactly once, and nothing of other calls."""
        cases = (
            ('echo', ECHO, (OWN,), True),
            ('echo beside others', ECHO, (WORD, OWN), True),
            ('no echo', ECHO, (WORD,), False),
            ('echo of another', ECHO, (OTHER,), False),
            ('two echoes', ECHO, (OWN, OTHER), False),
            ('the echo twice', ECHO, (OWN, OWN), False),
            ('longer', ECHO, (Header(OWN.name, 'r-10'),), False),
            ('bare', BARE, (), True),
            ('bare with an id', BARE, (OWN,), False),
            ('bare with a word', BARE, (WORD,), False),
            ('nothing is known', marks.Marks(), (OTHER, WORD), True),
        )
        for name, marked, headers, is_own in cases:
            with self.subTest(name=name):
                self.assertEqual(marks.are_own(marked, 200, headers), is_own)

    def test_statuses(self) -> None:
        """Those named count; where none is, all do."""
        strict = marks.Marks(statuses=frozenset((200, 409)))
        for status, is_own in ((200, True), (409, True), (204, False)):
            with self.subTest(status=status):
                self.assertEqual(marks.are_own(strict, status, ()), is_own)
                self.assertTrue(marks.are_own(marks.Marks(), status, ()))
