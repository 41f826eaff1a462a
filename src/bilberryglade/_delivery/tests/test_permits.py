"""Requests at targets, counted for all instances by one."""

import typing
import unittest

from bilberryglade._delivery import permits, send_results
from bilberryglade._targets import choosing, directory, standing
from bilberryglade._targets.tests import samples
from bilberryglade._values import outcomes

NOW: typing.Final = 50.0
WORK: typing.Final = 0.09
SendResult = send_results.SendResult


def permit_request(
    number: int, instance: str = 'e1', **changes: typing.Any
) -> permits.PermitRequest:
    """Returns an ask for the owner `t` of a request that just came in."""
    demand = choosing.Demand('a', 0.3, 1.0, frozenset())
    return permits.PermitRequest(
        (instance, number), 's', 't', demand._replace(**changes)
    )


class LedgerCase(unittest.TestCase):
    """One target with two places."""

    def setUp(self) -> None:
        """Its work takes as long as usual."""
        self.target = samples.target()
        self.ledger = permits.PermitLedger(
            lambda _service, _owner: [self.target], lambda _service: 0.15
        )

    def count_granted(self, count: int, **changes: typing.Any) -> int:
        """Returns how many of `count` asks of several instances pass."""
        granted = 0
        for number in range(count):
            instance = f'e{number % 12}'
            answer = self.ledger.grant(
                permit_request(number, instance, **changes), NOW
            )
            granted += isinstance(answer, directory.Target)
        return granted

    def target_standing(self) -> standing.Standing:
        """Returns the standing of the target."""
        return self.ledger.standings[directory.life_of(self.target)]


class CountTests(LedgerCase):
    """Exact counts over all instances."""

    def test_burst_from_many_instances(self) -> None:
        """The queue holds what can be in time, whoever asks."""
        granted = self.count_granted(40)
        self.assertGreaterEqual(granted, 4)
        self.assertLessEqual(granted, 8)
        self.assertEqual(self.target_standing().outstanding, granted)

    def test_idle_target_grants_every_request(self) -> None:
        """After all requests have ended, its places are free at once."""
        for number in range(200):
            answer = self.ledger.grant(
                permit_request(number, f'e{number % 12}'), NOW
            )
            self.assertEqual(answer, self.target)
            report = standing.Report(1, 0)
            self.ledger.end_permit(
                (f'e{number % 12}', number),
                send_results.FinishedSend(SendResult.good, WORK, report),
                NOW,
            )
        self.assertEqual(self.target_standing().outstanding, 0)

    def test_permits_without_end_expire(self) -> None:
        """The permits of an instance that is gone run out by themselves."""
        self.count_granted(40)
        incarnations = {directory.life_of(self.target)}
        self.ledger.expire(NOW + 0.9, incarnations)
        self.assertGreater(self.target_standing().outstanding, 0)
        self.ledger.expire(NOW + 1.3, incarnations)
        self.assertEqual(self.target_standing().outstanding, 0)
        self.assertFalse(self.ledger.permits)

    def test_repeated_end_counts_once(self) -> None:
        """It counts once."""
        self.ledger.grant(permit_request(1), NOW)
        self.ledger.grant(permit_request(2), NOW)
        for _ in range(2):
            self.ledger.end_permit(
                ('e1', 1), send_results.FinishedSend(SendResult.good, WORK), NOW
            )
        self.assertEqual(self.target_standing().outstanding, 1)

    def test_unknown_target_gives_no_refusal(self) -> None:
        """Nobody is refused because of what the dispatcher does not know."""
        ledger = permits.PermitLedger(lambda *_: [], lambda _: 0)
        self.assertIsNone(ledger.grant(permit_request(1), NOW))

    def test_unlisted_targets_are_dropped(self) -> None:
        """Only after their last request has ended."""
        self.ledger.grant(permit_request(1), NOW)
        self.ledger.expire(NOW, set())
        self.assertTrue(self.ledger.standings)
        self.ledger.end_permit(
            ('e1', 1), send_results.FinishedSend(SendResult.good, WORK), NOW
        )
        self.ledger.expire(NOW, set())
        self.assertFalse(self.ledger.standings)


class WorkTimeTests(LedgerCase):
    """The time of work, told apart from the wait before it."""

    def test_work_time_under_constant_queue(self) -> None:
        """A target that is always busy is not taken for as fast as once."""
        first = send_results.FinishedSend(
            SendResult.good, 0.002, standing.Report(1, 0)
        )
        self.ledger.grant(permit_request(0), NOW)
        self.ledger.end_permit(('e1', 0), first, NOW)
        for number in range(1, 60):
            requests = [
                permit_request(number * 9 + place) for place in range(4)
            ]
            for request in requests:
                self.ledger.grant(request, NOW)
            for place, request in enumerate(requests):
                work_units = 1 + max(place - 1, 0) / 2
                finished = send_results.FinishedSend(
                    SendResult.good, WORK * work_units, standing.Report(2, 2)
                )
                self.ledger.end_permit(request.key, finished, NOW)
        self.assertAlmostEqual(self.target_standing().seconds, WORK, delta=0.01)
        work_seconds = self.ledger.work_seconds(NOW)
        self.assertAlmostEqual(work_seconds['t'], WORK, delta=0.01)
        self.assertEqual(self.ledger.work_seconds(NOW + 1), {})


class NeedlessShedTests(LedgerCase):
    """A target that sheds requests for no reason."""

    def shed(self, number: int) -> None:
        """Lets the target refuse a request for want of room."""
        key = (f'e{number % 12}', number)
        self.ledger.end_permit(
            key, send_results.FinishedSend(SendResult.shed, 0.002), NOW
        )

    def test_target_with_room_is_not_treated_as_full(self) -> None:
        """The next request is sent, and its keys should have less load."""
        self.ledger.grant(permit_request(0, 'e0'), NOW)
        good = send_results.FinishedSend(
            SendResult.good, WORK, standing.Report(1, 0)
        )
        self.ledger.end_permit(('e0', 0), good, NOW)
        work_before = self.ledger.work_seconds(NOW)['t']
        for number in range(1, 9):
            answer = self.ledger.grant(
                permit_request(number, f'e{number % 12}'), NOW
            )
            self.assertEqual(answer, self.target)
            self.shed(number)
        self.assertGreater(
            self.ledger.work_seconds(NOW)['t'], work_before * 1.5
        )

    def test_full_target_refuses(self) -> None:
        """Behind a queue it is believed."""
        for number in range(5):
            self.ledger.grant(permit_request(number, f'e{number}'), NOW)
        self.shed(4)
        refused = self.ledger.grant(permit_request(5, 'e5'), NOW)
        self.assertIsInstance(refused, choosing.Refusal)


class FailedExchangeTests(LedgerCase):
    """Exchanges that failed: the target's fault, or a path's."""

    def fail_exchange(
        self, instance: str, result: send_results.SendResult
    ) -> None:
        """Lets an exchange of an instance fail."""
        self.ledger.grant(permit_request(1, instance), NOW)
        self.ledger.end_permit(
            (instance, 1), send_results.FinishedSend(result), NOW
        )

    def is_paused(self) -> bool:
        """Tells whether the target gets nothing just now."""
        answer = self.ledger.grant(permit_request(9, 'e9'), NOW)
        return isinstance(answer, choosing.Refusal)

    def test_failures_of_one_instance(self) -> None:
        """An instance that is cut off keeps nobody else from a target."""
        for result in send_results.PATH_FAILURES:
            with self.subTest(result=result):
                self.setUp()
                for _ in range(5):
                    self.fail_exchange('e1', result)
                self.assertFalse(self.is_paused())

    def test_failures_of_two_instances(self) -> None:
        """What two of them lost pauses the target for all."""
        self.fail_exchange('e1', SendResult.lost)
        self.fail_exchange('e2', SendResult.lost)
        self.assertTrue(self.is_paused())


class ColdTests(LedgerCase):
    """A cold target gets its rate over all instances."""

    def test_cold_target_request_rate(self) -> None:
        """One request at a time, at its rate."""
        self.target = samples.target(cold_until=NOW + 9)
        granted = 0
        for step in range(100):
            sent_at = NOW + step * 0.02
            key = (f'e{step % 12}', step)
            answer = self.ledger.grant(permit_request(step, key[0]), sent_at)
            granted += isinstance(answer, directory.Target)
            self.ledger.end_permit(
                key, send_results.FinishedSend(SendResult.good, WORK), sent_at
            )
        self.assertLessEqual(granted, 14)
        self.assertGreaterEqual(granted, 10)
        refused = self.ledger.grant(permit_request(200), NOW + 2)
        assert isinstance(refused, choosing.Refusal)
        self.assertEqual(refused.reason, outcomes.Reason.cold)
