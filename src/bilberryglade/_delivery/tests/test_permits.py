"""Tests of the permit ledger, which counts requests for all instances."""

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
    """Returns a permit request for the owner `t`, with one second left."""
    demand = choosing.Demand('a', 0.3, 1.0, frozenset())
    return permits.PermitRequest(
        (instance, number), 's', 't', demand._replace(**changes)
    )


class LedgerCase(unittest.TestCase):
    """A ledger with one target that has two places."""

    def setUp(self) -> None:
        """Creates the target and an empty ledger."""
        self.target = samples.target()
        self.ledger = permits.PermitLedger(
            lambda _service, _owner: [self.target], lambda _service: 0.15
        )

    def count_granted(self, count: int, **changes: typing.Any) -> int:
        """Returns how many of `count` requests by 12 instances are granted."""
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
    """Requests are counted exactly over all instances."""

    def test_burst_from_many_instances(self) -> None:
        """Only requests that can be answered in time are granted a permit."""
        granted = self.count_granted(40)
        self.assertGreaterEqual(granted, 4)
        self.assertLessEqual(granted, 8)
        self.assertEqual(self.target_standing().outstanding, granted)

    def test_idle_target_grants_every_request(self) -> None:
        """A target whose requests have ended has free places at once."""
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
        """Permits expire if their instance has crashed and never ends them."""
        self.count_granted(40)
        incarnations = {directory.life_of(self.target)}
        self.ledger.expire(NOW + 0.9, incarnations)
        self.assertGreater(self.target_standing().outstanding, 0)
        self.ledger.expire(NOW + 1.3, incarnations)
        self.assertEqual(self.target_standing().outstanding, 0)
        self.assertFalse(self.ledger.permits)

    def test_repeated_end_counts_once(self) -> None:
        """A repeated end message does not end another permit."""
        self.ledger.grant(permit_request(1), NOW)
        self.ledger.grant(permit_request(2), NOW)
        for _ in range(2):
            self.ledger.end_permit(
                ('e1', 1), send_results.FinishedSend(SendResult.good, WORK), NOW
            )
        self.assertEqual(self.target_standing().outstanding, 1)

    def test_unknown_target_gives_no_refusal(self) -> None:
        """A dispatcher that does not list the target gives no refusal."""
        ledger = permits.PermitLedger(lambda *_: [], lambda _: 0)
        self.assertIsNone(ledger.grant(permit_request(1), NOW))

    def test_unlisted_targets_are_dropped(self) -> None:
        """An unlisted target is dropped once its last request has ended."""
        self.ledger.grant(permit_request(1), NOW)
        self.ledger.expire(NOW, set())
        self.assertTrue(self.ledger.standings)
        self.ledger.end_permit(
            ('e1', 1), send_results.FinishedSend(SendResult.good, WORK), NOW
        )
        self.ledger.expire(NOW, set())
        self.assertFalse(self.ledger.standings)


class WorkTimeTests(LedgerCase):
    """The work time of a target excludes the wait in its queue."""

    def test_work_time_under_constant_queue(self) -> None:
        """Answers after a wait update the work time as well.

        Otherwise a target that is always busy would keep the work time of its
        first answer, here a short one.
        """
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
    """A target that sheds requests although it has free places."""

    def shed(self, number: int) -> None:
        """Ends a permit with a refusal for want of room."""
        key = (f'e{number % 12}', number)
        self.ledger.end_permit(
            key, send_results.FinishedSend(SendResult.shed, 0.002), NOW
        )

    def test_target_with_room_is_not_treated_as_full(self) -> None:
        """It still gets requests, and its work time rises with each refusal.

        The higher work time moves keys from it to other targets.
        """
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
        """A refusal of a target with a queue stops further requests."""
        for number in range(5):
            self.ledger.grant(permit_request(number, f'e{number}'), NOW)
        self.shed(4)
        refused = self.ledger.grant(permit_request(5, 'e5'), NOW)
        self.assertIsInstance(refused, choosing.Refusal)


class FailedExchangeTests(LedgerCase):
    """Failed exchanges, due to the target or to one instance's network path."""

    def fail_exchange(
        self, instance: str, result: send_results.SendResult
    ) -> None:
        """Grants a permit to `instance` and ends it with a failure."""
        self.ledger.grant(permit_request(1, instance), NOW)
        self.ledger.end_permit(
            (instance, 1), send_results.FinishedSend(result), NOW
        )

    def is_paused(self) -> bool:
        """Returns whether a request of another instance is refused now."""
        answer = self.ledger.grant(permit_request(9, 'e9'), NOW)
        return isinstance(answer, choosing.Refusal)

    def test_failures_of_one_instance(self) -> None:
        """An instance that is cut off does not pause the target for others."""
        for result in send_results.PATH_FAILURES:
            with self.subTest(result=result):
                self.setUp()
                for _ in range(5):
                    self.fail_exchange('e1', result)
                self.assertFalse(self.is_paused())

    def test_failures_of_two_instances(self) -> None:
        """Failures of two instances pause the target for all."""
        self.fail_exchange('e1', SendResult.lost)
        self.fail_exchange('e2', SendResult.lost)
        self.assertTrue(self.is_paused())


class ColdTests(LedgerCase):
    """A cold target's rate limit holds over all instances together."""

    def test_cold_target_request_rate(self) -> None:
        """Requests to a cold target are 0.15 s apart, whichever instance asks."""
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


class HoldTests(LedgerCase):
    """A target that wants nothing from one instance for a while."""

    def test_only_that_instance_gets_no_permit(self) -> None:
        """Others do, and so does it once the time is over."""
        self.ledger.grant(permit_request(1, 'e1'), NOW)
        held = send_results.FinishedSend(SendResult.faulty, hold_seconds=0.5)
        self.ledger.end_permit(('e1', 1), held, NOW)
        refused = self.ledger.grant(permit_request(2, 'e1'), NOW + 0.4)
        assert isinstance(refused, choosing.Refusal)
        self.assertIs(refused.reason, outcomes.Reason.held_off)
        for number, instance, at in ((3, 'e2', 0.4), (4, 'e1', 0.5)):
            with self.subTest(instance=instance):
                granted = self.ledger.grant(
                    permit_request(number, instance), NOW + at
                )
                self.assertEqual(granted, self.target)
