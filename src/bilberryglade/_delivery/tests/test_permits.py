"""Requests at targets, counted for all instances by one."""

import typing
import unittest

from bilberryglade._delivery import endings, permits
from bilberryglade._targets import choosing, directory, standing
from bilberryglade._targets.tests import samples
from bilberryglade._values import outcomes

NOW: typing.Final = 50.0
WORK: typing.Final = 0.09
Ending = endings.Ending


def ask(number: int, asker: str = 'e1', **changes: typing.Any) -> permits.Ask:
    """Returns an ask for the owner `t` of a request that just came in."""
    demand = choosing.Demand('a', 0.3, 1.0, frozenset())
    return permits.Ask((asker, number), 's', 't', demand._replace(**changes))


class LedgerCase(unittest.TestCase):
    """One target with two places."""

    def setUp(self) -> None:
        """Its work takes as long as usual."""
        self.target = samples.target()
        self.ledger = permits.Ledger(
            lambda _service, _owner: [self.target], lambda _service: 0.15
        )

    def grants(self, count: int, **changes: typing.Any) -> int:
        """Returns how many of `count` asks of several instances pass."""
        passed = 0
        for number in range(count):
            asker = f'e{number % 12}'
            given = self.ledger.grant(ask(number, asker, **changes), NOW)
            passed += isinstance(given, directory.Target)
        return passed

    def known(self) -> standing.Standing:
        """Returns the standing of the target."""
        return self.ledger.standings[directory.life_of(self.target)]


class CountTests(LedgerCase):
    """Exact counts over all instances."""

    def test_a_burst_over_many_instances(self) -> None:
        """The queue holds what can be in time, whoever asks."""
        passed = self.grants(40)
        self.assertGreaterEqual(passed, 4)
        self.assertLessEqual(passed, 8)
        self.assertEqual(self.known().outstanding, passed)

    def test_an_idle_target_refuses_nobody(self) -> None:
        """After all requests have ended, its places are free at once."""
        for number in range(200):
            given = self.ledger.grant(ask(number, f'e{number % 12}'), NOW)
            self.assertEqual(given, self.target)
            report = standing.Report(1, 0)
            self.ledger.end(
                (f'e{number % 12}', number),
                endings.Ended(Ending.good, WORK, report),
                NOW,
            )
        self.assertEqual(self.known().outstanding, 0)

    def test_lost_ends(self) -> None:
        """The permits of an instance that is gone run out by themselves."""
        self.grants(40)
        lives = {directory.life_of(self.target)}
        self.ledger.expire(NOW + 0.9, lives)
        self.assertGreater(self.known().outstanding, 0)
        self.ledger.expire(NOW + 1.3, lives)
        self.assertEqual(self.known().outstanding, 0)
        self.assertFalse(self.ledger.permits)

    def test_an_end_that_comes_twice(self) -> None:
        """It counts once."""
        self.ledger.grant(ask(1), NOW)
        self.ledger.grant(ask(2), NOW)
        for _ in range(2):
            self.ledger.end(('e1', 1), endings.Ended(Ending.good, WORK), NOW)
        self.assertEqual(self.known().outstanding, 1)

    def test_a_target_that_is_not_known(self) -> None:
        """Nobody is refused because of what the dispatcher does not know."""
        ledger = permits.Ledger(lambda *_: [], lambda _: 0)
        self.assertIsNone(ledger.grant(ask(1), NOW))

    def test_targets_that_left_are_forgotten(self) -> None:
        """Only after their last request has ended."""
        self.ledger.grant(ask(1), NOW)
        self.ledger.expire(NOW, set())
        self.assertTrue(self.ledger.standings)
        self.ledger.end(('e1', 1), endings.Ended(Ending.good, WORK), NOW)
        self.ledger.expire(NOW, set())
        self.assertFalse(self.ledger.standings)


class WorkTests(LedgerCase):
    """The time of work, told apart from the wait before it."""

    def test_a_queue_that_never_ends(self) -> None:
        """A target that is always busy is not taken for as fast as once."""
        first = endings.Ended(Ending.good, 0.002, standing.Report(1, 0))
        self.ledger.grant(ask(0), NOW)
        self.ledger.end(('e1', 0), first, NOW)
        for number in range(1, 60):
            busy = [ask(number * 9 + place) for place in range(4)]
            for one in busy:
                self.ledger.grant(one, NOW)
            for place, one in enumerate(busy):
                rounds = 1 + max(place - 1, 0) / 2
                ended = endings.Ended(
                    Ending.good, WORK * rounds, standing.Report(2, 2)
                )
                self.ledger.end(one.key, ended, NOW)
        self.assertAlmostEqual(self.known().seconds, WORK, delta=0.01)
        told = self.ledger.seconds(NOW)
        self.assertAlmostEqual(told['t'], WORK, delta=0.01)
        self.assertEqual(self.ledger.seconds(NOW + 1), {})


class FaultTests(LedgerCase):
    """A target that sheds requests for no reason."""

    def shed(self, number: int) -> None:
        """Lets the target refuse a request for want of room."""
        key = (f'e{number % 12}', number)
        self.ledger.end(key, endings.Ended(Ending.shed, 0.002), NOW)

    def test_it_is_not_taken_for_full(self) -> None:
        """The next request is sent, and its keys should have less load."""
        self.ledger.grant(ask(0, 'e0'), NOW)
        good = endings.Ended(Ending.good, WORK, standing.Report(1, 0))
        self.ledger.end(('e0', 0), good, NOW)
        before = self.ledger.seconds(NOW)['t']
        for number in range(1, 9):
            given = self.ledger.grant(ask(number, f'e{number % 12}'), NOW)
            self.assertEqual(given, self.target)
            self.shed(number)
        self.assertGreater(self.ledger.seconds(NOW)['t'], before * 1.5)

    def test_one_that_is_full(self) -> None:
        """Behind a queue it is believed."""
        for number in range(5):
            self.ledger.grant(ask(number, f'e{number}'), NOW)
        self.shed(4)
        refused = self.ledger.grant(ask(5, 'e5'), NOW)
        self.assertIsInstance(refused, choosing.Refusal)


class LossTests(LedgerCase):
    """Exchanges that failed: the target's fault, or a path's."""

    def lose(self, asker: str, ending: endings.Ending) -> None:
        """Lets an exchange of an instance fail."""
        self.ledger.grant(ask(1, asker), NOW)
        self.ledger.end((asker, 1), endings.Ended(ending), NOW)

    def is_paused(self) -> bool:
        """Tells whether the target gets nothing just now."""
        given = self.ledger.grant(ask(9, 'e9'), NOW)
        return isinstance(given, choosing.Refusal)

    def test_one_instance_alone(self) -> None:
        """An instance that is cut off keeps nobody else from a target."""
        for ending in endings.FAILURES:
            with self.subTest(ending=ending):
                self.setUp()
                for _ in range(5):
                    self.lose('e1', ending)
                self.assertFalse(self.is_paused())

    def test_two_instances(self) -> None:
        """What two of them lost pauses the target for all."""
        self.lose('e1', Ending.lost)
        self.lose('e2', Ending.lost)
        self.assertTrue(self.is_paused())


class ColdTests(LedgerCase):
    """A cold target gets its rate over all instances."""

    def test_spacing(self) -> None:
        """One request at a time, at its rate."""
        self.target = samples.target(cold_until=NOW + 9)
        passed = 0
        for step in range(100):
            at = NOW + step * 0.02
            key = (f'e{step % 12}', step)
            given = self.ledger.grant(ask(step, key[0]), at)
            passed += isinstance(given, directory.Target)
            self.ledger.end(key, endings.Ended(Ending.good, WORK), at)
        self.assertLessEqual(passed, 14)
        self.assertGreaterEqual(passed, 10)
        refused = self.ledger.grant(ask(200), NOW + 2)
        assert isinstance(refused, choosing.Refusal)
        self.assertEqual(refused.reason, outcomes.Reason.cold)
