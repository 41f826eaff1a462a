"""Tables that are told by what has changed in them."""

import typing
import unittest
from unittest import mock

from bilberryglade._membership import fleet
from bilberryglade._ownership import owners, ranges, table_news
from bilberryglade_schema import fleet as messages

OWNERS: typing.Final = (ranges.Owner('t1', 10), ranges.Owner('t2', 11))
LAST: typing.Final = 65_535


def tables(change: int, *borders: int) -> owners.Tables:
    """Returns tables whose owners take turns at the keys given."""
    firsts = (0, *borders)
    ends = (*borders, LAST + 1)
    return owners.Tables(
        5,
        change,
        {
            's': tuple(
                owners.Owned(
                    ranges.Range(first, end - 1, OWNERS[place % 2], 2),
                    is_moving=False,
                )
                for place, (first, end) in enumerate(
                    zip(firsts, ends, strict=True)
                )
            ),
        },
    )


def rows_of(message: messages.Assignment) -> list[messages.OwnedRow]:
    """Returns the ranges that a message tells."""
    table = message['services']['s']
    return table['rows']


class TableNewsTests(unittest.TestCase):
    """A coordinator and an instance that follows."""

    def setUp(self) -> None:
        """What the coordinator tells is kept; the follower knows nothing."""
        self.told: list[typing.Any] = []
        self.asked: list[typing.Any] = []
        self.leader = self.news('e1', send_all=self.told.append)
        self.follower = self.news(
            'e2', send=lambda _, message: self.asked.append(message)
        )

    def news(self, name: str, **sending: typing.Any) -> table_news.TableNews:
        """Returns the news of an instance."""
        own = fleet.Member(name, 'b', '127.0.0.1:1', 'a')
        return table_news.TableNews(mock.Mock(own=own, **sending))

    def test_follower_knows_the_same(self) -> None:
        """It hears the whole once, then the ranges that are not the same."""
        known = owners.Tables()
        for change, borders in enumerate(((64,), (64, 640), (64, 128, 640))):
            wanted = tables(change, *borders)
            self.leader.tell(wanted)
            known = self.follower.take(known, self.told[-1])
            self.assertEqual(known, wanted)
        rows = [len(rows_of(told)) for told in self.told]
        self.assertEqual(rows, [2, 2, 3])
        self.assertEqual(self.asked, [])

    def test_only_what_differs_is_told(self) -> None:
        """A change at one place says nothing of the others."""
        self.leader.tell(tables(0, 64, 640, 6400))
        self.leader.tell(tables(1, 32, 640, 6400))
        firsts = [row[0] for row in rows_of(self.told[-1])]
        self.assertEqual(firsts, [0, 32])

    def test_nothing_new(self) -> None:
        """The same tables are told once."""
        self.leader.tell(tables(0, 64))
        self.leader.tell(tables(0, 64))
        self.assertEqual(len(self.told), 1)

    def test_follower_that_missed_one_asks(self) -> None:
        """It takes in nothing that it cannot understand."""
        for change, border in enumerate((64, 128, 256)):
            self.leader.tell(tables(change, border))
        known = self.follower.take(owners.Tables(), self.told[0])
        self.assertEqual(self.follower.take(known, self.told[2]), known)
        self.assertEqual(
            [ask['kind'] for ask in self.asked], ['assignment_ask']
        )

    def test_new_term(self) -> None:
        """Its first word is the whole."""
        self.leader.tell(tables(0, 64))
        self.leader.begin()
        self.leader.tell(tables(1, 128))
        self.assertNotIn('base_version', self.told[-1])

    def test_older_word(self) -> None:
        """It changes nothing."""
        self.leader.tell(tables(0, 64))
        known = tables(3, 640)
        self.assertEqual(self.follower.take(known, self.told[0]), known)
