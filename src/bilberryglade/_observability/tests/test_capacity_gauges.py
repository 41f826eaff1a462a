"""Tests of what operators see of learnt limits."""

import unittest

import prometheus_client

from bilberryglade._capacity import learning, limits
from bilberryglade._observability import capacity_gauges
from bilberryglade._targets import directory
from bilberryglade._targets.tests import samples


class GaugesTest(unittest.TestCase):
    """Two services; one target of the first is limited."""

    def test_by_service(self) -> None:
        """Each service has its own figures, and targets add no labels."""
        policy = learning.LearntPolicy()
        for name, service in (('a', 's'), ('b', 's'), ('c', 'other')):
            target = samples.target(name=name, service=service, places=4)
            policy.begin(target, name, 0)
            if name == 'a':
                life = policy.lives[directory.life_of(target)]
                life.limit = limits.Limit(3)
        registry = prometheus_client.CollectorRegistry()
        registry.register(capacity_gauges.CapacityGauges(policy))
        text = prometheus_client.generate_latest(registry).decode()
        for line in (
            'bilberryglade_dispatched_targets_limited{service="s"} 1.0',
            'bilberryglade_dispatched_targets_limited{service="other"} 0.0',
            'bilberryglade_dispatched_places{kind="used",service="s"} 7.0',
            'bilberryglade_dispatched_places{kind="configured",service="s"} 8.0',
            'bilberryglade_dispatched_pace{service="s"} 0.0',
        ):
            with self.subTest(line=line):
                self.assertIn(line, text)
