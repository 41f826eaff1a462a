"""Tests of retries, moved keys, retry budgets and the split of routes."""

import typing
import unittest
from unittest import mock

from bilberryglade._admission import jobs, policies
from bilberryglade._delivery import retry_budget, router
from bilberryglade._knowledge import knowledge
from bilberryglade._ownership import owners, ranges
from bilberryglade._routing import admission, catalogue, splitting
from bilberryglade._routing.tests import samples
from bilberryglade._targets import choosing, directory, standing
from bilberryglade._targets.tests import samples as target_samples
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


def job(*, repeatable: bool, left: float = 1) -> jobs.Job:
    """Returns an admitted request whose deadline is `left` seconds away."""
    now = clock.now()
    request = samples.incoming(arrived_at=now)
    admitted = admission.Admitted(route(repeatable=repeatable), None)
    return jobs.Job(request, admitted, 's', now + left, now)


def sent_once(outcome: outcomes.Outcome) -> router.DeliveryResult:
    """Returns the delivery of a request after one send of it."""
    return router.DeliveryResult(
        outcomes.NotRun(REASON.over_rate),
        sends=(router.TargetOutcome('t', outcome),),
    )


class RetryTests(unittest.TestCase):
    """The decision whether a request may be sent once more."""

    def test_retry_decisions(self) -> None:
        """A request that may have run is retried only if it is repeatable."""
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
            delivery = sent_once(outcome)
            with self.subTest(outcome=outcome, repeatable=repeatable):
                self.assertEqual(
                    router.may_retry(job(repeatable=repeatable), delivery),
                    allowed,
                )

    def test_no_retry_beyond_attempts_or_deadline(self) -> None:
        """The route's attempts and the remaining time limit retries."""
        refused = sent_once(outcomes.NotRun(REASON.target_refused))
        late = job(repeatable=True, left=router.MIN_SEND_SECONDS / 2)
        self.assertFalse(router.may_retry(late, refused))
        two_attempts = refused._replace(sends=refused.sends * 2)
        self.assertFalse(router.may_retry(job(repeatable=True), two_attempts))


def tables(version: int, owner: str) -> owners.Tables:
    """Returns tables in which one target owns all keys."""
    entry = ranges.Range(0, 65_535, ranges.Owner(owner, 10), version)
    owned = owners.OwnedRange(entry, is_moving=False)
    return owners.Tables(version, 0, {'s': (owned,)})


class FakeTargets:
    """Sends to two targets; during the first send all keys move to `t2`.

    Stands in for the request sender.
    """

    def __init__(
        self,
        table_manager: mock.Mock,
        first: outcomes.Outcome,
        second: outcomes.Outcome,
    ) -> None:
        """`table_manager` gets the new tables while a request is at `t1`.

        `first` and `second` are what becomes of it at `t1` and `t2`.
        """
        self.table_manager = table_manager
        self.outcomes = {'t1': first, 't2': second}
        self.broker = mock.AsyncMock()
        self.versions = mock.Mock()
        self.broker.request_permit.return_value = None
        self.sent: list[str] = []

    def view(self, target: directory.Target) -> choosing.View:
        """Returns a target without requests."""
        return choosing.View(target, standing.Standing(), may_warm=True)

    async def send(
        self,
        _request: object,
        _admitted: object,
        target: directory.Target,
        *_: object,
    ) -> outcomes.Outcome:
        """Returns what becomes of a request at `target`."""
        self.sent.append(target.name)
        self.table_manager.tables = tables(2, 't2')
        return self.outcomes[target.name]


class MovedKeyTests(unittest.IsolatedAsyncioTestCase):
    """A key whose owner changes while a request for it is at the old owner."""

    async def deliver(
        self,
        first: outcomes.Outcome,
        second: outcomes.Outcome,
        *,
        repeatable: bool,
    ) -> tuple[router.DeliveryResult, list[str]]:
        """Returns a delivery, and the targets that got the request."""
        listed = directory.Directory()
        for number in (1, 2):
            target = target_samples.target(name=f't{number}', offset=number)
            listed = directory.put(listed, target)
        service = catalogue.Service('s', True, 0, 0)
        known_catalogue = catalogue.Catalogue(
            1,
            {'h': {'/a/': route(repeatable=repeatable)}},
            {'s': service},
            {},
            {},
        )
        reader = mock.Mock(
            known=knowledge.Knowledge(
                catalogue=known_catalogue, directory=listed
            )
        )
        table_manager = mock.Mock(tables=tables(1, 't1'))
        fake_targets = FakeTargets(table_manager, first, second)
        request_router = router.Router(
            mock.Mock(bounds=BOUNDS, failure_domain='a', contracts=frozenset()),
            reader,
            table_manager,
            mock.Mock(),
            fake_targets,  # type: ignore[arg-type]
            lambda: 1,
            mock.Mock(is_quarantined=lambda _: False),
        )
        request_router.started_at -= BOUNDS.retry_window
        request = samples.incoming(arrived_at=clock.now())
        return await request_router.serve(request), fake_targets.sent

    def test_silent_dispatcher_leads_to_another_policy(self) -> None:
        """An instance decides alone as the deployment's dispatchers do."""
        for contracts, name in (({'pressure'}, 'by_worth'), ({}, 'first_come')):
            with self.subTest(name=name):
                place = mock.Mock(bounds=BOUNDS, contracts=contracts)
                parts = [mock.Mock() for _ in range(6)]
                alone = router.Router(place, *parts)
                self.assertIs(
                    alone.gate.policy, policies.policies.entries[name]
                )

    async def test_refusal_after_a_lost_send_promises_nothing(self) -> None:
        """The caller was told 503 though the first send may have run."""
        lost = outcomes.Unknown(REASON.answer_lost)
        refused = outcomes.NotRun(REASON.target_refused)
        delivery, sent = await self.deliver(lost, refused, repeatable=True)
        self.assertEqual(sent, ['t1', 't2'])
        self.assertEqual(delivery.outcome, lost)
        self.assertEqual(delivery.retry_after_ms, 0)

    async def test_sent_to_new_owner_without_waiting(self) -> None:
        """Tables that arrived during the send are used without a wait.

        The router waits only for tables newer than those in force when the
        request was sent, not newer than those in force when it was refused.
        """
        started_at = clock.now()
        denied = outcomes.NotRun(REASON.not_owner)
        delivery, sent = await self.deliver(denied, GOOD, repeatable=False)
        self.assertEqual(delivery.outcome, GOOD)
        self.assertEqual(sent, ['t1', 't2'])
        self.assertLess(
            clock.now() - started_at, router.MAX_OWNER_WAIT_SECONDS / 2
        )


class BudgetTests(unittest.TestCase):
    """Retries of all instances together."""

    def retries_of(self, requests: int, instances: int) -> int:
        """Returns how many retries one instance may make, at most."""
        retries = 0
        remaining = retry_budget.RetryBudget()
        for _ in range(requests):
            remaining = retry_budget.after_request(
                remaining, BOUNDS, instances, BOUNDS.retry_window
            )
            reduced = retry_budget.after_retry(remaining)
            if reduced is not None:
                remaining = reduced
                retries += 1
        return retries

    def test_fleet_stays_within_budget(self) -> None:
        """All instances together stay within the configured retry budget."""
        instances = 12
        requests = 50
        retries = sum(
            self.retries_of(requests, instances) for _ in range(instances)
        )
        allowed = BOUNDS.retry_ratio * instances * requests
        self.assertLessEqual(retries, allowed + BOUNDS.retry_slack)
        self.assertGreater(retries, allowed / 4)


class SplitTests(unittest.TestCase):
    """The split of a route's requests over its services."""

    def test_services_share_requests_by_weight(self) -> None:
        """The weights hold in sum over many instances with few requests each."""
        parts = (catalogue.Part('x', 90), catalogue.Part('y', 10))
        split_route = route(repeatable=True)._replace(parts=parts)
        instances = 12
        requests = 20
        chosen_services: list[str] = []
        for number in range(instances):
            turns = splitting.start(split_route, number / instances)
            for _ in range(requests):
                chosen = splitting.choose(turns)
                turns = chosen.turns
                chosen_services.append(chosen.service)
        share = chosen_services.count('y') / len(chosen_services)
        self.assertAlmostEqual(share, 0.1, delta=0.03)
