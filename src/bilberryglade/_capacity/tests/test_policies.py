"""Which policy is in force, and what the configured one does."""

import unittest

from bilberryglade._capacity import learning, policies
from bilberryglade._targets import choosing, standing
from bilberryglade._targets.tests import samples


class ChoiceTests(unittest.TestCase):
    """Deployments that were in service before keep what they have."""

    def test_contracts(self) -> None:
        """Pressure, or contracts without tenants, ask for the learnt policy."""
        for contracts, name in (
            ({'tenants'}, 'configured'),
            ({'tenants', 'rollout'}, 'configured'),
            ({'tenants', 'pressure'}, 'learnt'),
            ({'rollout'}, 'learnt'),
            (set(), 'configured'),
        ):
            with self.subTest(contracts=contracts):
                self.assertEqual(policies.name_for(contracts), name)

    def test_registered(self) -> None:
        """Every name has a policy, each instance its own."""
        learnt = policies.policy_for(frozenset(('own',)))
        self.assertIsInstance(learnt, learning.LearntPolicy)
        self.assertIsNot(learnt, policies.policy_for(frozenset(('own',))))
        configured = policies.policy_for(frozenset(('tenants',)))
        self.assertIsInstance(configured, policies.Configured)

    def test_configured_changes_no_view(self) -> None:
        """A target without a learnt limit is used as before."""
        view = choosing.View(
            samples.target(), standing.Standing(outstanding=99), may_warm=True
        )
        self.assertEqual(policies.Configured().view(view, 0), view)
