"""What is taken in never goes back, and is only called fresh if it is."""

import typing
import unittest

from bilberryglade._log import intake
from bilberryglade._state.tests import test_folding

NEVER = intake.NEVER


def rows(first: int, last: int) -> tuple[intake.Numbered, ...]:
    """Returns records with the offsets from `first` to `last`."""
    return tuple(
        intake.Numbered(offset, test_folding.key_issued(f'k{offset}'))
        for offset in range(first, last + 1)
    )


def batch(first: int, last: int, head: int, oldest: int = 1) -> intake.Batch:
    """Returns an answer of the log."""
    return intake.Batch(rows(first, last), head, oldest)


def at(offset: int, **changes: typing.Any) -> intake.Intake:
    """Returns the intake of an instance that has folded `offset` records."""
    known = intake.take_batch(
        intake.Intake(),
        batch(1, offset, offset),
        intake.Asked(NEVER, 0),
    )
    return known._replace(**changes)


class TakeBatchTest(unittest.TestCase):
    """Answers of the log."""

    def test_answers(self) -> None:
        """Offset and freshness after one answer, case by case."""
        cases = {
            'news': (batch(4, 6, 6), 6, 10),
            'nothing new': (batch(1, 0, 3), 3, 10),
            'more to come': (batch(4, 5, 9), 5, NEVER),
            'copies of old records': (batch(1, 4, 4), 4, 10),
            'a replica that lags': (batch(1, 2, 2), 3, NEVER),
            'a hole': (batch(6, 7, 7), 3, NEVER),
        }
        for name, (answer, offset, fresh_at) in cases.items():
            with self.subTest(name):
                asked = intake.ask(at(3), 10)
                after = intake.take_batch(at(3), answer, asked)
                self.assertEqual(
                    (after.view.offset, after.fresh_at),
                    (offset, fresh_at),
                )

    def test_lagging_replica_is_no_proof(self) -> None:
        """A replica that lags behind what a peer said makes nothing fresh."""
        heard = intake.hear(at(3), 5, NEVER)
        after = intake.take_batch(heard, batch(4, 3, 3), intake.ask(heard, 10))
        self.assertEqual(after.fresh_at, NEVER)
        self.assertEqual(after.ignored['stale_read'], 1)

    def test_news_heard_during_a_read(self) -> None:
        """What a peer says during a read does not make the read stale."""
        asked = intake.ask(at(3), 10)
        heard = intake.hear(at(3), 5, NEVER)
        after = intake.take_batch(heard, batch(4, 3, 3), asked)
        self.assertEqual((after.fresh_at, after.heard_offset), (10, 5))

    def test_expired_records_leave_a_gap(self) -> None:
        """A reader behind the retention knows it, until it is restored."""
        after = intake.take_batch(
            at(3), batch(8, 9, 9, oldest=8), intake.ask(at(3), 10)
        )
        self.assertTrue(after.has_gap)
        restored = intake.take_state(after, at(8).view, NEVER, 11)
        self.assertEqual((restored.view.offset, restored.has_gap), (8, False))
        caught_up = intake.take_batch(
            restored, batch(9, 9, 9, oldest=8), intake.ask(restored, 12)
        )
        self.assertEqual((caught_up.view, caught_up.fresh_at), (at(9).view, 12))


class PeersTest(unittest.TestCase):
    """What peers say and give."""

    def test_words_of_peers(self) -> None:
        """A word makes fresh what is folded up to its offset, no more."""
        for offset, fresh_at in ((2, 7), (3, 7), (4, NEVER)):
            with self.subTest(offset=offset):
                after = intake.hear(at(3), offset, 7)
                self.assertEqual(after.fresh_at, fresh_at)

    def test_knowledge_grows_no_younger_in_a_circle(self) -> None:
        """Two instances that hear each other alone keep the same moment."""
        one = at(3, fresh_at=5)
        other = intake.hear(at(3), 3, one.fresh_at)
        for _ in range(9):
            one = intake.hear(one, 3, other.fresh_at)
            other = intake.hear(other, 3, one.fresh_at)
        self.assertEqual((one.fresh_at, other.fresh_at), (5, 5))

    def test_records_of_peers(self) -> None:
        """Relayed records are folded where they join on."""
        after = intake.take_records(at(3), rows(2, 6), 6, 7)
        self.assertEqual((after.view, after.fresh_at), (at(6).view, 7))
        torn = intake.take_records(at(3), rows(5, 6), 6, 7)
        self.assertEqual((torn.view.offset, torn.fresh_at), (3, NEVER))

    def test_old_state_is_ignored(self) -> None:
        """A state of a peer that is older changes nothing."""
        after = intake.take_state(at(3), at(2).view, NEVER, 11)
        self.assertEqual(after.view, at(3).view)
        self.assertEqual(after.ignored['old_state'], 1)

    def test_recent_records_are_bounded(self) -> None:
        """What is kept for peers is bounded in number and in size."""
        many = intake.take_records(
            intake.Intake(), rows(1, 600), 600, NEVER
        ).recent
        self.assertEqual(len(many), intake.MAX_RECENT)
        long = 'x' * (intake.MAX_RECENT_BYTES // 3)
        large = tuple(
            intake.Numbered(offset, {'id': f'long-{offset}', 'text': long})
            for offset in range(1, 6)
        )
        kept = intake.take_records(intake.Intake(), large, 5, NEVER).recent
        self.assertEqual([row.offset for row in kept], [4, 5])


class ReadyTest(unittest.TestCase):
    """When an instance that has just started may serve."""

    def test_ready(self) -> None:
        """Ready by an own append, or by the newest state of peers."""
        given = intake.take_state(intake.Intake(), at(3).view, NEVER, now=10)
        cases = {
            'nothing': (intake.Intake(), False),
            'read, but appended nothing': (at(3), False),
            'append folded': (intake.require(at(3), 3), True),
            'append not folded': (intake.require(at(3), 4), False),
            'state of a peer': (given, True),
            'peer knows more': (intake.hear(given, 4, NEVER), False),
        }
        for name, (known, is_ready) in cases.items():
            with self.subTest(name):
                self.assertEqual(intake.is_ready(known, now=12), is_ready)
        self.assertFalse(intake.is_ready(given, now=10.5))
