"""Who reads targets' entries while the coordinator cannot be heard."""

import asyncio
import functools
import itertools
import random
import typing
import unittest
from collections import abc
from unittest import mock

import result

from bilberryglade._knowledge import reading
from bilberryglade._membership import candidacy, fleet
from bilberryglade._ownership.tests import virtual_time
from bilberryglade._values import stored
from bilberryglade.platform import folds
from bilberryglade.platform.tests import samples

REGISTERED: typing.Final = (folds,)
DOMAINS: typing.Final = ('a', 'b', 'c')
#: Seconds in which a leaving target gets its last work, and how many of them a
#: request may be on its way.
DRAIN_SECONDS: typing.Final = 2.0
ON_THE_WAY_SECONDS: typing.Final = 0.4
#: Seconds of a call of the store, of one that nobody answers, and of a message.
CALL_SECONDS: typing.Final = 0.004
LOST_CALL_SECONDS: typing.Final = 0.9
MESSAGE_SECONDS: typing.Final = 0.002
#: Name of the instance in `a` that coordinates until it is cut off.
COORDINATOR: typing.Final = 'a-00'

Link: typing.TypeAlias = abc.Callable[[str, str], bool]


class Fleet:
    """Readers of one store; `is_cut` tells which links are cut, by names."""

    def __init__(self, size: int) -> None:
        """Makes so many instances in each failure domain."""
        self.records = [stored.Record('t', 0, samples.entry(seq=0))]
        self.is_cut: Link = lambda *_: False
        #: Whether the store turns an instance away, by its name.
        self.is_refused: abc.Callable[[str], bool] = lambda _: False
        self.calls = 0
        self.readers: dict[str, reading.Reader] = {}
        names = [
            f'{domain}-{number:02}'
            for domain in DOMAINS
            for number in range(size)
        ]
        rows = [fleet.Member(name, name, name, name[0]) for name in names]
        for own in rows:
            self._add(own, rows)

    async def newest(self, name: str) -> typing.Any:
        """Answers a read of everything."""
        records = tuple(self.records[-1:])
        return await self._call(
            name, stored.Batch(records, len(self.records), is_whole=True)
        )

    async def read(self, name: str, start: int) -> typing.Any:
        """Answers a read from an offset."""
        records = tuple(self.records[start:])
        return await self._call(
            name, stored.Batch(records, len(self.records), is_whole=False)
        )

    def deliver(
        self, sender: str, names: abc.Iterable[str], message: typing.Any
    ) -> None:
        """Sends a message to all named, which is lost on a cut link."""
        loop = asyncio.get_running_loop()
        for name in names:
            if not self.is_cut(sender, name):
                hear = self.readers[name].hear
                loop.call_later(MESSAGE_SECONDS, hear, message)

    def write(self, payload: bytes | None) -> None:
        """Writes the target's entry, or drops it."""
        self.records.append(stored.Record('t', len(self.records), payload))

    def unaware(self) -> list[str]:
        """Returns who would still send to the target, and reaches the store."""
        found: list[str] = []
        for name, reader in self.readers.items():
            reader.expire()
            target = reader.known.directory.targets.get('t')
            if target is not None and not target.is_draining:
                found.append(name)
        return [name for name in found if not self.is_cut(name, 'store')]

    def _add(self, own: fleet.Member, rows: list[fleet.Member]) -> None:
        peers = mock.Mock()
        peers.send_all = functools.partial(self.deliver, own.name)
        members = fleet.Fleet(own, peers)
        for row in rows:
            members.take(row)
        lease = mock.Mock(
            spec=candidacy.Candidacy,
            holds=own.name == COORDINATOR,
            coordinator=COORDINATOR,
            led_at=0,
        )
        client = mock.Mock()
        client.newest = lambda _: self.newest(own.name)
        client.read = lambda _, start, wait: self.read(own.name, start)
        self.readers[own.name] = reading.Reader(
            members, client, lease, DRAIN_SECONDS
        )

    async def _call(self, name: str, batch: stored.Batch) -> typing.Any:
        self.calls += 1
        if self.is_cut(name, 'store'):
            await asyncio.sleep(LOST_CALL_SECONDS)
            return result.Err(stored.Failure.unclear)
        await asyncio.sleep(CALL_SECONDS)
        if self.is_refused(name):
            return result.Err(stored.Failure.refused)
        return result.Ok(batch)


def domain_is_cut(one: str, other: str) -> bool:
    """Tells whether a link leaves the coordinator's failure domain."""
    return (one[0] == 'a') != (other[0] == 'a')


def domains_are_apart(one: str, other: str) -> bool:
    """Tells whether no failure domain hears another; all reach the store."""
    return 'store' not in {one, other} and one[0] != other[0]


def coordinator_is_cut(one: str, other: str) -> bool:
    """Tells whether a link is the coordinator's."""
    return COORDINATOR in {one, other}


def all_but_last_are_cut(one: str, other: str) -> bool:
    """Tells whether a link leads to another instance than the last one."""
    return not {one, other} <= {'c-03', 'c-22', 'store'}


def nobody(_: str) -> bool:
    """Tells of no instance that the store turns it away."""
    return False


def all_but_one_each(name: str) -> bool:
    """Tells whether the store turns away an instance, the coordinator too."""
    return not name.endswith('17')


class Case(typing.NamedTuple):
    """A target leaves while links are cut."""

    #: Instances in each failure domain.
    size: int
    is_cut: Link
    #: The last entry of the target; None if it was dropped.
    payload: bytes | None
    is_refused: abc.Callable[[str], bool] = nobody


class Seen(typing.NamedTuple):
    """What came of a case."""

    #: Who reaches the store and would still send to the target.
    unaware: list[str]
    #: Calls of the store since the cut.
    calls: int


async def play(case: Case) -> Seen:
    """Plays a case up to the end of the drain time, but for the way there."""
    rng = random.Random(f'{case.size}{case.is_cut.__name__}{case.payload!r}')
    world = Fleet(case.size)
    loop = asyncio.get_running_loop()
    following = {
        loop.create_task(reader.follow_targets())
        for reader in world.readers.values()
    }
    await asyncio.sleep(rng.uniform(5, 6))
    world.is_cut = case.is_cut
    world.is_refused = case.is_refused
    world.calls = 0
    await asyncio.sleep(rng.uniform(0, 4))
    world.write(case.payload)
    await asyncio.sleep(DRAIN_SECONDS - ON_THE_WAY_SECONDS)
    for task in following:
        task.cancel()
    return Seen(world.unaware(), world.calls)


class TurnTests(unittest.TestCase):
    """Entries of targets are read in time (review/3)."""

    def seen(self, case: Case) -> Seen:
        """Plays a case on virtual time."""
        return virtual_time.run(virtual_time.VirtualLoop(), play(case))

    def test_leaving_target_is_known_in_time_whoever_is_cut_off(self) -> None:
        """Guards against turns that wait for members who are cut off."""
        cuts = (
            domain_is_cut,
            domains_are_apart,
            coordinator_is_cut,
            all_but_last_are_cut,
        )
        payloads = (samples.entry(seq=9, state='draining'), None)
        for size, links, payload in itertools.product((4, 23), cuts, payloads):
            case = Case(size, links, payload)
            with self.subTest(case=case):
                found = self.seen(case)
                self.assertEqual(found.unaware, [])
                # Not every instance reads for itself.
                self.assertLess(found.calls, 10 * len(DOMAINS) * size)

    def test_refused_instances_are_told_by_their_failure_domain(self) -> None:
        """The store answers one instance of each, and not the coordinator."""
        case = Case(23, domains_are_apart, None, all_but_one_each)
        self.assertEqual(self.seen(case).unaware, [])
