"""Requests with idempotency keys run at most once in spite of faults."""

import asyncio
import typing
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful, strategies

from bilberryglade._delivery import intent_log, intents
from bilberryglade._delivery.tests import fake_fleet
from bilberryglade._values import outcomes

ALREADY_TRIED: typing.Final = outcomes.Unknown(outcomes.Reason.already_tried)
LOST: typing.Final = outcomes.Unknown(outcomes.Reason.answer_lost)
REFUSED: typing.Final = outcomes.NotRun(outcomes.Reason.target_refused)
FAULTS: typing.Final = ('ok', 'lost', 'never', 'late', 'held')
DIGESTS: typing.Final = tuple(letter * 32 for letter in 'ab')


class AtMostOnceTest(unittest.IsolatedAsyncioTestCase):
    """Single faults and takeovers, one in each test."""

    async def asyncSetUp(self) -> None:
        """Starts a fleet with short timeouts."""
        patch = _short_timeouts()
        patch.start()
        self.addCleanup(patch.stop)
        self.fleet = fake_fleet.FakeFleet()

    async def test_repeats_get_the_first_answer(self) -> None:
        """Concurrent and later repeats get the answer of one run."""
        calls = [self.fleet.call(0) for _ in range(3)]
        received = [*await asyncio.gather(*calls), await self.fleet.call(0)]
        self.assertEqual(set(received), {fake_fleet.ANSWERED})
        self.assertEqual(len(self.fleet.run_digests), 1)

    async def test_key_reused_for_another_request(self) -> None:
        """A key that is reused for other content gets no answer of the first."""
        await self.fleet.call(0)
        outcome = await self.fleet.call(0, body=b'other')
        reused = outcomes.Reason.idempotency_key_reused
        self.assertEqual(outcome, outcomes.NotRun(reused))

    async def test_repeat_after_takeover_or_restart(self) -> None:
        """A new or restarted leader reports a repeat as already tried."""
        for outcome in (fake_fleet.ANSWERED, LOST):
            for fault in ('ok', 'lost'):
                self.fleet = fake_fleet.FakeFleet()
                self.fleet.target_outcome = outcome
                self.fleet.log.fault = fault
                self.assertEqual(await self.fleet.call(0), outcome)
                self.fleet.take_over()
                self.assertEqual(await self.fleet.call(1), ALREADY_TRIED)
                self.fleet.crash(1)
                self.assertEqual(await self.fleet.call(1), ALREADY_TRIED)
                self.assertEqual(len(self.fleet.run_digests), 1)

    async def test_refused_request_may_be_tried_again(self) -> None:
        """A request that a target refused can run after a takeover."""
        self.fleet.target_outcome = REFUSED
        self.assertEqual(await self.fleet.call(0), REFUSED)
        await asyncio.sleep(0.01)
        self.fleet.target_outcome = fake_fleet.ANSWERED
        self.fleet.take_over()
        self.assertEqual(await self.fleet.call(1), fake_fleet.ANSWERED)
        self.assertEqual(len(self.fleet.run_digests), 1)

    async def test_followed_stream(self) -> None:
        """An instance that follows a stream has its intents before it leads."""
        await self.fleet.call(0)
        follower = self.fleet.instances[1]
        follower.followed_services = frozenset(('claims',))
        task = asyncio.create_task(follower.follow())
        await asyncio.sleep(0.01)
        task.cancel()
        ledger = follower.services['claims'].log.ledger
        self.assertEqual(set(ledger.attempts), {fake_fleet.DIGEST})
        self.fleet.take_over()
        self.assertEqual(await self.fleet.call(1), ALREADY_TRIED)

    async def test_log_down(self) -> None:
        """Without the log no request runs: its intent cannot be recorded."""
        await self.fleet.call(0, DIGESTS[1])
        self.fleet.log.answer_gate.clear()
        task = self.fleet.call(0)
        await asyncio.sleep(0.01)
        with mock.patch.object(
            self.fleet.log,
            'append',
            mock.AsyncMock(return_value=fake_fleet.UNCLEAR),
        ):
            self.fleet.log.records.clear()
            outcome = await self.fleet.call(0, 'c' * 32)
        self.assertEqual(
            outcome,
            outcomes.NotRun(outcomes.Reason.intent_not_recorded),
        )
        task.cancel()
        self.assertEqual(self.fleet.run_digests, [DIGESTS[1]])

    async def test_takeover_while_recording(self) -> None:
        """A leader whose lead was interrupted while it recorded does not run."""
        await self._lose_and_regain_lead()
        self.assertEqual(len(self.fleet.run_digests), 1)

    async def test_without_tenure_check(self) -> None:
        """Without the comparison of tenures the request runs twice."""
        with mock.patch.object(
            intents.Tenure,
            '__eq__',
            lambda tenure, other: isinstance(other, intents.Tenure),
        ):
            with mock.patch.object(
                intents.Tenure,
                '__ne__',
                lambda tenure, other: not isinstance(other, intents.Tenure),
            ):
                await self._lose_and_regain_lead()
        self.assertEqual(len(self.fleet.run_digests), 2)

    async def test_stale_replica(self) -> None:
        """A new leader finds an intent although its log replica lags."""
        await self.fleet.call(0)
        self.fleet.take_over()
        self.fleet.log.stale_count = 2
        self.assertEqual(await self.fleet.call(1), ALREADY_TRIED)

    async def test_without_marker(self) -> None:
        """A read only up to a lagging replica's head runs the request again."""
        await self.fleet.call(0)
        self.fleet.take_over()
        self.fleet.log.stale_count = 3
        with mock.patch.object(
            intent_log.IntentLog,
            'catch_up',
            _read_to_replica_head,
        ):
            await self.fleet.call(1)
        self.assertEqual(len(self.fleet.run_digests), 2)

    async def _lose_and_regain_lead(self) -> None:
        await self.fleet.call(0, DIGESTS[1])
        self.fleet.run_digests.clear()
        self.fleet.log.fault = 'held'
        first = self.fleet.call(0)
        await asyncio.sleep(0.01)
        self.fleet.take_over()
        await self.fleet.call(1)
        self.fleet.take_over()
        self.fleet.log.release_held.set()
        await first


class AtMostOnceMachine(stateful.RuleBasedStateMachine):
    """Runs repeats, takeovers, restarts and log faults in any order."""

    def __init__(self) -> None:
        """Starts a fleet on its own event loop."""
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.patch = _short_timeouts()
        self.patch.start()
        self.fleet = self.loop.run_until_complete(_new_fleet())

    @stateful.rule(
        fault=strategies.sampled_from(FAULTS),
        loop_iterations=strategies.sampled_from((2, 20, 60)),
    )
    def call(self, fault: str, loop_iterations: int) -> None:
        """Sends the request to the leader, whose next append has `fault`."""
        self.fleet.log.fault = fault
        self.fleet.log.is_fault_for_markers = False
        self.loop.run_until_complete(_call(self.fleet, loop_iterations))

    @stateful.rule(stale=strategies.integers(0, 3), calls=strategies.booleans())
    def take_over(self, stale: int, calls: bool) -> None:
        """Moves the lead; the next read lags by `stale` records."""
        self.fleet.take_over()
        self.fleet.log.stale_count = stale
        if calls:
            self.loop.run_until_complete(_call(self.fleet, 60))

    @stateful.rule(fault=strategies.sampled_from(FAULTS))
    def fail_marker(self, fault: str) -> None:
        """Applies `fault` to the next append of a marker record."""
        self.fleet.log.fault = fault
        self.fleet.log.is_fault_for_markers = True

    @stateful.rule()
    def hold_answers(self) -> None:
        """Delays the log's answers and held appends."""
        self.fleet.log.answer_gate.clear()
        self.fleet.log.release_held.clear()

    @stateful.rule()
    def release_answers(self) -> None:
        """Releases the log's delayed answers and held appends."""
        self.fleet.log.answer_gate.set()
        self.fleet.log.release_held.set()

    @stateful.rule()
    def apply_late_appends(self) -> None:
        """Adds late appends to the log."""
        self.fleet.log.apply_delayed()

    @stateful.rule(number=strategies.integers(0, 1))
    def crash(self, number: int) -> None:
        """Restarts the process of an instance."""
        self.fleet.crash(number)

    @stateful.rule(
        outcome=strategies.sampled_from((fake_fleet.ANSWERED, LOST, REFUSED)),
    )
    def change_target(self, outcome: outcomes.Outcome) -> None:
        """Changes the outcome of the target's next requests."""
        self.fleet.target_outcome = outcome

    @stateful.invariant()
    def at_most_once(self) -> None:
        """No request ran twice: all digests that ran are different."""
        ran = self.fleet.run_digests
        assert len(ran) == len(set(ran)), ran

    def teardown(self) -> None:
        """Ends all calls and checks again that no request ran twice."""
        self.release_answers()
        self.loop.run_until_complete(_finish(self.fleet))
        self.at_most_once()
        self.patch.stop()
        self.loop.close()


def _short_timeouts() -> typing.Any:
    return mock.patch.multiple(
        intent_log,
        RETRY_DELAY_SECONDS=0.001,
        COMMIT_TIMEOUT_SECONDS=0.05,
    )


async def _new_fleet() -> fake_fleet.FakeFleet:
    return fake_fleet.FakeFleet()


async def _call(
    fleet: fake_fleet.FakeFleet,
    loop_iterations: int,
) -> None:
    fleet.call(fleet.leader)
    for _ in range(loop_iterations):
        await asyncio.sleep(0)


async def _finish(fleet: fake_fleet.FakeFleet) -> None:
    await asyncio.wait(fleet.calls or {asyncio.create_task(_new_fleet())})
    current = asyncio.current_task()
    for task in asyncio.all_tasks():
        if task is not current:
            task.cancel()


async def _read_to_replica_head(
    log: intent_log.IntentLog, timeout_seconds: float
) -> bool:
    await log._read_new_records()  # noqa: WPS437
    return True


AtMostOnceMachineTest = AtMostOnceMachine.TestCase
AtMostOnceMachineTest.settings = hypothesis.settings(
    max_examples=300,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
)
