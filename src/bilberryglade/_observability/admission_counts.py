"""Counters of a dispatcher's decisions on requests that compete."""

from collections import abc

from prometheus_client import metrics_core, registry

from bilberryglade._admission import gate


class Decisions(registry.Collector):
    """Decisions by urgency and retry, and the times that callers were told."""

    def __init__(self, counted: gate.Gate) -> None:
        """Reads the counts of `counted`."""
        self.gate = counted

    def collect(self) -> abc.Iterator[metrics_core.Metric]:
        """Returns the counts now."""
        decisions = metrics_core.CounterMetricFamily(
            'bilberryglade_admission_decisions',
            'Requests for permits by urgency, retry and what was decided.',
            labels=('urgency', 'retry', 'decision'),
        )
        for labels, count in self.gate.counts.items():
            decisions.add_metric(
                (labels.urgency, str(labels.is_retry), labels.decision), count
            )
        told = metrics_core.HistogramMetricFamily(
            'bilberryglade_admission_told_seconds',
            'Times after which refused callers were told to come back.',
        )
        told.add_metric((), self._buckets(), self.gate.told_seconds)
        return iter((decisions, told))

    def _buckets(self) -> list[tuple[str, float]]:
        """Returns the cumulative counts by upper bound."""
        total = 0
        buckets = []
        for bound in (*gate.TOLD_BOUNDS, float('inf')):
            total += self.gate.told.get(bound, 0)
            name = '+Inf' if bound == float('inf') else str(bound)
            buckets.append((name, float(total)))
        return buckets
