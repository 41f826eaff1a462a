"""What a dispatcher that leaves tells the next one, and what is made of it."""

import typing
import unittest
from unittest import mock

from bilberryglade._capacity import curve, handover, learning, limits, policies
from bilberryglade._codec import codec
from bilberryglade._delivery import permit_broker
from bilberryglade._membership import fleet
from bilberryglade._targets import directory
from bilberryglade._targets.tests import samples
from bilberryglade._values import clock
from bilberryglade_lab.experiments import target_load
from bilberryglade_schema import fleet as messages

MEMBERS: typing.Final = ('e1', 'e2', 'e3', 'e4')
#: Most bytes of a message, so that one over a link of 5 Mbit/s takes 10 ms.
MAX_BYTES: typing.Final = 6000


class HandoverTests(unittest.TestCase):
    """Four instances and 100 targets of a service with keys."""

    def setUp(self) -> None:
        """Lets the first instance learn of all targets."""
        stopped = mock.patch.object(clock, 'now', lambda: 0.5)
        stopped.start()
        self.addCleanup(stopped.stop)
        self.sent: list[tuple[str, messages.Capacity]] = []
        self.listed = {
            f'target-{index}': samples.target(
                name=f'target-{index}', places=4, failure_domain='ab'[index % 2]
            )
            for index in range(100)
        }
        self.policy = learning.LearntPolicy()
        for target in self.listed.values():
            self.policy.begin(target, 'x', 0)
            life = self.policy.lives[directory.life_of(target)]
            life.limit = limits.Limit(3)
            for step in range(40):
                sample = curve.Sample(3, 0.1)
                life.curve = curve.add(life.curve, sample, step * 0.01)
        self.handover = self.handover_of(self.policy)

    def handover_of(self, policy: policies.Policy) -> handover.Handover:
        """Returns the hand-over of the first instance."""
        network = mock.Mock()
        network.send = lambda address, message: self.sent.append(
            (address, message)
        )
        own = fleet.Member(MEMBERS[0], 'b', MEMBERS[0], 'a')
        others = [fleet.Member(name, 'b', name, 'b') for name in MEMBERS[1:]]
        members = fleet.Fleet(own, network, others)
        reader = mock.Mock()
        reader.known.directory.targets = self.listed
        reader.known.service.return_value.is_partitioned = True
        return handover.Handover(members, reader, policy)

    def test_each_target_goes_to_its_next_dispatcher(self) -> None:
        """No target is left out, and none is told to a member that leaves."""
        self.handover.members.leave('e2')
        self.handover.send()
        told: dict[str, str] = {}
        for address, message in self.sent:
            for row in message['targets']:
                told[row['target']] = address
        self.assertEqual(set(told), set(self.listed))
        for name, address in told.items():
            ranking = permit_broker.rank_pool(
                's', self.listed[name], self.handover.members
            )
            others = [member for member in ranking if member != MEMBERS[0]]
            self.assertEqual(address, others[0])

    def test_messages_are_small(self) -> None:
        """A link that is full of requests bears them."""
        self.handover.send()
        sizes = [len(codec.encode_packed(message)) for _, message in self.sent]
        self.assertLessEqual(max(sizes), MAX_BYTES)

    def test_successor_knows_what_was_learnt(self) -> None:
        """Limit, curve and count arrive; other lives are left out."""
        self.handover.send()
        gone = self.listed['target-7']
        self.listed['target-7'] = gone._replace(born=gone.born + 1)
        self.listed.pop('target-8')
        successor = learning.LearntPolicy()
        receiver = self.handover_of(successor)
        for _, message in self.sent:
            receiver.handle(message)
        self.assertEqual(len(successor.lives), 98)
        for life in successor.lives.values():
            self.assertEqual(life.limit.level, 3)
            self.assertEqual(life.others, 1)
            self.assertIsNotNone(
                curve.estimate(life.curve, 3, life.reported_at)
            )

    def test_unfit_levels(self) -> None:
        """A curve of another number of places is not taken."""
        target = self.listed['target-1']
        known = next(iter(self.policy.learnt(1)))
        for changes in ({'levels': ()}, {'level': 99}, {'level': 0}):
            with self.subTest(changes=changes):
                successor = learning.LearntPolicy()
                odd = known._replace(target=target, **changes)
                successor.take(odd, 1)
                life = successor.lives[directory.life_of(target)]
                self.assertTrue(1 <= life.limit.level <= 4)

    def test_configured_policy_hands_over_nothing(self) -> None:
        """Deployments without the learnt policy get no message more."""
        self.handover_of(policies.Configured()).send()
        self.assertEqual(self.sent, [])


class ShownTests(unittest.TestCase):
    """What is learnt, as metrics and messages show it."""

    def test_pace(self) -> None:
        """It is what the target finishes at its limit."""
        model = target_load.Model(
            policies.LEARNT,
            [target_load.TargetKind(1.0, (1.0, 1.0, 1.0, 1.0))],
            [target_load.CallerKind(45)],
        )
        model.run(10)
        shown = next(iter(model.policy.learnt(model.now)))
        self.assertEqual(shown.places, 4)
        self.assertAlmostEqual(shown.pace, 4 / 0.121, delta=8)
