"""Which target gets a request, and when none does."""

import typing
import unittest

from bilberryglade._targets import choosing, standing
from bilberryglade._targets.tests import samples
from bilberryglade._values import outcomes

NOW: typing.Final = 100.0


def view(name: str, **known: typing.Any) -> choosing.View:
    """Returns a view of a warm target with two places."""
    changes = {
        field: known.pop(field)
        for field in ('cold_until', 'is_draining', 'failure_domain')
        if field in known
    }
    target = samples.target(name=name, offset=10, **changes)
    may_warm = known.pop('may_warm', True)
    return choosing.View(target, standing.Standing(**known), may_warm)


def demand(**changes: typing.Any) -> choosing.Demand:
    """Returns a fresh request's demand."""
    return choosing.Demand('a', 0.3, 1.0, frozenset())._replace(**changes)


def answered(
    known: standing.Standing,
    seconds: float | None,
    report: standing.Report | None,
    now: float = NOW,
) -> standing.Standing:
    """Returns a standing after a good answer to work of so many seconds."""
    answer = standing.Answer(seconds, report, is_good=True)
    return standing.answered(known, answer, now)


class ChoiceTests(unittest.TestCase):
    """The cheapest usable target."""

    def test_table(self) -> None:
        """The better of two targets, for one reason at a time."""
        good = view('good', seconds=0.09)
        cases = (
            ('slower', view('bad', seconds=0.2)),
            ('busier', view('bad', seconds=0.09, outstanding=2)),
            ('failing', view('bad', seconds=0.09, failing=0.5)),
            ('elsewhere', view('bad', seconds=0.09, failure_domain='b')),
            ('cold', view('bad', seconds=0.09, cold_until=NOW + 1)),
            ('leaving', view('bad', seconds=0.01, is_draining=True)),
            (
                'paused',
                view('bad', seconds=0.01, paused_until=NOW + 1, losses=2),
            ),
            (
                'being tried',
                view('bad', seconds=0.01, losses=2, outstanding=1),
            ),
        )
        for name, bad in cases:
            with self.subTest(name=name):
                chosen = choosing.choose((bad, good), demand(), NOW)
                self.assertEqual(chosen, good)

    def test_tried_before(self) -> None:
        """A request is not sent to the same target twice."""
        chosen = choosing.choose(
            (view('x'),), demand(tried=frozenset(('x',))), NOW
        )
        self.assertIsInstance(chosen, choosing.Refusal)

    def test_cold_rate(self) -> None:
        """One instance sends to a cold target once in its spacing."""
        spacing = choosing.COLD_SPACING_SECONDS
        cold = {'cold_until': NOW + 3}
        early = view('x', cold_sent_at=NOW - spacing + 0.01, **cold)
        due = view('x', cold_sent_at=NOW - spacing, **cold)
        barred = view('x', may_warm=False, **cold)
        refused = choosing.choose((early,), demand(), NOW)
        assert isinstance(refused, choosing.Refusal)
        self.assertEqual(refused.reason, outcomes.Reason.cold)
        self.assertEqual(choosing.choose((due,), demand(), NOW), due)
        self.assertIsInstance(
            choosing.choose((barred,), demand(), NOW), choosing.Refusal
        )

    def test_doubtful_target_counts_as_cold(self) -> None:
        """A target that refused connections may have started again."""
        known = standing.unreachable(standing.Standing(), 10, NOW)
        target = view('x').target._replace(offset=11)
        again = choosing.View(target, known, may_warm=True)
        self.assertTrue(choosing.is_cold(again, NOW + 1))


class QueueTests(unittest.TestCase):
    """A burst on one owner: who waits, and who is told to come back."""

    def test_burst(self) -> None:
        """Only as many are sent as can be answered in time."""
        known = standing.Standing(seconds=0.09)
        sent = 0
        refused: list[choosing.Refusal] = []
        for _ in range(30):
            owner = choosing.View(view('x').target, known, may_warm=True)
            chosen = choosing.choose((owner,), demand(), NOW)
            if isinstance(chosen, choosing.Refusal):
                refused.append(chosen)
                continue
            known = standing.sent(known)
            sent += 1
        self.assertGreaterEqual(sent, 4)
        self.assertLess(sent, 9)
        for refusal in refused:
            self.assertGreater(refusal.retry_seconds, 0)
            self.assertLessEqual(
                refusal.retry_seconds, choosing.MOST_RETRY_SECONDS
            )

    def test_late_ones_wait_for_a_place_alone(self) -> None:
        """Who is late already is taken, but does not make others late."""
        known = standing.Standing(seconds=0.09)
        fresh = choosing.patience(known, demand(), NOW)
        late = choosing.patience(known, demand(aim_left=-0.1), NOW)
        self.assertGreater(late, 0)
        self.assertLess(late, fresh)
        self.assertLessEqual(late, known.seconds)
        hopeless = choosing.patience(
            known, demand(aim_left=-0.1, time_left=0.05), NOW
        )
        self.assertEqual(hopeless, 0)

    def test_callers_who_came_back_in_a_burst(self) -> None:
        """The queue of an owner in a burst is for those still in time."""
        known = standing.Standing(seconds=0.09)
        fresh = 0
        late = 0
        for number in range(40):
            owner = choosing.View(view('x').target, known, may_warm=True)
            is_late = number % 2 == 0
            wanted = demand(aim_left=-0.2) if is_late else demand()
            chosen = choosing.choose((owner,), wanted, NOW)
            if isinstance(chosen, choosing.Refusal):
                continue
            known = standing.sent(known)
            late += is_late
            fresh += not is_late
        self.assertGreater(fresh, late)
        self.assertGreater(late, 0)


class ReportTests(unittest.TestCase):
    """Load reports fade."""

    def test_the_answered_request_is_no_load(self) -> None:
        """A target that had nothing else is free after its answer."""
        idle = answered(standing.Standing(), 0.1, standing.Report(1, 0))
        self.assertEqual(standing.load(idle, NOW), 0)
        self.assertEqual(standing.load(idle, NOW + 9), 0)

    def test_own_and_others_are_told_apart(self) -> None:
        """What this instance has under way is not counted twice."""
        known = standing.Standing(outstanding=1)
        busy = answered(known, None, standing.Report(running=2, waiting=3))
        self.assertEqual(standing.load(busy, NOW), 4)

    def test_errors_tell_nothing_of_the_work(self) -> None:
        """A target that fails at once does not look like a fast one."""
        known = answered(standing.Standing(), 0.1, None)
        for _ in range(9):
            answer = standing.Answer(0.001, None, is_good=False)
            known = standing.answered(known, answer, NOW)
        self.assertAlmostEqual(known.seconds, 0.1)

    def test_one_quick_answer(self) -> None:
        """The first answers of a target do not make it look much faster."""
        known = answered(standing.Standing(), 0.001, None)
        self.assertGreater(known.seconds, standing.UNKNOWN_SECONDS / 3)

    def test_pace_of_the_moment(self) -> None:
        """A target that is slow just now is expected to be its usual again."""
        known = standing.Standing()
        for number in range(40):
            pace = 3.0 if number % 5 == 0 else 1.0
            report = standing.Report(1, 0, pace)
            known = answered(known, 0.1 * pace, report, NOW + number)
        then = NOW + 40
        slow = answered(known, 0.3, standing.Report(1, 0, 3.0), then)
        self.assertAlmostEqual(
            standing.typical_seconds(slow, then), 0.3, delta=0.03
        )
        usual = standing.typical_seconds(slow, then + 5)
        self.assertAlmostEqual(usual, 0.14, delta=0.03)
        self.assertAlmostEqual(standing.usual_seconds(slow), 0.1, delta=0.01)

    def test_own_requests_count_in_full(self) -> None:
        """An old report loses its weight; what is under way does not."""
        known = standing.Standing(outstanding=1)
        busy = answered(known, None, standing.Report(2, 6))
        soon = standing.load(busy, NOW)
        later = standing.load(busy, NOW + 2)
        self.assertEqual(soon, 7)
        self.assertLess(later, soon / 2)
        self.assertGreaterEqual(later, 1)

    def test_one_late_answer_is_no_loss(self) -> None:
        """Silence pauses a target only when it is repeated."""
        once = standing.silent(standing.Standing(), 10, NOW)
        self.assertFalse(standing.is_paused(once, 10, NOW))
        twice = standing.silent(once, 10, NOW)
        self.assertTrue(standing.is_paused(twice, 10, NOW))
        back = answered(twice, 0.1, None)
        self.assertFalse(standing.is_paused(back, 10, NOW))
