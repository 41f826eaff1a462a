"""Records the loss of members, and lets an expelled instance join again."""

import asyncio
import time
import typing
from collections import abc

import loguru

from bilberryglade._log import recorder
from bilberryglade._membership import authority, heartbeats, suspicion
from bilberryglade._state import folding, state
from bilberryglade._values import steps

EXPEL: typing.Final = steps.declare(
    'membership.append_lost',
    steps.StepKind.append,
)
HEARTBEAT: typing.Final = steps.declare(
    'membership.heartbeat',
    steps.StepKind.message,
)
MILLISECONDS: typing.Final = 1000
LOOK_SECONDS: typing.Final = 0.05
COMMIT_SECONDS: typing.Final = 2.0
FIRST_PAUSE_SECONDS: typing.Final = 0.5
LONGEST_PAUSE_SECONDS: typing.Final = 30.0

Facts: typing.TypeAlias = abc.Callable[[], authority.Facts]
Join: typing.TypeAlias = abc.Callable[[], abc.Awaitable[None]]


class Expulsion:
    """Watches the members of the own failure domain, and this one itself."""

    def __init__(
        self,
        facts: Facts,
        beats: heartbeats.Heartbeats,
        writer: recorder.Recorder,
        join: Join,
    ) -> None:
        """Records through `writer`; `join` joins this process again."""
        self.facts = facts
        self.beats = beats
        self.writer = writer
        self.join = join
        self.watch = suspicion.Watch()
        timings = beats.timings
        self.patience = suspicion.Patience(
            suspect=timings['suspect_ms'] / MILLISECONDS,
            heartbeat=timings['heartbeat_ms'] / MILLISECONDS,
        )
        self.was_member = False
        self.pause_seconds = FIRST_PAUSE_SECONDS

    async def watch_members(self) -> None:
        """Looks again and again until cancelled."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            facts = self.facts()
            self.watch = suspicion.look(self.watch, facts, time.monotonic())
            if authority.own_member(facts) is None:
                await self._return()
                continue
            self.was_member = True
            await self._expel(facts)

    def silent_domains(self) -> frozenset[str]:
        """Returns failure domains of which no member answers."""
        facts = self.facts()
        return suspicion.silent_domains(self.watch, facts, self.patience)

    async def _expel(self, facts: authority.Facts) -> None:
        own = authority.own_member(facts)
        if own is None:
            return
        lost = suspicion.lost_members(self.watch, facts, self.patience)
        for member in lost:
            loguru.logger.warning('{} does not answer', member.instance)
            await self.writer.commit(
                loss_record(member, own.joined_at),
                COMMIT_SECONDS,
            )

    async def _return(self) -> None:
        """Joins again after an expulsion, each time after a longer pause."""
        if not self.was_member or self.beats.is_silent:
            return
        self.was_member = False
        loguru.logger.warning('expelled; joining again')
        await asyncio.sleep(self.pause_seconds)
        self.pause_seconds = min(2 * self.pause_seconds, LONGEST_PAUSE_SECONDS)
        await self.join()


def loss_record(member: state.Member, by_joined_at: int) -> folding.Record:
    """Returns the record of a loss.

    The id names the observer too: were the record of one that is expelled
    itself refused, a copy by another under the same id would be refused too.
    """
    return {
        'id': f'lost-{member.joined_at}-by-{by_joined_at}',
        'kind': 'instance_left',
        'instance': member.instance,
        'joined_at': member.joined_at,
        'reason': 'lost',
        'by_joined_at': by_joined_at,
    }
