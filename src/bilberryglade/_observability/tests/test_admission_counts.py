"""Tests of the counters of admission."""

import unittest

import prometheus_client

from bilberryglade._admission import gate
from bilberryglade._observability import admission_counts
from bilberryglade._targets import choosing


class CountTests(unittest.TestCase):
    """What an operator sees of decisions."""

    def test_refusals_are_not_seen(self) -> None:
        """They count by urgency, retry and cause, with the times told."""
        counted = gate.Gate('by_worth', float)
        asked = choosing.Demand('a', 1, 3, frozenset(), urgency=2)
        for _ in range(3):
            counted.decide(gate.Pool('s', 't'), [], asked, 50)
        collector = prometheus_client.CollectorRegistry()
        collector.register(admission_counts.Decisions(counted))
        labels = {'urgency': '2', 'retry': 'False', 'decision': 'no_owner'}
        self.assertEqual(
            collector.get_sample_value(
                'bilberryglade_admission_decisions_total', labels
            ),
            3,
        )
        told = 'bilberryglade_admission_told_seconds'
        self.assertEqual(collector.get_sample_value(f'{told}_count'), 3)
        self.assertAlmostEqual(
            collector.get_sample_value(f'{told}_sum') or 0,
            3 * choosing.MOST_RETRY_SECONDS,
        )
