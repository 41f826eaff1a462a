"""Counters that are read at each scrape."""

import unittest
from unittest import mock

from bilberryglade._knowledge import knowledge, left_out, topics
from bilberryglade._observability import exchange_counts
from bilberryglade._values import stored


class ScrapeTests(unittest.TestCase):
    """What a scrape says."""

    def test_records_left_out(self) -> None:
        """Every record counts, also those that get no line."""
        reader = mock.Mock(known=knowledge.Knowledge())
        counts = exchange_counts.Exchanges(reader, mock.Mock())
        record = stored.Record('odd', 1, b'')
        for _ in range(3):
            reader.known = reader.known._replace(
                omitted=left_out.note(
                    reader.known.omitted, topics.TARGETS, record, 'no entry'
                ),
            )
        self.assertIn(
            b'bilberryglade_records_left_out_total{topic="targets"} 3.0',
            counts.scrape(),
        )
