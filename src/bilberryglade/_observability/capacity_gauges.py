"""What this instance has learnt of the targets that it dispatches, as metrics."""

from collections import abc

from prometheus_client import metrics_core, registry

from bilberryglade._capacity import policies
from bilberryglade._values import clock


class CapacityGauges(registry.Collector):
    """Limits and paces by service; targets have no labels of their own."""

    def __init__(self, policy: policies.Policy) -> None:
        """`policy` is that of this instance's permits."""
        self.policy = policy

    def collect(self) -> abc.Iterator[metrics_core.Metric]:
        """Returns the gauges as they stand now."""
        by_service: dict[str, list[policies.Learnt]] = {}
        for learnt in self.policy.learnt(clock.now()):
            by_service.setdefault(learnt.target.service, []).append(learnt)
        limited = metrics_core.GaugeMetricFamily(
            'bilberryglade_dispatched_targets_limited',
            'Targets with a limit below their places that are dispatched here.',
            labels=('service',),
        )
        places = metrics_core.GaugeMetricFamily(
            'bilberryglade_dispatched_places',
            'Requests that dispatched targets may run: configured and in use.',
            labels=('service', 'kind'),
        )
        paces = metrics_core.GaugeMetricFamily(
            'bilberryglade_dispatched_pace',
            'Requests a second that dispatched targets of known pace finish.',
            labels=('service',),
        )
        for service, known in by_service.items():
            configured = sum(one.target.places for one in known)
            used = sum(one.places for one in known)
            fewer = sum(one.places < one.target.places for one in known)
            limited.add_metric((service,), fewer)
            places.add_metric((service, 'configured'), configured)
            places.add_metric((service, 'used'), used)
            paces.add_metric((service,), sum(one.pace for one in known))
        return iter((limited, places, paces))
