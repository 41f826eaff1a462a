"""What may be sent again, and what a caller is told, whatever targets do."""

import typing
import unittest
from unittest import mock

from bilberryglade._delivery import budget, router
from bilberryglade._knowledge import knowledge
from bilberryglade._ownership import owners, ranges
from bilberryglade._routing import admission, catalogue, splitting
from bilberryglade._routing.tests import samples
from bilberryglade._targets import choosing, directory, standing
from bilberryglade._targets.tests import samples as targets
from bilberryglade._values import clock, outcomes, site

BOUNDS: typing.Final = site.Bounds(
    config_apply=2,
    drain=2,
    grace=6,
    longest_lease=10,
    retry_ratio=0.2,
    retry_slack=64,
    retry_window=10,
    cold_factor=1.5,
    cold_slack=5,
)
REASON: typing.Final = outcomes.Reason
FAILED: typing.Final = outcomes.Answered(500, (), b'')
GOOD: typing.Final = outcomes.Answered(200, (), b'')


def route(*, repeatable: bool) -> catalogue.Route:
    """Returns a route with two attempts."""
    return catalogue.Route(
        name='r',
        host='h',
        prefix='/a/',
        repeatable=repeatable,
        is_public=True,
        timeout=1,
        aim=0.3,
        priority=0,
        attempts=2,
        parts=(catalogue.Part('s', 1),),
    )


def job(*, repeatable: bool, left: float = 1) -> router.Job:
    """Returns an admitted request with seconds left."""
    now = clock.now()
    request = samples.incoming(arrived_at=now)
    admitted = admission.Admitted(route(repeatable=repeatable), None)
    return router.Job(request, admitted, 's', now + left, now)


class RepeatTests(unittest.TestCase):
    """The one decision on a second send."""

    def test_table(self) -> None:
        """What may have run is repeated only if it may run twice."""
        lost = outcomes.Unknown(REASON.answer_lost)
        late = outcomes.Unknown(REASON.deadline)
        refused = outcomes.NotRun(REASON.target_refused)
        cases = (
            (refused, True, True),
            (refused, False, True),
            (lost, True, True),
            (lost, False, False),
            (late, True, True),
            (late, False, False),
            (FAILED, True, True),
            (FAILED, False, False),
            (GOOD, True, False),
            (GOOD, False, False),
        )
        for outcome, repeatable, allowed in cases:
            delivered = router.Delivered(outcome, targets=('t',))
            with self.subTest(outcome=outcome, repeatable=repeatable):
                self.assertEqual(
                    router.may_repeat(job(repeatable=repeatable), delivered),
                    allowed,
                )

    def test_attempts_and_time(self) -> None:
        """No send beyond the route's number, or without time for it."""
        refused = router.Delivered(
            outcomes.NotRun(REASON.target_refused), targets=('t',)
        )
        late = job(repeatable=True, left=router.LEAST_SECONDS / 2)
        self.assertFalse(router.may_repeat(late, refused))
        both = refused._replace(targets=('t', 'u'))
        self.assertFalse(router.may_repeat(job(repeatable=True), both))


def tables(version: int, owner: str) -> owners.Tables:
    """Returns tables in which one target owns all keys."""
    entry = ranges.Range(0, 65_535, ranges.Owner(owner, 10), version)
    owned = owners.OwnedRange(entry, is_moving=False)
    return owners.Tables(version, 0, {'s': (owned,)})


class Targets:
    """Two targets; the first has just given its keys to the second."""

    def __init__(self, keeper: mock.Mock) -> None:
        """`keeper` hears of that while a request is under way."""
        self.keeper = keeper
        self.permits = mock.AsyncMock()
        self.permits.ask.return_value = None
        self.sent: list[str] = []

    def view(self, target: directory.Target) -> choosing.View:
        """Returns an idle target."""
        return choosing.View(target, standing.Standing(), may_warm=True)

    async def send(
        self,
        _request: object,
        _admitted: object,
        target: directory.Target,
        *_: object,
    ) -> outcomes.Outcome:
        """Answers as the owner, or denies that."""
        self.sent.append(target.name)
        if target.name == 't2':
            return GOOD
        self.keeper.tables = tables(2, 't2')
        return outcomes.NotRun(REASON.not_owner)


class MovedKeyTests(unittest.IsolatedAsyncioTestCase):
    """A key that changes hands while its request is under way."""

    async def test_sent_to_the_new_owner_at_once(self) -> None:
        """Tables that came during the send are waited for no longer."""
        listed = directory.Directory()
        for number in (1, 2):
            target = targets.target(name=f't{number}', offset=number)
            listed = directory.put(listed, target)
        service = catalogue.Service('s', True, 0, 0)
        known = catalogue.Catalogue(
            1, {'h': {'/a/': route(repeatable=False)}}, {'s': service}, {}, {}
        )
        reader = mock.Mock(
            known=knowledge.Knowledge(catalogue=known, directory=listed)
        )
        keeper = mock.Mock(tables=tables(1, 't1'))
        sending = Targets(keeper)
        core = router.Router(
            mock.Mock(bounds=BOUNDS, failure_domain='a'),
            reader,
            keeper,
            mock.Mock(),
            sending,  # type: ignore[arg-type]
            lambda: 1,
            mock.Mock(is_quarantined=lambda _: False),
        )
        began = clock.now()
        request = samples.incoming(arrived_at=began)
        delivered = await core.serve(request)
        self.assertEqual(delivered.outcome, GOOD)
        self.assertEqual(sending.sent, ['t1', 't2'])
        self.assertLess(clock.now() - began, router.MOVING_SECONDS / 2)


class BudgetTests(unittest.TestCase):
    """Second sends over all instances."""

    def sends_of(self, requests: int, instances: int) -> int:
        """Returns the second sends of an instance that makes all it may."""
        sends = 0
        left = budget.start(BOUNDS, instances)
        for _ in range(requests):
            left = budget.counted(left, BOUNDS, instances)
            spent = budget.spent(left)
            if spent is not None:
                left = spent
                sends += 1
        return sends

    def test_fleet_stays_within_it(self) -> None:
        """All instances together send no more than the users allow."""
        instances = 12
        requests = 50
        sends = sum(
            self.sends_of(requests, instances) for _ in range(instances)
        )
        allowed = BOUNDS.retry_ratio * instances * requests
        self.assertLessEqual(sends, allowed + BOUNDS.retry_slack)
        self.assertGreater(sends, allowed / 4)


class SplitTests(unittest.TestCase):
    """Weights of the services of a route."""

    def test_shares(self) -> None:
        """Few requests at each of many instances add up to the weights."""
        parts = (catalogue.Part('x', 90), catalogue.Part('y', 10))
        split = route(repeatable=True)._replace(parts=parts)
        instances = 12
        requests = 20
        found: list[str] = []
        for number in range(instances):
            turns = splitting.start(split, number / instances)
            for _ in range(requests):
                chosen = splitting.choose(turns)
                turns = chosen.turns
                found.append(chosen.service)
        share = found.count('y') / len(found)
        self.assertAlmostEqual(share, 0.1, delta=0.03)
