"""Follows the operators' records, and bounds how old what is known may be.

A long poll tells of a change at once, but one that is held up tells nothing. So
what is known counts as confirmed only by an answer of the store or by a
coordinator that knows the same; without either the poll is given up, and
everything is read anew over another connection. Instances tell one another only
which records they know; the records themselves go to those that lack them.
"""

import asyncio
import math
import typing

import result

from bilberryglade._knowledge import (
    catching_up,
    knowledge,
    pacing,
    reading,
    topics,
)
from bilberryglade._values import clock, stored
from bilberryglade_schema import fleet as messages

#: Milliseconds for which the coordinator's read waits for news: what it tells
#: the others with its sign of life is never older.
LEADING_WAIT_MS: typing.Final = 400
#: The same for all others, whose knowledge the coordinator confirms.
FOLLOWING_WAIT_MS: typing.Final = 15_000
#: Age of the last confirmation from which everything is read anew: the wait of
#: the coordinator's read, the time between two signs of life, and a margin.
CONFIRMED_SECONDS: typing.Final = 1.2
#: Least time between two looks at the confirmation.
LEAST_LOOK_SECONDS: typing.Final = 0.1
#: Seconds after its start for which an instance asks others whether the store
#: holds the newest configuration: three signs of life of the coordinator, and
#: the time to ask for what is lacking.
SETTLE_SECONDS: typing.Final = 3.0
#: Stands for an age that is not known, in messages.
UNKNOWN_AGE_MS: typing.Final = 1_000_000_000

TOPIC: typing.Final = topics.OPERATOR


class Operators:
    """Keeps the operators' records of this instance up to date."""

    def __init__(self, reader: reading.Reader) -> None:
        """Has confirmed nothing."""
        self.reader = reader
        #: Seconds at which what is known was the newest for certain.
        self.confirmed_at = -math.inf
        self.started_at = clock.now()
        #: Whether another instance has known the same records as this one.
        self.has_agreed = False
        self.catching_up = catching_up.CatchingUp()
        #: Reads in a row that brought nothing that could be used.
        self.failures = 0

    async def follow(self) -> None:
        """Follows the records until cancelled."""
        while True:
            began = clock.now()
            batch = await self._read()
            self.reader.note(TOPIC, batch)
            if isinstance(batch, result.Err) or self._is_stale(batch.ok_value):
                self.failures += 1
                await self._wait_to_retry()
                continue
            self.failures = 0
            # A long poll says what holds at its end; what it began with is
            # the safe side for a reading of everything.
            read_at = began if batch.ok_value.is_whole else clock.now()
            before = self.mark()
            own = self.reader.members.own.name
            origin = knowledge.Origin(read_at, own)
            self.reader.learn(TOPIC, batch.ok_value, origin)
            self.confirmed_at = max(self.confirmed_at, read_at)
            if self.mark() != before:
                self._tell_mark()
            pause = pacing.operator_pause(len(self.reader.members.members))
            if pause and batch.ok_value.records and not self._leads():
                await asyncio.sleep(pause)

    def hear_lead(self, lead: messages.Lead) -> None:
        """Compares what the coordinator and this instance know.

        A coordinator that lacks records is told so.
        """
        self.hear_mark(lead)
        own = self.mark()
        told = _told(lead)
        if own != told and own.newest >= told.newest:
            self.reader.members.send(lead['sender'], self._mark_message())

    def hear_mark(self, message: messages.Lead | messages.OperatorMark) -> None:
        """Compares what the sender and this instance know."""
        own = self.mark()
        told = _told(message)
        if own == told:
            self.has_agreed = True
            age = message['operator_age_ms'] / 1000
            self.confirmed_at = max(self.confirmed_at, clock.now() - age)
        elif own.newest <= told.newest:
            self.catching_up.hear(message['sender'], told, clock.now())

    def catch_up(self) -> None:
        """Asks another instance for records that this one lacks, if due."""
        if not self.catching_up.teller:
            return
        members = self.reader.members
        own = self.mark()
        asked = self.catching_up.next_to_ask(own, members.near(), clock.now())
        if not asked:
            return
        ask: messages.RelayAsk = {
            'kind': 'relay_ask',
            'sender': members.own.name,
            'newest': own.newest,
            'total': own.total,
        }
        members.send(asked, ask)

    def answer(self, ask: messages.RelayAsk) -> None:
        """Sends an instance the records that it lacks, if they are known here.

        One that knows the newest lacks an earlier one, and gets all.
        """
        own = self.mark()
        asked = catching_up.Mark(ask.get('newest', -1), ask.get('total', 0))
        if own == asked or own.newest < asked.newest:
            return
        after = -1 if own.newest == asked.newest else asked.newest
        self.reader.tell_newer(TOPIC, ask['sender'], after)

    def is_settled(self) -> bool:
        """Tells whether what is known can be relied on after a start.

        A store that came back older may hold an older configuration, so that an
        instance which has started since asks the others first.
        """
        end = self.reader.known.ends.get(TOPIC, stored.NOWHERE)
        if not stored.era_of(end) or self.has_agreed:
            return True
        return clock.now() - self.started_at > SETTLE_SECONDS

    def mark(self) -> catching_up.Mark:
        """Returns what tells of a difference to another instance."""
        records = self.reader.newest.get(TOPIC, {}).values()
        # Who has an older configuration in force has it from the same store.
        newest = self.reader.known.catalogue_offset
        return catching_up.Mark(
            max((newest, *(record.offset for record in records))),
            sum(
                record.offset
                for record in records
                if record.payload is not None
            ),
        )

    def age_ms(self) -> int:
        """Returns the age of the last confirmation in milliseconds."""
        if math.isinf(self.confirmed_at):
            return UNKNOWN_AGE_MS
        return int((clock.now() - self.confirmed_at) * 1000) + 1

    def _tell_mark(self) -> None:
        """Tells others of records that were read here.

        While the coordinator is silent each instance tells its failure domain
        alone: all of them would send the square of the fleet.
        """
        members = self.reader.members
        lease = self.reader.lease
        if lease.holds or not lease.coordinator:
            members.send_all(self._mark_message())
        elif not lease.is_heard:
            for name in members.near():
                members.send(name, self._mark_message())

    def _mark_message(self) -> messages.OperatorMark:
        mark = self.mark()
        return {
            'kind': 'operator_mark',
            'sender': self.reader.members.own.name,
            'operator_offset': mark.newest,
            'operator_total': mark.total,
            'operator_age_ms': self.age_ms(),
        }

    async def _read(self) -> result.Result[stored.Batch, stored.Failure]:
        """Waits for news; reads everything if nothing was confirmed lately."""
        end = self.reader.known.ends.get(TOPIC)
        if end is None or not self.reader.is_answered.get(TOPIC, False):
            return await self.reader.client.newest(TOPIC)
        wait_ms = LEADING_WAIT_MS if self._leads() else FOLLOWING_WAIT_MS
        poll = asyncio.create_task(self.reader.client.read(TOPIC, end, wait_ms))
        try:
            while not poll.done() and self._is_confirmed():
                await asyncio.wait((poll,), timeout=self._confirmed_for())
            if poll.done():
                return poll.result()
        finally:
            poll.cancel()
        return await self.reader.client.newest(TOPIC)

    async def _wait_to_retry(self) -> None:
        """Waits after a failed read, at length only while others confirm."""
        due_at = clock.now() + pacing.retry_pause(
            self.failures, is_told_otherwise=True
        )
        await asyncio.sleep(pacing.RETRY_SECONDS)
        while clock.now() < due_at and self._is_confirmed():
            await asyncio.sleep(LEAST_LOOK_SECONDS)

    def _is_stale(self, batch: stored.Batch) -> bool:
        """Tells whether a reading is older than what is known."""
        return batch.end < self.reader.known.ends.get(TOPIC, 0)

    def _leads(self) -> bool:
        return self.reader.lease.holds

    def _confirmed_for(self) -> float:
        """Returns the seconds until the next look at the confirmation."""
        left = self.confirmed_at + CONFIRMED_SECONDS - clock.now()
        return max(left, LEAST_LOOK_SECONDS)

    def _is_confirmed(self) -> bool:
        return clock.now() - self.confirmed_at <= CONFIRMED_SECONDS


def _told(message: messages.Lead | messages.OperatorMark) -> catching_up.Mark:
    return catching_up.Mark(
        message['operator_offset'], message['operator_total']
    )
