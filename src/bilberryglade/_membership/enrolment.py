"""How an instance joins the fleet: by the store, which is the trust root.

Whoever may write to the store is an instance. The key pair that all instances
share is kept there by a conditional append, so that the first one to start
makes it and all others take it over.
"""

import asyncio
import random
import typing

import loguru
import result
import zmq

from bilberryglade._codec import codec
from bilberryglade._membership import candidacy, fleet
from bilberryglade._values import clock, stored
from bilberryglade.platform import store
from bilberryglade_schema import fleet as messages

KEYS_TOPIC: typing.Final = 'peer-keys'
KEYS_KEY: typing.Final = 'pair'
MEMBERS_TOPIC: typing.Final = 'members'
#: Milliseconds for which a read of the members waits for news.
WAIT_MS: typing.Final = 20_000
#: First pause after a call that failed, the longest one, and the factors
#: between which each is drawn, so that few come together.
RETRY_SECONDS: typing.Final = 0.4
MOST_RETRY_SECONDS: typing.Final = 3.0
RETRY_SPREAD: typing.Final = (0.7, 1.3)
#: Seconds between two reads of the members; news wait for the next one.
READ_PAUSE_SECONDS: typing.Final = (0.6, 1.0)
#: Shortest time between two greetings of a coordinator.
GREET_SECONDS: typing.Final = 1.0
#: Seconds since the last message of those who are told of a planned stop.
ACQUAINTED_SECONDS: typing.Final = 10.0
#: Seconds of silence after which the coordinator takes a member off the list.
SILENT_SECONDS: typing.Final = 15.0
SWEEP_SECONDS: typing.Final = 5.0


async def read_keys(client: store.StoreClient) -> messages.PeerKeys:
    """Returns the fleet's key pair; asks until the store has answered."""
    while True:
        newest = await client.newest(KEYS_TOPIC)
        if isinstance(newest, result.Ok):
            keys = _keys_in(newest.ok_value)
            if keys is not None:
                return keys
            await client.append(
                KEYS_TOPIC,
                KEYS_KEY,
                codec.encode_packed(_new_keys()),
                stored.Condition(end=newest.ok_value.end),
            )
            continue
        await asyncio.sleep(RETRY_SECONDS)


class Backoff:
    """Ever longer pauses between calls that the store refuses."""

    def __init__(self) -> None:
        """Starts with the shortest pause."""
        self.seconds = RETRY_SECONDS

    def reset(self) -> None:
        """Takes in a call that was answered."""
        self.seconds = RETRY_SECONDS

    async def pause(self) -> None:
        """Waits; the next pause is longer."""
        seconds = self.seconds * random.uniform(*RETRY_SPREAD)
        self.seconds = min(self.seconds * 2, MOST_RETRY_SECONDS)
        await asyncio.sleep(seconds)


class Enrolment:
    """Keeps this instance's entry, and follows those of the others."""

    def __init__(
        self,
        members: fleet.Fleet,
        client: store.StoreClient,
        lease: candidacy.Candidacy,
    ) -> None:
        """Has not joined yet."""
        self.members = members
        self.client = client
        self.lease = lease
        #: Whether the others' entries were read once.
        self.is_read = False
        #: Names whose entries could not be read, which were told once.
        self.unreadable: set[str] = set()
        #: Seconds at which this instance told a coordinator of itself last.
        self.greeted_at = float('-inf')

    async def join(self) -> None:
        """Writes this instance's entry; asks until the store took it."""
        own = self.members.own
        entry: messages.Member = {
            'boot': own.boot,
            'address': own.address,
            'failure_domain': own.failure_domain,
            'processor': own.processor,
        }
        payload = codec.encode_packed(entry)
        backoff = Backoff()
        while True:
            appended = await self.client.append(
                MEMBERS_TOPIC, own.name, payload
            )
            if isinstance(appended, result.Ok):
                return
            await backoff.pause()

    async def follow(self) -> None:
        """Joins, then follows the list until cancelled."""
        end: int | None = None
        backoff = Backoff()
        await self.join()
        while True:
            if end is None:
                batch = await self.client.newest(MEMBERS_TOPIC)
            else:
                batch = await self.client.read(MEMBERS_TOPIC, end, WAIT_MS)
            if isinstance(batch, result.Err):
                end = None
                await backoff.pause()
                continue
            backoff.reset()
            end = batch.ok_value.end
            was_listed = self._take(batch.ok_value)
            if not was_listed:
                await self.join()
            if not self.is_read:
                self.is_read = True
                self.greet(self.lease.holder)
            # Instances that start together are read together.
            await asyncio.sleep(random.uniform(*READ_PAUSE_SECONDS))

    def greet(self, name: str) -> None:
        """Tells an instance, the coordinator, that this one has started."""
        now = clock.now()
        if name and now - self.greeted_at >= GREET_SECONDS:
            self.greeted_at = now
            self.members.send(name, self.members.hello(is_leaving=False))

    def take_leave(self) -> None:
        """Tells those who may send to this instance that it is about to stop.

        Others have nothing to do with it, or hear of it from the store.
        """
        message = self.members.hello(is_leaving=True)
        for member in self.members.others():
            silence = self.members.silence_of(member.name)
            is_known = member.name == self.lease.coordinator
            if is_known or silence < ACQUAINTED_SECONDS:
                self.members.send(member.name, message)

    async def sweep(self) -> None:
        """Takes silent members off the list while coordinating."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            if not self.lease.holds:
                continue
            for member in self.members.others():
                self.members.heard.setdefault(member.name, clock.now())
                if self.members.silence_of(member.name) > SILENT_SECONDS:
                    loguru.logger.info('member {} is gone', member.name)
                    await self.client.append(MEMBERS_TOPIC, member.name, b'')

    def _take(self, batch: stored.Batch) -> bool:
        """Takes in entries; returns False if this instance lost its own."""
        own = self.members.own.name
        for record in batch.records:
            if record.key != own:
                self._take_record(record)
        if batch.is_whole:
            self._drop_unnamed({record.key for record in batch.records})
        own_records = [record for record in batch.records if record.key == own]
        if not own_records:
            return not batch.is_whole
        return own_records[-1].payload is not None

    def _take_record(self, record: stored.Record) -> None:
        if record.payload is None:
            self.members.drop(record.key)
            return
        entry = codec.decode_packed(record.payload, messages.Member)
        if isinstance(entry, result.Err):
            if record.key not in self.unreadable:
                loguru.logger.warning('member {} unreadable', record.key)
            self.unreadable.add(record.key)
            return
        self.members.take(
            fleet.Member(
                name=record.key,
                boot=entry.ok_value['boot'],
                address=entry.ok_value['address'],
                failure_domain=entry.ok_value['failure_domain'],
                offset=record.offset,
                processor=entry.ok_value.get('processor', 1),
            ),
        )

    def _drop_unnamed(self, named: set[str]) -> None:
        for member in self.members.others():
            if member.name not in named and member.offset >= 0:
                self.members.drop(member.name)


def _keys_in(batch: stored.Batch) -> messages.PeerKeys | None:
    for record in batch.records:
        if record.key == KEYS_KEY and record.payload is not None:
            decoded = codec.decode_packed(record.payload, messages.PeerKeys)
            if isinstance(decoded, result.Ok) and _is_pair(decoded.ok_value):
                return decoded.ok_value
    return None


def _is_pair(keys: messages.PeerKeys) -> bool:
    try:
        public = zmq.curve_public(keys['secret_key'].encode())
    except zmq.ZMQError:
        return False
    return public == keys['public_key'].encode()


def _new_keys() -> messages.PeerKeys:
    public, secret = zmq.curve_keypair()
    return {'public_key': public.decode(), 'secret_key': secret.decode()}
