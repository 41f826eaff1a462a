"""Reads the store's topics and relays what is new to the other instances.

The coordinator reads the targets' entries for all. Whoever hears nothing until
its turn reads for itself and relays, so a part of the fleet that is cut off, or
whose reader is refused, still has a reader.
"""

import asyncio
import typing
from collections import abc

import loguru
import result

from bilberryglade._knowledge import knowledge, news, topics, turns
from bilberryglade._membership import candidacy, fleet
from bilberryglade._targets import directory as directories
from bilberryglade._values import clock, stored
from bilberryglade.platform import store
from bilberryglade_schema import fleet as messages

#: Seconds between reads of the targets' entries.
TARGETS_PAUSE_SECONDS: typing.Final = 0.3
LOOK_SECONDS: typing.Final = 0.1
#: How much before its turn an instance may read.
EARLY_SECONDS: typing.Final = 0.001
RETRY_SECONDS: typing.Final = 0.4
LEAST_PAUSE_SECONDS: typing.Final = 0.05
#: Seconds between relays that only tell that nothing is new.
QUIET_RELAY_SECONDS: typing.Final = 0.6
#: Age of a call without an answer from which the store counts as silent; some
#: 70 times the usual answer.
SILENT_CALL_SECONDS: typing.Final = 0.3


class Reader:
    """Keeps the knowledge of this instance."""

    def __init__(
        self,
        members: fleet.Fleet,
        client: store.StoreClient,
        lease: candidacy.Candidacy,
        drain_seconds: float,
    ) -> None:
        """Knows nothing; a leaving target gets nothing after `drain_seconds`."""
        self.members = members
        self.client = client
        self.lease = lease
        self.drain_seconds = drain_seconds
        self.known = knowledge.Knowledge()
        #: Called after each change of the knowledge.
        self.listeners: list[abc.Callable[[], None]] = []
        self.quiet_since: float = 0
        #: Newest record of each key by topic, for those who start.
        self.newest: dict[str, dict[str, stored.Record]] = {}
        #: Offset up to which this instance itself read the targets' entries, and
        #: the offset from which on what it read was not relayed yet.
        self.read_until = -1
        self.relay_start = -1
        #: Whether the last call of this instance was answered, by topic.
        self.is_answered: dict[str, bool] = {}
        #: Topics of which a relay was missed.
        self.missed: set[str] = set()
        #: Whether targets were dropped that did not come back in time, and no
        #: reading of one's own has confirmed it yet.
        self.has_expired = False
        #: Topics that were asked for in vain since something was last learnt.
        self.silent: set[str] = set()
        #: Seconds at which the call under way for targets' entries began.
        self.asked_at: float | None = None
        #: Age of the targets' entries at the own turn, in seconds, and the
        #: version of the membership that it was computed from.
        self.turn_age: float = 0
        self.turn_version = -1

    async def follow_targets(self) -> None:
        """Reads the targets' entries in turn until cancelled."""
        while True:
            due_seconds = self._seconds_to_turn()
            if due_seconds > EARLY_SECONDS:
                await asyncio.sleep(min(due_seconds, LOOK_SECONDS))
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
        is_answered = self.is_answered.get(topic, False)
        self.asked_at = began
        if end is None or topic in self.missed or not is_answered:
            batch = await self.client.newest(topic)
        else:
            batch = await self.client.read(topic, end, 0)
        self.asked_at = None
        self.note(topic, batch)
        if isinstance(batch, result.Err):
            return False
        self.missed.discard(topic)
        self.has_expired = False
        self._tell_turn(began)
        before = self.known.directory
        read = batch.ok_value
        fresh = read
        if read.is_whole and end is not None:
            fresh = news.since(read, end, self.newest[topic])
        self.learn(topic, read, self._own_origin(began))
        fresh = news.changing(fresh, before, self.known.directory)
        if end is not None and stored.era_of(read.end) > stored.era_of(end):
            # Each instance reads all of it anew for itself.
            end = None
        self._relay_targets(fresh, end, began)
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
        gained = stored.era_of(end) - stored.era_of(known_end)
        if topic == topics.TARGETS:
            if gained < 0:
                # It tells nothing of the store since that came back older.
                return
            records = news.believable(records, is_new_era=gained > 0)
        read_at = clock.now() - relay['age_ms'] / 1000
        if topic == topics.OPERATOR and not relay['is_whole']:
            # Each record stands for itself; the own long poll sets the end.
            end = known_end
        elif not relay['is_whole'] and (
            relay['start'] > known_end or gained > 0
        ):
            # Something in between was missed, or the store has lost something:
            # only a whole reading heals it.
            self.missed.add(topic)
            if topic not in self.known.read_at:
                return
            end = known_end
            read_at = self.known.read_at[topic]
        batch = stored.Batch(records, end, relay['is_whole'])
        origin = knowledge.Origin(
            read_at, relay['sender'], self._is_silent(topic)
        )
        self.learn(topic, batch, origin)

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
            # Another reader that never missed them would not tell that they
            # are back.
            self.missed.add(topics.TARGETS)
            self.has_expired = True
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

    def learn(
        self, topic: str, batch: stored.Batch, origin: knowledge.Origin
    ) -> None:
        """Takes in what was read."""
        before = self.known.directory
        self.known = knowledge.learn(self.known, topic, batch, origin)
        self.silent.discard(topic)
        _note_targets(before, self.known.directory)
        kept = self.newest.setdefault(topic, {})
        standing = self.known.standing(topic)
        if batch.is_whole:
            news.forget_dropped(kept, batch, standing)
        for record in batch.records:
            if news.replaces(record, kept.get(record.key), standing):
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
        if not is_answered:
            self.silent.add(topic)
        if self.is_answered.get(topic) == is_answered:
            return
        self.is_answered[topic] = is_answered
        if isinstance(batch, result.Ok):
            loguru.logger.info('store answers: {}', topic)
            return
        loguru.logger.warning(
            'store gives no answer: {}, {}', topic, batch.err_value
        )

    def _seconds_to_turn(self) -> float:
        """Returns the seconds until this instance is to read the targets."""
        if self.lease.holds or self.has_expired:
            return 0
        if self.turn_version != self.members.version:
            self.turn_version = self.members.version
            self.turn_age = turns.turn_age(
                self.members.own.name,
                self.members.near(),
                topics.TARGETS,
                self.drain_seconds,
            )
        return self.turn_age - self.known.age(topics.TARGETS, clock.now())

    def _relay_targets(
        self, fresh: stored.Batch, end: int | None, read_at: float
    ) -> None:
        """Relays what is new since `end`, up to which others may know all."""
        if end is None:
            # Whoever starts is told by others, and tells them nothing.
            self.read_until = fresh.end
            self.relay_start = fresh.end
            return
        if self.read_until != end:
            # Others relayed in between; what they did not tell is not told here.
            self.relay_start = end
        self.read_until = fresh.end
        now = clock.now()
        is_quiet = not fresh.records
        if is_quiet and now - self.quiet_since < QUIET_RELAY_SECONDS:
            return
        self.quiet_since = now
        message = self._message(topics.TARGETS, fresh, read_at)
        message['start'] = self.relay_start
        self.members.send_all(message)
        self.relay_start = fresh.end

    def _is_silent(self, topic: str) -> bool:
        """Tells whether the store was asked in vain since it was last heard of."""
        if topic in self.silent:
            return True
        return (
            topic == topics.TARGETS
            and self.asked_at is not None
            and clock.now() - self.asked_at > SILENT_CALL_SECONDS
        )

    def _own_origin(self, read_at: float) -> knowledge.Origin:
        return knowledge.Origin(
            read_at, self.members.own.name, topics.TARGETS in self.silent
        )

    def _tell_turn(self, now: float) -> None:
        """Writes a line when this instance begins to read for others."""
        topic = topics.TARGETS
        own = self.members.own.name
        source = self.known.source.get(topic, own)
        if self.lease.holds or source == own:
            return
        loguru.logger.info(
            'entries of targets read here: {} told of them {:.2f} s ago, '
            'coordinator {} silent for {:.2f} s',
            source,
            self.known.age(topic, now),
            self.lease.coordinator,
            now - self.lease.led_at,
        )

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
            'start': batch.end,
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
