"""Counters of rollouts: shares, sends by version, orders not followed."""

from collections import abc

from prometheus_client import metrics_core, registry

from bilberryglade._rollouts import manager


class RolloutCounts(registry.Collector):
    """What an instance sends to which version, and what it decides."""

    def __init__(self, rollouts: manager.Manager) -> None:
        """Reads the counts of `rollouts`."""
        self.rollouts = rollouts

    def collect(self) -> abc.Iterator[metrics_core.Metric]:
        """Returns the counts now."""
        shares = metrics_core.GaugeMetricFamily(
            'bilberryglade_rollout_share',
            'Share of requests for the ordered version, as told last.',
            labels=('service', 'version', 'phase'),
        )
        exposure = self.rollouts.exposure
        for told in exposure.told.values():
            shares.add_metric(
                (
                    told.rollout.service,
                    told.rollout.version,
                    told.rollout.phase.value,
                ),
                told.rollout.share,
            )
        sends = metrics_core.CounterMetricFamily(
            'bilberryglade_version_sends',
            'Requests sent to targets by their version.',
            labels=('service', 'version'),
        )
        for labels, count in exposure.sends.items():
            sends.add_metric(labels, count)
        refused = metrics_core.CounterMetricFamily(
            'bilberryglade_rollout_orders_refused',
            'Orders to move a service that could not be followed.',
            labels=('cause',),
        )
        for cause, count in self.rollouts.refusals.counts.items():
            refused.add_metric((cause,), count)
        failures = metrics_core.CounterMetricFamily(
            'bilberryglade_rollout_writes_failed',
            'Records of rollouts that the store did not take, repeats included.',
        )
        failures.add_metric((), self.rollouts.records.failures)
        return iter((shares, sends, refused, failures))
