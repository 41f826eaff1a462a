"""What a coordinator learns of leases that the store has lost."""

import typing
import unittest
from unittest import mock

from bilberryglade._era import recall
from bilberryglade._membership import fleet
from bilberryglade._ownership import lease_manager, owners, ranges
from bilberryglade._values import clock
from bilberryglade_schema import fleet as messages

LONGEST_SECONDS: typing.Final = 10.0
#: Seconds after which a process knows of every lease that may hold.
OLD_SECONDS: typing.Final = 11.0


def tables(version: int, *targets: str) -> owners.Tables:
    """Returns tables of one service whose keys the targets own in turn."""
    owned = tuple(
        owners.OwnedRange(
            ranges.Range(place, place, ranges.Owner(name, 1), version),
            is_moving=False,
        )
        for place, name in enumerate(targets)
    )
    return owners.Tables(version, 0, {'s': owned})


class Instance:
    """An instance that started so many seconds ago."""

    def __init__(self, name: str, age_seconds: float) -> None:
        """Has ordered nothing."""
        self.members = fleet.Fleet(
            fleet.Member(name, f'{name}1', f'{name}:1', 'x'), mock.Mock()
        )
        for other in ('a', 'b'):
            self.members.take(fleet.Member(other, 'b1', f'{other}:1', 'x'))
        reader = mock.Mock()
        reader.known.directory.targets = {}
        self.leasing = lease_manager.LeaseManager(
            mock.Mock(), mock.Mock(), reader, LONGEST_SECONDS
        )
        self.recall = recall.Recall(self.members, self.leasing)
        self.recall.started_at = clock.now() - age_seconds


class RecallTests(unittest.IsolatedAsyncioTestCase):
    """Instance a asks b in era 1; it knows tables 5, and b tables 8."""

    def setUp(self) -> None:
        """Both have run for long."""
        self.asking = Instance('a', OLD_SECONDS)
        self.asked = Instance('b', OLD_SECONDS)

    async def remember(self, *, answers: bool = True) -> recall.Recalled:
        """Returns what a remembers, with the answer of b or without."""
        if answers:
            send = mock.Mock(side_effect=self.answer)
            self.asking.members.peers.send = send  # type: ignore[method-assign]
        with mock.patch.object(recall, 'GATHER_SECONDS', 0.05):
            remembered = await self.asking.recall.remember(
                1, (tables(5, 't', 'u'),), is_own=False
            )
        assert remembered is not None
        return remembered

    def answer(self, _: str, ask: messages.HoldingsAsk) -> bool:
        """Answers as b does."""
        told = self.asked.recall.answer(ask, tables(8, 't', 'v'))
        self.assertTrue(recall.validate(told).is_ok())
        self.asking.recall.take(told)
        return True

    async def test_newest_tables_of_all(self) -> None:
        """Owners in any of the tables may hold a lease of the longest time."""
        remembered = await self.remember()
        self.assertTrue(remembered.is_complete)
        self.assertEqual(remembered.tables.version, 8)
        held = {row.entry.owner.target for row in remembered.former['s']}
        self.assertEqual(held, {'t', 'u', 'v'})

    async def test_leases_ordered_by_an_earlier_coordinator(self) -> None:
        """They count though no tables name their holders any more."""
        entry = ranges.Range(9, 9, ranges.Owner('gone', 1), 4)
        self.asked.leasing.start_term(
            {'s': [owners.FormerOwner(entry, 3)]}, {entry.owner: '10.0.0.1:80'}
        )
        remembered = await self.remember()
        former = {row.entry: row.seconds for row in remembered.former['s']}
        self.assertGreater(former[entry], 2.5)
        self.assertEqual(remembered.addresses[entry.owner], '10.0.0.1:80')

    async def test_instance_that_does_not_answer(self) -> None:
        """Its orders are not known, so any target may hold any key."""
        remembered = await self.remember(answers=False)
        self.assertFalse(remembered.is_complete)

    async def test_instance_that_has_started_since(self) -> None:
        """It does not know what the process before it has ordered."""
        self.asked.recall.started_at = clock.now() - 1
        self.assertFalse((await self.remember()).is_complete)

    async def test_unknown_holder_blocks_all_keys(self) -> None:
        """Of whatever service, until its time is over."""
        leasing = self.asking.leasing
        entry = ranges.Range(7, 8, ranges.Owner('t', 1), 4)
        now = clock.now()
        leasing.unlisted = (recall.anybody(3, now),)
        self.assertTrue(leasing.blocking_leases('other', entry))
        with mock.patch.object(clock, 'now', return_value=now + 4):
            self.assertEqual(leasing.blocking_leases('other', entry), ())

    async def test_nothing_was_lost(self) -> None:
        """In the era of the tables known nobody is asked."""
        remembered = await self.asking.recall.remember(
            0, (tables(5, 't'),), is_own=False
        )
        self.assertIsNone(remembered)
