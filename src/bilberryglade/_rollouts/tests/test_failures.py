"""One failure each: coordinators, messages and the store."""

import unittest
from unittest import mock

import hypothesis
import result
from hypothesis import strategies

from bilberryglade._rollouts import (
    counting,
    gathering,
    phases,
    progress,
    records,
    stepper,
    verdict,
)
from bilberryglade._rollouts.tests import simulation
from bilberryglade._values import stored

ROLLOUT = stepper.Rollout(7, 's', 'v1', 'v2', 12, 0, share=0.06)
BAD = verdict.Verdict(verdict.Cause.failures)


def step(
    rollout: stepper.Rollout, facts: stepper.Facts, now: float
) -> stepper.Rollout:
    """Returns a rollout after what is due under the usual bounds."""
    return stepper.step(rollout, facts, simulation.bounds(), now)


class StepTests(unittest.TestCase):
    """Steps under failures."""

    def test_store_away(self) -> None:
        """The share grows, and a later coordinator knows nothing of it."""
        judged = verdict.Verdict(is_enough=True)
        facts = stepper.Facts(judged, 4000, 200, is_stored=False)
        self.assertEqual(step(ROLLOUT, facts, 6), ROLLOUT)

    def test_store_away_while_bad(self) -> None:
        """A bad version goes on getting requests until the store is back."""
        facts = stepper.Facts(BAD, 4000, 200, is_stored=False)
        after = step(ROLLOUT, facts, 6)
        self.assertIs(after.phase, phases.Phase.rolled_back)
        self.assertEqual(after.share, 0)

    def test_nobody_runs_the_version(self) -> None:
        """The order never ends."""
        facts = stepper.Facts(has_targets=False)
        waiting = step(ROLLOUT, facts, 6)
        self.assertEqual(waiting.share, 0)
        after = step(waiting, facts, 12.1)
        self.assertIs(after.phase, phases.Phase.rolled_back)

    def test_too_many_before_the_verdict(self) -> None:
        """A start with few requests lets a version have more than its bound."""
        facts = stepper.Facts(sent=100, sent_new=40)
        self.assertTrue(step(ROLLOUT, facts, 1).is_paused)

    def test_rollback_told_before(self) -> None:
        """A coordinator that could not store a rollback is forgotten."""
        told = gathering.Standing('rolled_back', 0, 1)
        gathered = gathering.Gathering('v2', {})
        gathered.standings['a'] = told
        facts = stepper.Facts(is_told_bad=gathered.is_rolled_back())
        after = step(ROLLOUT, facts, 3)
        self.assertIs(after.phase, phases.Phase.rolled_back)

    def test_no_way_back_after_sealing(self) -> None:
        """Instances differ on which version is in use."""
        sealed = ROLLOUT._replace(phase=phases.Phase.sealed, share=1)
        self.assertEqual(step(sealed, stepper.Facts(BAD), 30), sealed)

    def test_instance_still_at_the_old_version(self) -> None:
        """`completed` is written while a request is at an old target."""
        gathered = gathering.Gathering('v2', {})
        standings = {
            'ready': gathering.Standing('sealed', 0, 5),
            'busy': gathering.Standing('sealed', 1, 5),
            'behind': gathering.Standing('emptying', 0, 5),
            'silent': gathering.Standing('sealed', 0, 1),
        }
        gathered.standings.update(standings)
        waiting = gathered.waiting_for(
            phases.Phase.sealed, [*standings, 'new'], since=4
        )
        self.assertEqual(waiting, ['busy', 'behind', 'silent', 'new'])


class ProgressTests(unittest.IsolatedAsyncioTestCase):
    """What is stored and told."""

    def setUp(self) -> None:
        """Starts with a rollout whose store answers as a test says."""
        self.client = mock.AsyncMock()
        lease = mock.Mock(holds=True)
        lease.state.newest = 4
        self.records = records.Records(lease, self.client)
        self.records.epoch = 5
        self.progress = progress.Progress(self.records)

    async def write(self, answer: result.Result[int, stored.Failure]) -> bool:
        """Has the next record written; the store gives `answer`."""
        self.client.append.return_value = answer
        return await self.records.write_next()

    async def test_step_up_is_stored_first(self) -> None:
        """A share is told that no later coordinator knows."""
        self.progress.put(ROLLOUT, {}, 1)
        self.assertEqual(self.progress.told('s').share, 0)
        await self.write(result.Ok(1))
        self.progress.put(ROLLOUT, {}, 1.1)
        self.assertEqual(self.progress.told('s').share, ROLLOUT.share)

    async def test_rollback_is_told_first(self) -> None:
        """A bad version gets requests until the store answers."""
        bad = ROLLOUT._replace(phase=phases.Phase.rolled_back, share=0)
        self.progress.put(bad, {}, 1)
        self.assertEqual(self.progress.told('s'), bad)

    async def test_lost_answer_of_the_store(self) -> None:
        """A write is carried out twice, or one after it is taken for it."""
        self.progress.put(ROLLOUT, {}, 1)
        self.assertFalse(await self.write(result.Err(stored.Failure.unclear)))
        grown = ROLLOUT._replace(phase=phases.Phase.growing, share=0.25)
        self.progress.put(grown, {}, 2)
        self.assertTrue(await self.write(result.Ok(1)))
        self.assertTrue(await self.write(result.Ok(2)))
        calls = self.client.append.await_args_list
        self.assertEqual(calls[0], calls[1])
        self.assertEqual(calls[2].args[3].sequence, 2)
        self.progress.put(grown, {}, 3)
        self.assertTrue(self.progress.is_stored('s'))

    async def test_fenced_off(self) -> None:
        """A coordinator that lost its lease goes on writing."""
        self.progress.put(ROLLOUT, {}, 1)
        await self.write(result.Err(stored.Failure.conflict))
        self.assertTrue(self.records.is_lost)

    async def test_status_follows_the_record(self) -> None:
        """Operators are told `completed`, and a later coordinator goes back."""
        done = ROLLOUT._replace(phase=phases.Phase.completed, share=1)
        self.progress.put(done, {}, 1)
        topics = [topic for topic, _ in self.records.due]
        self.assertEqual(topics, [records.STATE_TOPIC])
        await self.write(result.Ok(1))
        self.progress.put(done, {}, 1.1)
        topics = [topic for topic, _ in self.records.due]
        self.assertEqual(topics, [records.STATUS_TOPIC])


class MergeTests(unittest.TestCase):
    """Counts that are told again, late, or out of order."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(list(counting.Ending)),
                strategies.floats(0.001, 10),
            ),
            max_size=20,
        ),
        strategies.randoms(use_true_random=False),
    )
    def test_repeated_and_late(
        self,
        sends: list[tuple[counting.Ending, float]],
        chance: strategies.DataObject,
    ) -> None:
        """A repeated or late message is counted twice or takes counts back."""
        key = counting.CellKey('t/1', 'v2', 'r')
        cell = counting.Cell()
        tellings: list[gathering.Told] = []
        for number, (ending, seconds) in enumerate(sends, start=1):
            cell = counting.with_ending(cell, ending, seconds)
            tellings.append(
                gathering.Told(
                    'a',
                    'a1',
                    gathering.Sent(number, number),
                    gathering.Standing('', 0, 0),
                    {key: cell},
                )
            )
        shuffled = [*tellings, *tellings]
        chance.shuffle(shuffled)  # type: ignore[attr-defined]
        gathered = gathering.Gathering('v2', {})
        for telling in shuffled:
            gathered.take(telling)
        self.assertEqual(gathered.totals().all_versions, len(sends))
        self.assertEqual(
            sum(sample.cell.answers for sample in gathered.window), len(sends)
        )
