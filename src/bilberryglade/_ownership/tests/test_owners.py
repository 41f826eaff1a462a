"""Tests tables of key owners as messages and records."""

import unittest

import hypothesis
from hypothesis import strategies

from bilberryglade._codec import codec
from bilberryglade._ownership import owners, ranges
from bilberryglade_schema import fleet as messages

FIRST = ranges.Owner('t1', 10)
SECOND = ranges.Owner('t2', 11)


class MessageTests(unittest.TestCase):
    """Tests that tables survive encoding as a message or record."""

    def setUp(self) -> None:
        """Builds tables of two owners, with a new and an ungranted range."""
        entries = (
            ranges.Range(0, 15, FIRST, 8),
            ranges.Range(16, 31, SECOND, 6),
            ranges.Range(32, 65_535, FIRST, ranges.NEW_FENCE),
        )
        owned = tuple(
            owners.OwnedRange(entry, is_moving=entry.first == 16)
            for entry in entries
        )
        self.tables = owners.Tables(12, 3, {'s': owned})

    def received_message(self) -> messages.Assignment:
        """Returns the tables' message after encoding and decoding."""
        raw = codec.encode_packed(owners.to_message(self.tables, 'e1'))
        return codec.decode_packed(raw, messages.Assignment).unwrap()

    def test_full_tables(self) -> None:
        """Decoded ranges have the same owners; new ranges get their fence."""
        received = owners.from_message(self.received_message(), 12)
        self.assertEqual((received.version, received.change), (12, 3))
        sent_ranges = self.tables.services['s']
        received_ranges = received.services['s']
        self.assertEqual(received_ranges[:2], sent_ranges[:2])
        self.assertEqual(received_ranges[2].entry.fence, ranges.fence_at(12))
        self.assertEqual(received_ranges[2].entry.owner, FIRST)

    def test_records_name_addresses(self) -> None:
        """A record has the address of each owner, to which a release is sent."""
        addresses = {FIRST: '10.0.0.1:80', SECOND: '10.0.0.2:80'}
        record = owners.to_message(self.tables, 'e1', addresses)
        self.assertEqual(owners.addresses_of(record), addresses)

    def test_remaining_time_is_rounded_up(self) -> None:
        """The remaining time of a former owner's lease is never shortened."""
        former = owners.FormerOwner(ranges.Range(0, 15, SECOND, 4), 3.0004)
        table = owners.to_former_table([former], {SECOND: '10.0.0.2:80'})
        read = owners.from_former_table(table)
        self.assertEqual(
            [former_owner.entry for former_owner in read], [former.entry]
        )
        self.assertGreaterEqual(read[0].seconds, former.seconds)
        self.assertLess(read[0].seconds, former.seconds + 0.01)

    def test_each_owner_is_named_once(self) -> None:
        """Rows refer to owners by index, so a row takes less than 16 bytes."""
        table = self.received_message()['services']['s']
        names = [owner['target'] for owner in table['owners']]
        self.assertEqual(sorted(names), ['t1', 't2'])
        many = owners.to_table(self.tables.services['s'] * 200)
        self.assertLess(len(codec.encode_packed(many)) / 600, 16)


class ChangeTests(unittest.TestCase):
    """Tests the changes between two tables."""

    @hypothesis.given(
        strategies.lists(strategies.integers(1, 4095), max_size=9),
        strategies.lists(strategies.integers(1, 4095), max_size=9),
        strategies.integers(0, 3),
    )
    def test_apply_changes(
        self,
        before: list[int],
        after: list[int],
        kept_count: int,
    ) -> None:
        """Changes applied to the earlier tables give the later tables."""
        earlier = owners.Tables(1, 0, {'s': _cut_at(before, 2)})
        cuts = after + before[:kept_count]
        later = owners.Tables(2, 4, {'s': _cut_at(cuts, 2), 'u': ()})
        changes = owners.Tables(2, 4, owners.changed_ranges(earlier, later))
        updated = owners.apply_changes(earlier, changes)
        self.assertEqual(updated.services['s'], later.services['s'])
        self.assertEqual((updated.version, updated.change), (2, 4))

    def test_only_changed_ranges(self) -> None:
        """The changes have only the range that was granted."""
        entries = _cut_at([100, 200, 300], 2)
        granted = entries[1]._replace(is_moving=not entries[1].is_moving)
        later = (entries[0], granted, *entries[2:])
        changed = owners.changed_ranges(
            owners.Tables(1, 0, {'s': entries}),
            owners.Tables(1, 1, {'s': later}),
        )
        self.assertEqual(changed, {'s': (granted,)})


def _cut_at(borders: list[int], fence: int) -> tuple[owners.OwnedRange, ...]:
    """Returns a table of all keys, split at the given blocks, for two owners."""
    firsts = [0, *sorted({border * ranges.BLOCK_KEYS for border in borders})]
    ends = [*firsts[1:], 65_536]
    return tuple(
        owners.OwnedRange(
            ranges.Range(
                first, end - 1, (FIRST, SECOND)[first // 16 % 2], fence
            ),
            is_moving=bool(first % 3),
        )
        for first, end in zip(firsts, ends, strict=True)
    )
