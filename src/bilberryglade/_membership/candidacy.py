"""The loop that claims, renews and gives up the coordinator's lease."""

import asyncio
import random
import typing
from collections import abc

import loguru
import result

from bilberryglade._codec import codec
from bilberryglade._era import eras
from bilberryglade._membership import fleet, leadership
from bilberryglade._values import clock, stored
from bilberryglade.platform import store
from bilberryglade_schema import fleet as messages

TOPIC: typing.Final = 'coordinator'
KEY: typing.Final = 'lease'
#: Seconds of the coordinator's silence from which its lease is looked at.
SILENCE_SECONDS: typing.Final = 1.4
#: Seconds between two looks; drawn anew each time so that few come together.
LOOK_SECONDS: typing.Final = (0.25, 0.55)
IDLE_SECONDS: typing.Final = 0.2
#: Seconds for which an instance leaves a free lease to others that are this many
#: times as strong, and how lately these must have been heard.
YIELD_SECONDS: typing.Final = 0.8
STRONGER_RATIO: typing.Final = 1.5
HEARD_SECONDS: typing.Final = 3.0
#: Seconds after a call that failed.
RETRY_SECONDS: typing.Final = 0.25
LEAST_PAUSE_SECONDS: typing.Final = 0.05


class Candidacy:
    """Keeps the lease of this instance, or watches that of another."""

    def __init__(self, members: fleet.Fleet, client: store.StoreClient) -> None:
        """Starts as a follower of nobody."""
        self.members = members
        self.client = client
        self.state = leadership.State()
        self.sequence = 0
        #: Seconds before which each own claim was sent, by its number.
        self.sent: dict[int, float] = {}
        #: Seconds at which the store last confirmed an own claim.
        self.confirmed_at: float = 0
        #: Name of the coordinator, '' while none is known.
        self.coordinator = ''
        self.term = -1
        #: Seconds at which this instance first found the lease free; None
        #: while it is held.
        self.free_since: float | None = None
        #: Seconds at which the coordinator's last sign of life arrived. Other
        #: messages of it do not count: it may have lost its lease.
        self.led_at = float('-inf')
        #: Offset of the newest claim that its holder has told of, and the
        #: seconds at which it was told first.
        self.told_claim = leadership.Told(-1, 0)
        #: Called when this instance becomes the coordinator.
        self.on_start: list[abc.Callable[[], None]] = []
        #: Called with each claim that the store took, the first one too.
        self.on_claim: list[abc.Callable[[], None]] = []
        #: Called when its lease has ended.
        self.on_end: list[abc.Callable[[], None]] = []

    @property
    def holds(self) -> bool:
        """Whether this instance coordinates now."""
        return leadership.holds(self.state, clock.now())

    @property
    def is_led(self) -> bool:
        """Whether this instance has no reason to look at the lease."""
        if self.state.role is leadership.Role.resigned:
            return True
        if not self.coordinator or self.coordinator == self.members.own.name:
            return False
        return clock.now() - self.led_at < SILENCE_SECONDS

    @property
    def is_heard(self) -> bool:
        """Whether this instance coordinates, or hears of who does."""
        if self.holds:
            return True
        return clock.now() - self.led_at < SILENCE_SECONDS

    def hear(self, lead: messages.Lead) -> None:
        """Takes in the coordinator's sign of life, or that it was the last."""
        self.client.eras.hear_told(lead['claim'])
        if lead['term'] < self.term:
            return
        if lead.get('is_over'):
            self.leave(lead['sender'])
            return
        if lead['term'] > self.term:
            loguru.logger.info(
                'coordinator known: {} term {}', lead['sender'], lead['term']
            )
        self.coordinator = lead['sender']
        self.term = lead['term']
        self.led_at = clock.now()
        if lead['claim'] > self.told_claim.offset:
            self.told_claim = leadership.Told(lead['claim'], self.led_at)

    def leave(self, name: str) -> None:
        """Takes in that an instance is about to stop.

        A coordinator that does has given up its lease, and its pools with it.
        """
        if name == self.coordinator:
            self.led_at = float('-inf')

    async def keep(self) -> None:
        """Runs until it is cancelled."""
        while True:
            if self.state.role is leadership.Role.coordinator:
                await self._renew()
            elif self.is_led:
                self.free_since = None
                await asyncio.sleep(IDLE_SECONDS)
            else:
                await self._look()

    async def resign(self) -> None:
        """Gives up the lease at once, for a planned stop."""
        held = self.holds
        newest = self.state.newest
        self.state = leadership.resigned(self.state)
        if held:
            await self._append(newest + 1, is_resigned=True)
            loguru.logger.info('coordinator resigned: term {}', self.term)

    async def _renew(self) -> None:
        began = clock.now()
        if not self.holds:
            self._lose('lease ended')
            return
        sent_at = clock.now()
        end = leadership.next_end(self.state, self.client.eras.era)
        appended = await self._append(end, is_resigned=False)
        if isinstance(appended, result.Ok):
            self._hold(appended.ok_value, sent_at)
        elif appended.err_value is not stored.Failure.refused:
            await self._read()
        failed = isinstance(appended, result.Err)
        pause = RETRY_SECONDS if failed else leadership.RENEWAL_SECONDS
        await asyncio.sleep(
            max(pause - (clock.now() - began), LEAST_PAUSE_SECONDS)
        )

    async def _look(self) -> None:
        is_read = await self._read()
        may_claim = is_read and leadership.may_claim(
            self.state,
            self.members.own.address,
            clock.now(),
            eras.may_claim_at(
                self.client.eras.risen_at, leadership.WAITED_SECONDS
            ),
        )
        if not may_claim:
            self.free_since = None
        elif not self._yields(clock.now()):
            seen = self.state.seen
            sent_at = clock.now()
            start = stored.Position(self.client.eras.era, 0).packed
            end = start if seen is None else seen.offset + 1
            appended = await self._append(end, is_resigned=False)
            if isinstance(appended, result.Ok):
                self._hold(appended.ok_value, sent_at)
                return
        await asyncio.sleep(random.uniform(*LOOK_SECONDS))

    def _yields(self, now: float) -> bool:
        """Tells whether to leave the free lease to a stronger instance.

        Orders, plans and words to all come from the coordinator alone; a weak
        one falls behind with them in a large fleet, and loses the lease again.
        Of a fleet that starts nobody is known yet; the weaker an instance, the
        longer it waits then.
        """
        if self.free_since is None:
            self.free_since = now
        own_strength = fleet.strength(self.members.own)
        waited = now - self.free_since
        if waited < YIELD_SECONDS * (1 - own_strength):
            return True
        if waited > YIELD_SECONDS:
            return False
        least = own_strength * STRONGER_RATIO
        return any(
            fleet.strength(member) >= least
            and self.members.silence_of(member.name) < HEARD_SECONDS
            for member in self.members.others()
            if member.name not in self.members.leaving
        )

    async def _read(self) -> bool:
        """Reads the newest claim; returns whether the store answered."""
        newest = await self.client.newest(TOPIC)
        if isinstance(newest, result.Err):
            return False
        found = leadership.dated(
            _seen(newest.ok_value, clock.now()), self.told_claim
        )
        self.state = leadership.observe(self.state, found)
        seen = self.state.seen
        if seen is None:
            return True
        is_coordinator = self.state.role is leadership.Role.coordinator
        if is_coordinator and leadership.is_restored(
            self.state, seen, clock.now()
        ):
            # The next renewal writes the own claim again behind it.
            return True
        own = self.members.own
        is_own = (seen.holder, seen.boot) == (own.name, own.boot)
        if is_own and seen.sequence in self.sent and not seen.is_resigned:
            if is_coordinator:
                self._hold(seen.offset, self.sent[seen.sequence])
        elif is_coordinator:
            self._lose(f'claim of {seen.holder}')
        return True

    async def _append(
        self,
        end: int,
        *,
        is_resigned: bool,
    ) -> result.Result[int, stored.Failure]:
        self.sequence += 1
        self.sent = {
            number: moment
            for number, moment in self.sent.items()
            if number > self.sequence - 8
        }
        self.sent[self.sequence] = clock.now()
        claim: messages.Claim = {
            'holder': self.members.own.name,
            'boot': self.members.own.boot,
            'address': self.members.own.address,
            'sequence': self.sequence,
            'is_resigned': is_resigned,
        }
        return await self.client.append(
            TOPIC,
            KEY,
            codec.encode_packed(claim),
            stored.Condition(end=end),
        )

    def _hold(self, offset: int, sent_at: float) -> None:
        was_coordinator = self.state.role is leadership.Role.coordinator
        if self.state.role is leadership.Role.resigned:
            return
        self.state = leadership.claimed(self.state, offset, sent_at)
        self.confirmed_at = sent_at
        if not was_coordinator:
            self._begin()
        elif self.state.term != self.term:
            self.term = self.state.term
            loguru.logger.info(
                'coordinator here: term {}, after the store came back older',
                self.term,
            )
        for listener in self.on_claim:
            listener()

    def _begin(self) -> None:
        self.coordinator = self.members.own.name
        self.term = self.state.term
        loguru.logger.info('coordinator here: term {}', self.term)
        for listener in self.on_start:
            listener()

    def _lose(self, why: str) -> None:
        self.state = leadership.lost(self.state)
        self.coordinator = ''
        loguru.logger.info('coordinator no more: {}', why)
        for listener in self.on_end:
            listener()


def _seen(batch: stored.Batch, now: float) -> leadership.Seen | None:
    for record in batch.records:
        if record.key != KEY or record.payload is None:
            continue
        claim = codec.decode_packed(record.payload, messages.Claim)
        if isinstance(claim, result.Err):
            # Nobody's claim: it holds as long as any, and is replaced then.
            return leadership.Seen(record.offset, '', '', '', 0, False, now)
        return leadership.Seen(
            offset=record.offset,
            holder=claim.ok_value['holder'],
            boot=claim.ok_value['boot'],
            address=claim.ok_value['address'],
            sequence=claim.ok_value['sequence'],
            is_resigned=claim.ok_value['is_resigned'],
            first_seen=now,
        )
    return None
