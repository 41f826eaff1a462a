"""Tests of single decisions, and of one failure each."""

import typing
import unittest

from bilberryglade._admission import by_worth, demands, gate, policies
from bilberryglade._admission.tests import cases, load_model
from bilberryglade._delivery import permits, send_results
from bilberryglade._targets import choosing, directory, standing
from bilberryglade._targets.tests import samples
from bilberryglade._values import outcomes

NOW: typing.Final = 50.0
POOL: typing.Final = gate.Pool('s', 't')
WORK: typing.Final = 0.1


def view(outstanding: int, **changes: typing.Any) -> choosing.View:
    """Returns a target of two places with requests at it."""
    known = standing.Standing(
        outstanding=outstanding, seconds=WORK, answers=50, reports=50
    )
    return choosing.View(
        samples.target(**changes), known, may_warm=True, cold_spacing=0
    )


def demand(urgency: int | None = 0, **changes: typing.Any) -> choosing.Demand:
    """Returns the demand of a request with a second left to its aim."""
    asked = choosing.Demand('a', 1.0, 3.0, frozenset(), urgency=urgency)
    return asked._replace(**changes)


class GateCase(unittest.TestCase):
    """A gate that decides by worth, without chance."""

    def setUp(self) -> None:
        """Starts without memory."""
        self.gate = gate.Gate(policies.BY_WORTH, float)

    def ask(
        self, outstanding: int, asked: choosing.Demand, now: float = NOW
    ) -> choosing.View | choosing.Refusal:
        """Returns the decision with so many requests at the target."""
        return self.gate.decide(POOL, [view(outstanding)], asked, now)

    def press(self, urgency: int | None, count: int) -> None:
        """Lets requests compete for a full target for a second."""
        for number in range(count):
            self.ask(20, demand(urgency), NOW - 1 + number / count)

    def booked(self) -> tuple[float, ...]:
        """Returns the appointments of the most urgent kind."""
        kind = self.gate.memories[POOL][0]
        return kind.book.times


class DecisionTests(GateCase):
    """Which requests get a place."""

    def test_contracts_choose_no_policy(self) -> None:
        """Only `pressure` asks for the new policy; both are registered."""
        self.assertEqual(policies.name_for({'pressure'}), policies.BY_WORTH)
        self.assertEqual(policies.name_for({'x'}), policies.FIRST_COME)
        for name in (policies.BY_WORTH, policies.FIRST_COME):
            self.assertIsNotNone(policies.policies.find(name))

    def test_first_come_decides_otherwise_than_before(self) -> None:
        """It admits and refuses what `choosing.choose` does."""
        first_come = gate.Gate()
        for outstanding in range(20):
            for aim_left in (-0.2, 0.1, 0.5, 2.0):
                asked = demand(aim_left=aim_left)
                offered = [view(outstanding)]
                with self.subTest(outstanding=outstanding, aim=aim_left):
                    self.assertEqual(
                        first_come.decide(POOL, offered, asked, NOW),
                        choosing.choose(offered, asked, NOW),
                    )
        self.assertFalse(first_come.memories)

    def test_target_gets_more_than_it_queues(self) -> None:
        """However long the aim, a full queue gets nothing."""
        refused = self.ask(9, demand(aim_left=100.0, time_left=200.0))
        assert isinstance(refused, choosing.Refusal)
        self.assertEqual(refused.cause, by_worth.Cause.full)
        self.assertIs(refused.reason, outcomes.Reason.queue_full)

    def test_late_request_takes_a_place_that_others_want(self) -> None:
        """It waits for nobody under pressure; a free place is its own."""
        self.press(0, 60)
        late = demand(aim_left=-0.1)
        refused = self.ask(2, late)
        assert isinstance(refused, choosing.Refusal)
        self.assertEqual(refused.cause, by_worth.Cause.late)

    def test_less_urgent_queue_makes_the_more_urgent_late(self) -> None:
        """A request with a long aim waits only as long as theirs allow."""
        self.ask(0, demand(0, aim_left=0.3))
        refused = self.ask(7, demand(2, aim_left=5.0, time_left=9.0))
        assert isinstance(refused, choosing.Refusal)
        self.assertEqual(refused.cause, by_worth.Cause.queue)

    def test_kept_appointment_is_refused_for_its_share(self) -> None:
        """Who comes back at the time told has a place before first comers."""
        self.press(0, 400)
        shared_out = [self.ask(4, demand(0)) for _ in range(4)]
        self.assertIsInstance(shared_out[-1], choosing.Refusal)
        back_at = max(self.booked()[0], NOW)
        came = self.ask(4, demand(0, aim_left=0.8, is_retry=True), back_at)
        self.assertIsInstance(came, choosing.View)
        first = self.ask(4, demand(0), back_at)
        self.assertIsInstance(first, choosing.Refusal)

    def test_caller_is_told_a_time_beyond_its_patience(self) -> None:
        """An appointment is at most a third of its time left away."""
        for count in range(60):
            refused = self.ask(20, demand(0, time_left=0.9), NOW + count / 99)
            assert isinstance(refused, choosing.Refusal)
        for moment in self.booked():
            self.assertLessEqual(moment, NOW + 60 / 99 + 0.3)


class FailureTests(GateCase):
    """One failure each."""

    def test_dispatcher_is_lost_between_grant_and_end(self) -> None:
        """Ends that come to a successor end nothing and free nothing."""
        ledger = permits.PermitLedger(
            lambda *_: [samples.target()],
            lambda _: 0,
            admission_gate=self.gate,
        )
        finished = send_results.FinishedSend(send_results.SendResult.good, WORK)
        ledger.end_permit(('e1', 7), finished, NOW)
        self.assertFalse(ledger.standings)
        granted = ledger.grant(
            permits.PermitRequest(('e1', 8), 's', 't', demand()), NOW
        )
        self.assertIsInstance(granted, directory.Target)
        ledger.expire(NOW + 9, set())
        self.assertFalse(ledger.permits)
        ledger.expire(NOW + 99, set())
        self.assertFalse(self.gate.memories)

    def test_successor_without_memory_refuses_or_floods(self) -> None:
        """It begins as `first_come` does and has learnt within 2 s."""
        case = cases.SATURATED_STEADY._replace(successor_at=20.0)
        play = load_model.Model(case, policies.BY_WORTH).play()
        whole = load_model.Model(
            case._replace(successor_at=0), policies.BY_WORTH
        ).play()
        self.assertLessEqual(play.swallowed, load_model.QUEUE)
        self.assertGreaterEqual(
            play.tallies['all'].worth_share,
            whole.tallies['all'].worth_share - 0.03,
        )

    def test_old_instance_without_the_new_fields_starves(self) -> None:
        """Its requests get an even share beside those that tell urgency."""
        kinds = (
            cases.LOOK_UPS._replace(rate=12),
            cases.LOOK_UPS._replace(name='untold', rate=12, urgency=None),
            cases.LOOK_UPS._replace(name='least', rate=12, urgency=4),
        )
        case = cases.SATURATED_STEADY._replace(kinds=kinds)
        tallies = load_model.Model(case, policies.BY_WORTH).play().tallies
        self.assertGreater(tallies['untold'].served, tallies['least'].served)
        self.assertLess(tallies['untold'].served, tallies['look-ups'].served)

    def test_odd_urgencies_fill_the_memory(self) -> None:
        """Any number of them counts as a few kinds; none breaks a decision."""
        for urgency in (*range(500), -3, 10**18, None):
            self.ask(9, demand(urgency, aim_left=-1e9, time_left=-1e9))
        kinds = self.gate.memories[POOL]
        self.assertLessEqual(len(kinds), demands.MOST_KINDS + 1)

    def test_clock_stands_still_or_target_never_answered(self) -> None:
        """Requests of one moment at an unknown target are bounded."""
        unknown = choosing.View(
            samples.target(), standing.Standing(), may_warm=True
        )
        for _ in range(100):
            decided = self.gate.decide(POOL, [unknown], demand(), NOW)
            self.assertIsInstance(decided, choosing.View | choosing.Refusal)
        refused = self.gate.decide(POOL, [], demand(), NOW)
        self.assertIsInstance(refused, choosing.Refusal)
