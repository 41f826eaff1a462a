"""Named requests run at most once, whoever leads and whatever is lost."""

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
    """Single schedules."""

    async def asyncSetUp(self) -> None:
        """Starts a fleet with short waits."""
        patch = _short_timeouts()
        patch.start()
        self.addCleanup(patch.stop)
        self.fleet = fake_fleet.Fleet()

    async def test_repeats_get_the_first_answer(self) -> None:
        """Repeats at the same moment and later ones share one run."""
        calls = [self.fleet.call(0) for _ in range(3)]
        received = [*await asyncio.gather(*calls), await self.fleet.call(0)]
        self.assertEqual(set(received), {fake_fleet.ANSWERED})
        self.assertEqual(len(self.fleet.ran), 1)

    async def test_key_reused_for_another_request(self) -> None:
        """A name used for something else gets no foreign answer."""
        await self.fleet.call(0)
        outcome = await self.fleet.call(0, body=b'other')
        reused = outcomes.Reason.idempotency_key_reused
        self.assertEqual(outcome, outcomes.NotRun(reused))

    async def test_repeat_after_takeover_or_restart(self) -> None:
        """A leader that was not there says that it was tried."""
        for outcome in (fake_fleet.ANSWERED, LOST):
            for fault in ('ok', 'lost'):
                self.fleet = fake_fleet.Fleet()
                self.fleet.result = outcome
                self.fleet.log.fault = fault
                self.assertEqual(await self.fleet.call(0), outcome)
                self.fleet.take_over()
                self.assertEqual(await self.fleet.call(1), ALREADY_TRIED)
                self.fleet.crash(1)
                self.assertEqual(await self.fleet.call(1), ALREADY_TRIED)
                self.assertEqual(len(self.fleet.ran), 1)

    async def test_refused_request_may_be_tried_again(self) -> None:
        """A refusal before the start stays true, and is no obstacle."""
        self.fleet.result = REFUSED
        self.assertEqual(await self.fleet.call(0), REFUSED)
        await asyncio.sleep(0.01)
        self.fleet.result = fake_fleet.ANSWERED
        self.fleet.take_over()
        self.assertEqual(await self.fleet.call(1), fake_fleet.ANSWERED)
        self.assertEqual(len(self.fleet.ran), 1)

    async def test_followed_stream(self) -> None:
        """A follower knows the intents before it leads, and reads no copy."""
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
        """Without the log nothing runs, and the refusal says so."""
        await self.fleet.call(0, DIGESTS[1])
        self.fleet.log.gate.clear()
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
        self.assertEqual(self.fleet.ran, [DIGESTS[1]])

    async def test_takeover_while_recording(self) -> None:
        """A leader that lost and regained the lead meanwhile does not run."""
        await self._lose_and_regain_lead()
        self.assertEqual(len(self.fleet.ran), 1)

    async def test_without_tenure_check(self) -> None:
        """Without the comparison of tenures it runs twice."""
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
        self.assertEqual(len(self.fleet.ran), 2)

    async def test_stale_replica(self) -> None:
        """A replica that lags cannot hide an intent."""
        await self.fleet.call(0)
        self.fleet.take_over()
        self.fleet.log.stale = 2
        self.assertEqual(await self.fleet.call(1), ALREADY_TRIED)

    async def test_without_marker(self) -> None:
        """A read that trusts the replica's head runs it again."""
        await self.fleet.call(0)
        self.fleet.take_over()
        self.fleet.log.stale = 3
        with mock.patch.object(
            intent_log.IntentLog,
            'catch_up',
            _read_to_replica_head,
        ):
            await self.fleet.call(1)
        self.assertEqual(len(self.fleet.ran), 2)

    async def _lose_and_regain_lead(self) -> None:
        await self.fleet.call(0, DIGESTS[1])
        self.fleet.ran.clear()
        self.fleet.log.fault = 'held'
        first = self.fleet.call(0)
        await asyncio.sleep(0.01)
        self.fleet.take_over()
        await self.fleet.call(1)
        self.fleet.take_over()
        self.fleet.log.held.set()
        await first


class AtMostOnceMachine(stateful.RuleBasedStateMachine):
    """Any order of repeats, takeovers, restarts and lost answers."""

    def __init__(self) -> None:
        """Starts a fleet on a loop of its own."""
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.patch = _short_timeouts()
        self.patch.start()
        self.fleet = self.loop.run_until_complete(_new_fleet())

    @stateful.rule(
        fault=strategies.sampled_from(FAULTS),
        turns=strategies.sampled_from((2, 20, 60)),
    )
    def call(self, fault: str, turns: int) -> None:
        """Sends the request to the leader, whose append may go wrong."""
        self.fleet.log.fault = fault
        self.fleet.log.strikes_marks = False
        self.loop.run_until_complete(_call(self.fleet, turns))

    @stateful.rule(stale=strategies.integers(0, 3), calls=strategies.booleans())
    def take_over(self, stale: int, calls: bool) -> None:
        """Moves the lead; the next read may lag."""
        self.fleet.take_over()
        self.fleet.log.stale = stale
        if calls:
            self.loop.run_until_complete(_call(self.fleet, 60))

    @stateful.rule(fault=strategies.sampled_from(FAULTS))
    def fail_marker(self, fault: str) -> None:
        """Breaks the next append of a mark."""
        self.fleet.log.fault = fault
        self.fleet.log.strikes_marks = True

    @stateful.rule()
    def hold_answers(self) -> None:
        """Holds the log's answers back."""
        self.fleet.log.gate.clear()
        self.fleet.log.held.clear()

    @stateful.rule()
    def release_answers(self) -> None:
        """Lets the log's answers and held appends go."""
        self.fleet.log.gate.set()
        self.fleet.log.held.set()

    @stateful.rule()
    def apply_late_appends(self) -> None:
        """Lets late appends take effect."""
        self.fleet.log.arrive()

    @stateful.rule(number=strategies.integers(0, 1))
    def crash(self, number: int) -> None:
        """Restarts an instance."""
        self.fleet.crash(number)

    @stateful.rule(
        outcome=strategies.sampled_from((fake_fleet.ANSWERED, LOST, REFUSED)),
    )
    def change_target(self, outcome: outcomes.Outcome) -> None:
        """Changes what the target does."""
        self.fleet.result = outcome

    @stateful.invariant()
    def at_most_once(self) -> None:
        """No name ran twice."""
        ran = self.fleet.ran
        assert len(ran) == len(set(ran)), ran

    def teardown(self) -> None:
        """Lets everything end, and looks again."""
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


async def _new_fleet() -> fake_fleet.Fleet:
    return fake_fleet.Fleet()


async def _call(
    fleet: fake_fleet.Fleet,
    turns: int,
) -> None:
    fleet.call(fleet.leader)
    for _ in range(turns):
        await asyncio.sleep(0)


async def _finish(fleet: fake_fleet.Fleet) -> None:
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
