"""Tests the log lines and counts of orders to targets."""

import unittest

import loguru

from bilberryglade._observability import exchange_counts
from bilberryglade._ownership import order_log, ranges
from bilberryglade._values import leases

OWNER = ranges.Owner('t', 3)
ENTRY = ranges.Range(0, 15, OWNER, 4)


class OrderLogTest(unittest.TestCase):
    """Log lines and counts of grants, releases and failed orders."""

    def setUp(self) -> None:
        """Collects the log lines."""
        self.lines: list[str] = []
        sink = loguru.logger.add(self.lines.append, format='{message}')
        self.addCleanup(loguru.logger.remove, sink)
        self.log = order_log.OrderLog()

    def test_first_grant_alone_has_a_line(self) -> None:
        """Renewals are counted but not logged, to bound the log volume."""
        self.log.record_grant(ENTRY, is_first=True)
        self.log.record_grant(ENTRY, is_first=False)
        self.assertEqual(
            self.lines, ['keys 0-15 granted to t incarnation 3 fence 4\n']
        )
        self.assertEqual(self.log.counts['grant', 'confirmed'], 2)

    def test_release_names_its_keys(self) -> None:
        """The line names the released keys, not the whole range of the new owner."""
        receiver = ranges.Range(0, 99, ranges.Owner('u', 1), 8)
        self.log.record_release(receiver, OWNER, leases.Lease(0, 15, 7))
        self.assertEqual(
            self.lines, ['keys 0-15 given back by t incarnation 3 fence 7\n']
        )

    def test_failures_are_counted_by_cause(self) -> None:
        """Metrics count unanswered and refused orders separately."""
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
