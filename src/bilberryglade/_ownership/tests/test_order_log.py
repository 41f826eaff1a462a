"""Orders to targets in lines and counts."""

import unittest

import loguru

from bilberryglade._observability import exchange_counts
from bilberryglade._ownership import order_log, ranges
from bilberryglade._values import leases

OWNER = ranges.Owner('t', 3)
ENTRY = ranges.Range(0, 15, OWNER, 4)


class OrderLogTest(unittest.TestCase):
    """Who took keys, and who gave them back."""

    def setUp(self) -> None:
        """Collects the lines."""
        self.lines: list[str] = []
        sink = loguru.logger.add(self.lines.append, format='{message}')
        self.addCleanup(loguru.logger.remove, sink)
        self.log = order_log.OrderLog()

    def test_first_grant_alone_has_a_line(self) -> None:
        """Renewals are counted, so that the volume stays bounded."""
        self.log.record_grant(ENTRY, is_first=True)
        self.log.record_grant(ENTRY, is_first=False)
        self.assertEqual(
            self.lines, ['keys 0-15 granted to t life 3 fence 4\n']
        )
        self.assertEqual(self.log.counts['grant', 'confirmed'], 2)

    def test_release_names_its_keys(self) -> None:
        """The line has the keys that were given back, not the taker's."""
        receiver = ranges.Range(0, 99, ranges.Owner('u', 1), 8)
        self.log.record_release(receiver, OWNER, leases.Lease(0, 15, 7))
        self.assertEqual(
            self.lines, ['keys 0-15 given back by t life 3 fence 7\n']
        )

    def test_failures_are_counted_by_cause(self) -> None:
        """Metrics tell orders that were lost from those refused."""
        for failure in (leases.Failure.unclear, leases.Failure.fenced):
            self.log.record_failure('grant', ENTRY, OWNER, failure)
        metric = next(exchange_counts.OrderCounts(self.log).collect())
        counts = {
            tuple(sample.labels.values()): sample.value
            for sample in metric.samples
        }
        self.assertEqual(
            counts, {('grant', 'unclear'): 1, ('grant', 'fenced'): 1}
        )
