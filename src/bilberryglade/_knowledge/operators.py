"""Follows the operators' records, and bounds how old what is known may be.

A long poll tells of a change at once, but one that is held up tells nothing. So
what is known counts as confirmed only by an answer of the store or by a
coordinator that knows the same; without either the poll is given up, and
everything is read anew over another connection.
"""

import asyncio
import math
import typing

import result

from bilberryglade._knowledge import reading, topics
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
LOOK_SECONDS: typing.Final = 0.1
RETRY_SECONDS: typing.Final = 0.4
#: Stands for an age that is not known, in messages.
UNKNOWN_AGE_MS: typing.Final = 1_000_000_000

TOPIC: typing.Final = topics.OPERATOR


class Mark(typing.NamedTuple):
    """Tells what one instance knows of operators from what another does."""

    #: Offset of the newest record.
    newest: int
    #: Sum of the offsets of all keys that were not dropped.
    total: int


class Operators:
    """Keeps the operators' records of this instance up to date."""

    def __init__(self, reader: reading.Reader) -> None:
        """Has confirmed nothing."""
        self.reader = reader
        #: Seconds at which what is known was the newest for certain.
        self.confirmed_at = -math.inf

    async def follow(self) -> None:
        """Follows the records until cancelled."""
        while True:
            began = clock.now()
            batch = await self._read()
            self.reader.note(TOPIC, batch)
            if isinstance(batch, result.Err) or self._is_stale(batch.ok_value):
                await asyncio.sleep(RETRY_SECONDS)
                continue
            # A long poll says what holds at its end; what it began with is
            # the safe side for a reading of everything.
            read_at = began if batch.ok_value.is_whole else clock.now()
            self.reader.learn(TOPIC, batch.ok_value, read_at)
            self.confirmed_at = max(self.confirmed_at, read_at)
            if batch.ok_value.records and self.reader.relays():
                self.reader.relay(TOPIC, batch.ok_value, read_at)

    def hear_lead(self, lead: messages.Lead) -> None:
        """Evens out what the coordinator and this instance know.

        Whose reads of the store are refused or held up hears of a change from
        those that were answered.
        """
        own = self.mark()
        told = Mark(lead['operator_offset'], lead['operator_total'])
        if own == told:
            age = lead['operator_age_ms'] / 1000
            self.confirmed_at = max(self.confirmed_at, clock.now() - age)
            return
        if own.newest <= told.newest:
            ask: messages.RelayAsk = {
                'kind': 'relay_ask',
                'sender': self.reader.members.own.name,
            }
            self.reader.members.send(lead['sender'], ask)
        if own.newest >= told.newest:
            self.reader.tell_all(TOPIC, lead['sender'])

    def mark(self) -> Mark:
        """Returns what tells of a difference to another instance."""
        records = self.reader.newest.get(TOPIC, {}).values()
        return Mark(
            max((record.offset for record in records), default=-1),
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

    async def _read(self) -> result.Result[stored.Batch, stored.Failure]:
        """Waits for news; reads everything if nothing was confirmed lately."""
        end = self.reader.known.ends.get(TOPIC)
        if end is None or not self.reader.is_answered.get(TOPIC, False):
            return await self.reader.client.newest(TOPIC)
        leads = self.reader.lease.holds
        wait_ms = LEADING_WAIT_MS if leads else FOLLOWING_WAIT_MS
        poll = asyncio.create_task(self.reader.client.read(TOPIC, end, wait_ms))
        try:
            while not poll.done() and self._is_confirmed():
                await asyncio.wait((poll,), timeout=LOOK_SECONDS)
            if poll.done():
                return poll.result()
        finally:
            poll.cancel()
        return await self.reader.client.newest(TOPIC)

    def _is_stale(self, batch: stored.Batch) -> bool:
        """Tells whether a reading is older than what is known."""
        return batch.end < self.reader.known.ends.get(TOPIC, 0)

    def _is_confirmed(self) -> bool:
        return clock.now() - self.confirmed_at <= CONFIRMED_SECONDS
