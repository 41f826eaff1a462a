"""Operations over a log in memory that loses answers and goes down."""

import asyncio
import typing
import unittest
from unittest import mock

from bilberryglade._operations import catalogue, commits, failures, record_ids
from bilberryglade._operations.tests import fakes

REGISTERED: typing.Final = (catalogue,)


class OperationsTest(unittest.IsolatedAsyncioTestCase):
    """Each change is answered after the fold has decided."""

    async def asyncSetUp(self) -> None:
        """Follows an empty log."""
        self.log = fakes.FakeLog()
        self.context = fakes.context_over(self.log)
        following = asyncio.create_task(self.context.reader.follow())
        self.addCleanup(following.cancel)

    async def perform(self, name: str, **request: typing.Any) -> typing.Any:
        """Performs an operation; returns its answer."""
        outcome = await fakes.perform(self.context, name, **request)
        self.assertTrue(outcome.is_ok(), outcome)
        return outcome.unwrap()

    async def publish(self, text: str, based_on: int, by: str) -> typing.Any:
        """Publishes rules; returns the outcome."""
        return await fakes.perform(
            self.context,
            'rules_publish',
            text=text,
            based_on=based_on,
            by=by,
        )

    async def test_race_is_told_with_both_sides(self) -> None:
        """The loser learns who won and what both changed."""
        await self.publish(fakes.RULES, 0, 'first')
        won = await self.publish(fakes.RULES.replace('5/s', '7/s'), 1, 'b')
        lost = await self.publish(fakes.RULES.replace('5/s', '9/s'), 1, 'c')
        failure = lost.unwrap_err()
        self.assertEqual(failure.kind, failures.FailureKind.rejected)
        self.assertEqual(failure.winner, won.unwrap()['offset'])
        self.assertEqual(failure.race['winner_by'], 'b')
        self.assertIn('+allow minders to ledger rate 7/s', str(failure.race))
        self.assertIn('+allow minders to ledger rate 9/s', str(failure.race))

    async def test_wrong_rules_change_nothing(self) -> None:
        """A file with errors is refused before a record is appended."""
        outcome = await self.publish('allow nobody\n', 0, 'a')
        failure = outcome.unwrap_err()
        self.assertEqual(failure.kind, failures.FailureKind.invalid)
        self.assertEqual(failure.errors[0]['line'], 1)
        self.assertEqual(self.log.records, [])

    async def test_lost_answer_takes_effect_once(self) -> None:
        """A lost answer is found by reading back; one key exists."""
        self.log.lose_answers = 1
        issued = await self.perform('keys_issue', organisation='minders')
        listed = await self.perform('keys_list')
        self.assertEqual(
            [row['key_id'] for row in listed['keys']],
            [issued['key_id']],
        )
        self.assertNotIn(issued['secret'], str(self.log.records))

    async def test_repeated_issue_shows_no_false_secret(self) -> None:
        """A repeat under one record id neither issues nor invents a secret."""
        first = await fakes.perform(
            self.context, 'keys_issue', 'record-1', organisation='minders'
        )
        again = await fakes.perform(
            self.context, 'keys_issue', 'record-1', organisation='minders'
        )
        self.assertTrue(first.is_ok())
        self.assertEqual(
            again.unwrap_err().kind,
            failures.FailureKind.rejected,
        )
        self.assertEqual(len(self.log.records), 1)

    async def test_unclear_change_can_be_asked_again(self) -> None:
        """With the log down a change is unclear; later its record tells."""
        self.log.is_down = True
        with mock.patch.object(commits, 'COMMIT_SECONDS', 0.01):
            outcome = await fakes.perform(
                self.context, 'keys_issue', 'record-2', organisation='minders'
            )
        self.assertEqual(
            outcome.unwrap_err().kind,
            failures.FailureKind.unclear,
        )
        shown = await self.perform('record_show', record_id='record-2')
        self.assertEqual(shown['outcome'], 'absent')

    async def test_unknown_names_are_told_with_known_ones(self) -> None:
        """A wrong name appends nothing and is answered by the known ones."""
        cases = (
            ('keys_withdraw', {'key_id': 'x'}),
            ('target_drain', {'target': 'x'}),
            ('failure_domain_take_out', {'failure_domain': 'x', 'by': 'a'}),
        )
        for name, request in cases:
            with self.subTest(name=name):
                outcome = await fakes.perform(self.context, name, **request)
                self.assertEqual(
                    outcome.unwrap_err().kind,
                    failures.FailureKind.not_found,
                )
        self.assertEqual(self.log.records, [])

    async def test_events_tell_verdicts(self) -> None:
        """Events carry what the fold decided, and no digest."""
        await self.publish(fakes.RULES, 0, 'first')
        await self.publish(fakes.RULES, 0, 'late')
        events = await self.perform('events_follow', after=0)
        told = [await anext(events) for _ in range(2)]
        self.assertEqual(
            [(event['subject'], event['outcome']) for event in told],
            [('first', 'accepted'), ('late', 'rejected')],
        )


class RecordIdTest(unittest.TestCase):
    """Ids that make a repeated call harmless."""

    def test_same_call_has_same_id(self) -> None:
        """Operation, key and request together decide the id."""
        request = {'target': 'a'}
        first = record_ids.record_id_for('drain', request, 'k')
        others = (
            record_ids.record_id_for('undrain', request, 'k'),
            record_ids.record_id_for('drain', {'target': 'b'}, 'k'),
            record_ids.record_id_for('drain', request, 'l'),
            record_ids.record_id_for('drain', request, ''),
        )
        self.assertEqual(
            first,
            record_ids.record_id_for('drain', request, 'k'),
        )
        self.assertNotIn(first, others)
