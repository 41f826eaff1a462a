"""Tests announcements of tables by their changes."""

import typing
import unittest
from unittest import mock

from bilberryglade._membership import fleet
from bilberryglade._ownership import owners, ranges, table_updates
from bilberryglade_schema import fleet as messages

OWNERS: typing.Final = (ranges.Owner('t1', 10), ranges.Owner('t2', 11))
LAST: typing.Final = 65_535


def tables(change: int, *borders: int) -> owners.Tables:
    """Returns tables whose two owners alternate at the keys in `borders`."""
    firsts = (0, *borders)
    ends = (*borders, LAST + 1)
    return owners.Tables(
        5,
        change,
        {
            's': tuple(
                owners.OwnedRange(
                    ranges.Range(first, end - 1, OWNERS[index % 2], 2),
                    is_moving=False,
                )
                for index, (first, end) in enumerate(
                    zip(firsts, ends, strict=True)
                )
            ),
        },
    )


def rows_of(message: messages.Assignment) -> list[messages.OwnedRow]:
    """Returns the rows of service s in a message."""
    table = message['services']['s']
    return table['rows']


class TableUpdatesTests(unittest.TestCase):
    """Tests updates between a coordinator and a following instance."""

    def setUp(self) -> None:
        """Records sent updates and requests; the follower has no tables."""
        self.sent: list[typing.Any] = []
        self.requests: list[typing.Any] = []
        self.coordinator = self.make_updates('e1', send_all=self.sent.append)
        self.follower = self.make_updates(
            'e2', send=lambda _, message: self.requests.append(message)
        )

    def make_updates(
        self, name: str, **sending: typing.Any
    ) -> table_updates.TableUpdates:
        """Returns the table updates of an instance; `sending` mocks its fleet."""
        own = fleet.Member(name, 'b', '127.0.0.1:1', 'a')
        return table_updates.TableUpdates(mock.Mock(own=own, **sending))

    def test_follower_gets_same_tables(self) -> None:
        """The full tables are sent once, then only ranges that changed."""
        received = owners.Tables()
        for change, borders in enumerate(((64,), (64, 640), (64, 128, 640))):
            announced = tables(change, *borders)
            self.coordinator.announce(announced)
            received = self.follower.handle_assignment(received, self.sent[-1])
            self.assertEqual(received, announced)
        rows = [len(rows_of(message)) for message in self.sent]
        self.assertEqual(rows, [2, 2, 3])
        self.assertEqual(self.requests, [])

    def test_only_changed_ranges_are_sent(self) -> None:
        """An update has no rows of ranges that stay as they are."""
        self.coordinator.announce(tables(0, 64, 640, 6400))
        self.coordinator.announce(tables(1, 32, 640, 6400))
        firsts = [row[0] for row in rows_of(self.sent[-1])]
        self.assertEqual(firsts, [0, 32])

    def test_unchanged_tables_are_sent_once(self) -> None:
        """Announcing the same tables again sends nothing."""
        self.coordinator.announce(tables(0, 64))
        self.coordinator.announce(tables(0, 64))
        self.assertEqual(len(self.sent), 1)

    def test_follower_requests_full_tables(self) -> None:
        """An update based on unknown tables is not applied.

        The follower requests the full tables instead.
        """
        for change, border in enumerate((64, 128, 256)):
            self.coordinator.announce(tables(change, border))
        received = self.follower.handle_assignment(
            owners.Tables(), self.sent[0]
        )
        self.assertEqual(
            self.follower.handle_assignment(received, self.sent[2]), received
        )
        self.assertEqual(
            [request['kind'] for request in self.requests], ['assignment_ask']
        )

    def test_new_term(self) -> None:
        """The first update of a term contains the full tables."""
        self.coordinator.announce(tables(0, 64))
        self.coordinator.begin_term()
        self.coordinator.announce(tables(1, 128))
        self.assertNotIn('base_version', self.sent[-1])

    def test_older_update_is_ignored(self) -> None:
        """An update older than the current tables changes nothing."""
        self.coordinator.announce(tables(0, 64))
        current = tables(3, 640)
        self.assertEqual(
            self.follower.handle_assignment(current, self.sent[0]), current
        )
