"""Reads the store's topics and relays what is new to the other instances.

The coordinator reads the targets' entries for all. Whoever hears nothing for
longer than its turn reads for itself and relays, so a part of the fleet that
is cut off, or whose reader is refused, still has a reader.
"""

import asyncio
import typing
from collections import abc

import loguru
import result

from bilberryglade._knowledge import knowledge, topics
from bilberryglade._membership import candidacy, fleet
from bilberryglade._targets import directory as directories
from bilberryglade._values import clock, stored
from bilberryglade.platform import store
from bilberryglade_schema import fleet as messages

#: Seconds between reads of the targets' entries.
TARGETS_PAUSE_SECONDS: typing.Final = 0.3
#: Age of knowledge from which the instance with the first turn reads.
TURN_SECONDS: typing.Final = 1.0
#: Seconds between the turns of two instances.
TURN_STEP_SECONDS: typing.Final = 0.12
LOOK_SECONDS: typing.Final = 0.1
RETRY_SECONDS: typing.Final = 0.4
LEAST_PAUSE_SECONDS: typing.Final = 0.05
#: Seconds between relays that only tell that nothing is new.
QUIET_RELAY_SECONDS: typing.Final = 0.6


class Reader:
    """Keeps the knowledge of this instance."""

    def __init__(
        self,
        members: fleet.Fleet,
        client: store.StoreClient,
        lease: candidacy.Candidacy,
    ) -> None:
        """Knows nothing."""
        self.members = members
        self.client = client
        self.lease = lease
        self.known = knowledge.Knowledge()
        #: Called after each change of the knowledge.
        self.listeners: list[abc.Callable[[], None]] = []
        self.quiet_since: float = 0
        #: Newest record of each key by topic, for those who start.
        self.newest: dict[str, dict[str, stored.Record]] = {}
        #: Offset up to which this instance relayed each topic.
        self.relayed: dict[str, int] = {}
        #: Whether the last call of this instance was answered, by topic.
        self.is_answered: dict[str, bool] = {}

    async def follow_targets(self) -> None:
        """Reads the targets' entries in turn until cancelled."""
        while True:
            if not self._is_due():
                await asyncio.sleep(LOOK_SECONDS)
                continue
            began = clock.now()
            answered = await self.read_targets()
            pause = TARGETS_PAUSE_SECONDS if answered else RETRY_SECONDS
            await asyncio.sleep(
                max(pause - (clock.now() - began), LEAST_PAUSE_SECONDS)
            )

    async def read_targets(self) -> bool:
        """Reads what is new of the targets; returns whether that went well."""
        topic = topics.TARGETS
        began = clock.now()
        end = self.known.ends.get(topic)
        if end is None or not self.is_answered.get(topic, False):
            batch = await self.client.newest(topic)
        else:
            batch = await self.client.read(topic, end, 0)
        self.note(topic, batch)
        if isinstance(batch, result.Err):
            return False
        before = self.known.directory
        self.learn(topic, batch.ok_value, began)
        news = batch.ok_value
        if not news.is_whole:
            news = news._replace(records=self._changing(news, before))
        self._relay_targets(news, began)
        return True

    def hear(self, relay: messages.Relay) -> None:
        """Takes in records that another instance read."""
        topic = relay['topic']
        if topic not in topics.folds.entries:
            return
        records = tuple(
            stored.Record(record['key'], record['offset'], record.get('value'))
            for record in relay['records']
        )
        known_end = self.known.ends.get(topic, -1)
        end = relay['end']
        read_at = clock.now() - relay['age_ms'] / 1000
        if topic == topics.OPERATOR and not relay['is_whole']:
            # Each record stands for itself; the own long poll sets the end.
            end = known_end
        elif not relay['is_whole'] and relay['start'] > known_end:
            # Something in between was missed: only a whole reading heals it.
            self.is_answered[topic] = False
            if topic not in self.known.read_at:
                return
            end = known_end
            read_at = self.known.read_at[topic]
        batch = stored.Batch(records, end, relay['is_whole'])
        self.learn(topic, batch, read_at)

    def tell_newer(self, topic: str, name: str, after: int) -> None:
        """Sends an instance the records of a topic behind an offset."""
        read_at = self.known.read_at.get(topic)
        if read_at is None:
            return
        records = tuple(
            record
            for record in self.newest[topic].values()
            if record.offset > after
        )
        end = self.known.ends.get(topic, 0)
        batch = stored.Batch(records, end, is_whole=False)
        self.members.send(name, self._message(topic, batch, read_at))

    def expire(self) -> None:
        """Drops targets whose entries did not come back in time."""
        listed = directories.expire(self.known.directory, clock.now())
        if listed is not self.known.directory:
            _note_targets(self.known.directory, listed)
            self.known = self.known._replace(directory=listed)
            self._tell()

    def leave(self, life: directories.Life, used_until: float) -> None:
        """Takes in that a life of a target said that it leaves."""
        listed = directories.leave(self.known.directory, life, used_until)
        _note_targets(self.known.directory, listed)
        self.known = self.known._replace(directory=listed)
        self._tell()

    def forget_left(self, before: float) -> None:
        """Drops the words of leaving targets that are of no more use."""
        listed = directories.forget_left(self.known.directory, before)
        self.known = self.known._replace(directory=listed)

    def whole(self, topic: str) -> messages.Relay | None:
        """Returns all that is known of a topic as a message."""
        end = self.known.ends.get(topic)
        if end is None:
            return None
        records = tuple(
            record
            for record in self.newest[topic].values()
            if record.payload is not None
        )
        batch = stored.Batch(records, end, is_whole=True)
        return self._message(topic, batch, self.known.read_at[topic])

    def relays(self) -> bool:
        """Tells whether this instance passes on what it reads."""
        return self.lease.holds or not self.lease.coordinator

    def relay(self, topic: str, batch: stored.Batch, read_at: float) -> None:
        """Sends what was read at `read_at` to all others."""
        message = self._message(topic, batch, read_at)
        if topic not in self.relayed:
            message = self.whole(topic) or message
        self.members.send_all(message)
        self.relayed[topic] = batch.end

    def learn(self, topic: str, batch: stored.Batch, read_at: float) -> None:
        """Takes in what was read at `read_at`."""
        before = self.known.directory
        self.known = knowledge.learn(self.known, topic, batch, read_at)
        _note_targets(before, self.known.directory)
        kept = self.newest.setdefault(topic, {})
        if batch.is_whole:
            _forget_dropped(kept, batch)
        for record in batch.records:
            known = kept.get(record.key)
            if known is not None and known.offset >= record.offset:
                continue
            kept[record.key] = record
        if batch.records or batch.is_whole:
            self._tell()

    def note(
        self,
        topic: str,
        batch: result.Result[stored.Batch, stored.Failure],
    ) -> None:
        """Takes in whether the store answered a read of a topic."""
        is_answered = isinstance(batch, result.Ok)
        if self.is_answered.get(topic) == is_answered:
            return
        self.is_answered[topic] = is_answered
        if isinstance(batch, result.Ok):
            loguru.logger.info('store answers: {}', topic)
            return
        loguru.logger.warning(
            'store gives no answer: {}, {}', topic, batch.err_value
        )

    def _changing(
        self,
        news: stored.Batch,
        before: directories.Directory,
    ) -> tuple[stored.Record, ...]:
        """Returns the records that say more than that a target lives."""
        after = self.known.directory
        return tuple(
            record
            for record in news.records
            if directories.is_change(
                before.targets.get(record.key), after.targets.get(record.key)
            )
            or record.payload is None
        )

    def _is_due(self) -> bool:
        if self.lease.holds:
            return True
        age = self.known.age(topics.TARGETS, clock.now())
        names = sorted(self.members.members)
        turn = names.index(self.members.own.name)
        return age > TURN_SECONDS + turn * TURN_STEP_SECONDS

    def _relay_targets(self, news: stored.Batch, read_at: float) -> None:
        now = clock.now()
        is_quiet = not news.records
        if is_quiet and now - self.quiet_since < QUIET_RELAY_SECONDS:
            return
        self.quiet_since = now
        self.relay(topics.TARGETS, news, read_at)

    def _message(
        self,
        topic: str,
        batch: stored.Batch,
        read_at: float,
    ) -> messages.Relay:
        return {
            'kind': 'relay',
            'sender': self.members.own.name,
            'topic': topic,
            'start': self.relayed.get(topic, batch.end),
            'end': batch.end,
            'age_ms': int((clock.now() - read_at) * 1000) + 1,
            'is_whole': batch.is_whole,
            'records': [
                {
                    'key': record.key,
                    'offset': record.offset,
                    'value': record.payload,
                }
                for record in batch.records
            ],
        }

    def _tell(self) -> None:
        for listener in self.listeners:
            listener()


def _note_targets(
    before: directories.Directory,
    after: directories.Directory,
) -> None:
    """Writes a line for each target that came, went or changed."""
    if before is after:
        return
    for change in directories.changes(before, after):
        target = change.target
        loguru.logger.info(
            'target {} of {} in {} {}: offset {}',
            target.name,
            target.service,
            target.failure_domain,
            change.what,
            target.offset,
        )


def _forget_dropped(
    kept: dict[str, stored.Record],
    batch: stored.Batch,
) -> None:
    """Removes the keys that a whole reading does not name any more."""
    named = {record.key for record in batch.records}
    for key, record in list(kept.items()):
        if key not in named and record.offset < batch.end:
            kept.pop(key)
