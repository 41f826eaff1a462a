"""Tests the dispatcher with a fake target whose answers the test controls."""

import asyncio
import time
import unittest

from bilberryglade._delivery import dispatcher
from bilberryglade._state import state
from bilberryglade._targets import client, condition
from bilberryglade._values import outcomes, requests

TARGET = state.TargetState(
    target='ledger-0',
    service='ledger',
    failure_domain='north',
    address='127.0.0.1:1',
    concurrency=2,
    fenced=True,
    state='live',
    changed_at=1,
)


class FakeTarget(client.TargetClient):
    """Records each request and delays its answer until the test allows it."""

    def __init__(self) -> None:
        """Starts with no request received."""
        self.sent: list[str] = []
        self.gate = asyncio.Semaphore(0)
        self.outcome: outcomes.Outcome = outcomes.Answered(200, (), b'')

    async def run(
        self,
        address: str,
        request: requests.RoutedRequest,
        grant: client.GrantHeaders,
        seconds: float,
    ) -> outcomes.Outcome:
        """Records the request and waits for `gate`."""
        self.sent.append(request.request_id)
        await self.gate.acquire()
        return self.outcome


def request_of(
    name: str,
    organisation: str = 'minders',
    seconds: float = 5,
) -> requests.RoutedRequest:
    """Returns a request whose deadline is `seconds` from now."""
    return requests.RoutedRequest(
        request_id=name,
        organisation=organisation,
        service='ledger',
        slot=7,
        key='child',
        method='GET',
        path='/ledger/child',
        headers=(),
        body=b'',
        deadline=time.monotonic() + seconds,
        repeatable=True,
        idempotency_digest='',
    )


class DispatcherTest(unittest.IsolatedAsyncioTestCase):
    """Order of requests, limits of targets and cancelled requests."""

    async def asyncSetUp(self) -> None:
        """Starts with one cold target whose grant is valid."""
        self.target = FakeTarget()
        self.fence = 5
        self.dispatcher = dispatcher.Dispatcher(
            self.target,
            lambda target, slot: self.fence,
            queue_length=10,
        )

    def start(
        self,
        request: requests.RoutedRequest,
    ) -> asyncio.Task[outcomes.Outcome]:
        """Starts to dispatch `request` to the target."""
        dispatch = dispatcher.Dispatch(request, TARGET)
        return asyncio.create_task(self.dispatcher.run(dispatch))

    async def run_ready_callbacks(self) -> None:
        """Lets the event loop run all callbacks that are ready."""
        for _ in range(10):
            await asyncio.sleep(0)

    async def test_cold_target_gets_one_request_at_a_time(self) -> None:
        """A cold target gets its second request after the first answer."""
        first = self.start(request_of('first'))
        second = self.start(request_of('second'))
        await self.run_ready_callbacks()
        self.assertEqual(self.target.sent, ['first'])
        self.target.gate.release()
        await first
        await self.run_ready_callbacks()
        self.assertEqual(self.target.sent, ['first', 'second'])
        self.target.gate.release()
        await second

    async def test_grant_is_checked_after_waiting(self) -> None:
        """The grant is checked right before the send, not only on arrival."""
        first = self.start(request_of('first'))
        second = self.start(request_of('second'))
        await self.run_ready_callbacks()
        self.fence = 0
        self.target.gate.release()
        await first
        self.assertEqual(
            await second,
            outcomes.NotRun(outcomes.Reason.no_owner),
        )
        self.assertEqual(self.target.sent, ['first'])

    async def test_queued_request_expires_at_its_deadline(self) -> None:
        """A request still queued at its deadline is reported as not run."""
        first = self.start(request_of('first'))
        late = self.start(request_of('late', seconds=0.02))
        self.assertEqual(await late, outcomes.NotRun(outcomes.Reason.deadline))
        self.target.gate.release()
        await first
        self.assertEqual(self.target.sent, ['first'])

    async def test_cancelled_request_leaves_the_queue(self) -> None:
        """A request whose caller is gone does not block the queue."""
        first = self.start(request_of('first'))
        cancelled = self.start(request_of('gone'))
        last = self.start(request_of('last'))
        await self.run_ready_callbacks()
        cancelled.cancel()
        self.target.gate.release()
        self.target.gate.release()
        await asyncio.gather(first, last)
        self.assertEqual(self.target.sent, ['first', 'last'])

    async def test_small_organisation_is_not_starved(self) -> None:
        """Many requests of one organisation do not delay another's for long."""
        tasks = [
            self.start(request_of(f'flood-{number}')) for number in range(4)
        ]
        tasks.append(self.start(request_of('small', organisation='office')))
        await self.run_ready_callbacks()
        for _ in tasks:
            self.target.gate.release()
        await asyncio.gather(*tasks)
        self.assertIn('small', self.target.sent[:3])

    async def test_draining_target_gets_no_new_requests(self) -> None:
        """A draining target ends what it runs; waiting requests are not run."""
        first = self.start(request_of('first'))
        waiting = self.start(request_of('waiting'))
        await self.run_ready_callbacks()
        drained = TARGET._replace(state='draining')
        view = state.ClusterState()
        self.dispatcher.observe(
            view._replace(targets=view.targets.set('ledger-0', drained)),
        )
        refused = outcomes.NotRun(outcomes.Reason.no_owner)
        self.assertEqual(await waiting, refused)
        self.assertEqual(await self.start(request_of('new')), refused)
        self.target.gate.release()
        self.assertIsInstance(await first, outcomes.Answered)

    async def test_lost_request_resets_the_allowance(self) -> None:
        """A warm target that loses a request gets one request at a time again."""
        target_queue = dispatcher.TargetQueue(2, self.dispatcher.bounds)
        target_queue.condition = condition.Condition(2, allowance=2)
        self.dispatcher.target_queues['ledger-0'] = target_queue
        self.target.outcome = outcomes.Unknown(outcomes.Reason.answer_lost)
        self.target.gate.release()
        await self.start(request_of('lost'))
        self.assertEqual(target_queue.condition.allowance, 1)
        self.assertEqual(self.dispatcher.target_queues['ledger-0'].running, {})
