"""How an instance joins the fleet: by the store, which is the trust root.

Whoever may write to the store is an instance. The key pair that all instances
share is kept there by a conditional append, so that the first one to start
makes it and all others take it over.

What is divided among the instances follows from who they are. So each entry also
stands beside the key pair, which a process reads before anything of it runs: it
never takes itself for the only instance because the list could not be read.

A store that comes back older may have lost entries and even the key pair. Each
instance writes its own entry and copy again, and whoever finds no pair writes the
one that the fleet uses.
"""

import asyncio
import typing

import loguru
import result
import zmq

from bilberryglade._codec import codec
from bilberryglade._knowledge import pacing
from bilberryglade._membership import candidacy, fleet
from bilberryglade._values import clock, site, stored
from bilberryglade.platform import store
from bilberryglade_schema import fleet as messages

KEYS_TOPIC: typing.Final = 'peer-keys'
KEYS_KEY: typing.Final = 'pair'
MEMBERS_TOPIC: typing.Final = 'members'
#: Begins the keys of the copies of entries beside the key pair.
COPY_PREFIX: typing.Final = 'member/'
#: Milliseconds for which a read of the members waits for news.
WAIT_MS: typing.Final = 20_000
RETRY_SECONDS: typing.Final = 0.4
#: Seconds of silence after which the coordinator takes a member off the list.
SILENT_SECONDS: typing.Final = 15.0
SWEEP_SECONDS: typing.Final = 5.0
#: Seconds since a message of a member within which it is not taken for gone
#: because a store that came back older has lost its entry: two of the reports
#: that each instance sends, and the time to write the entry again.
HEARD_SECONDS: typing.Final = 3.0


class Known(typing.NamedTuple):
    """What a process reads of the fleet before anything of it runs."""

    keys: messages.PeerKeys
    #: The instances that had written copies of their entries, as of then.
    members: tuple[fleet.Member, ...] = ()
    #: All that stands beside the key pair.
    records: tuple[stored.Record, ...] = ()


async def read_fleet(client: store.StoreClient) -> Known:
    """Returns what is known of the fleet; asks until the store has answered."""
    while True:
        newest = await client.newest(KEYS_TOPIC)
        if isinstance(newest, result.Ok):
            keys = _keys_in(newest.ok_value)
            if keys is not None:
                batch = newest.ok_value
                return Known(keys, _copies_in(batch), batch.records)
            await client.append(
                KEYS_TOPIC,
                KEYS_KEY,
                codec.encode_packed(_new_keys()),
                stored.Condition(end=newest.ok_value.end),
            )
            continue
        await asyncio.sleep(RETRY_SECONDS)


class Enrolment:
    """Keeps this instance's entry, and follows those of the others."""

    def __init__(
        self,
        members: fleet.Fleet,
        client: store.StoreClient,
        lease: candidacy.Candidacy,
        keys: messages.PeerKeys | None = None,
    ) -> None:
        """Has not joined yet; `keys` is the pair in use, None if there is none."""
        self.keys = keys
        self.members = members
        self.client = client
        self.lease = lease
        #: Whether the others' entries were read once.
        self.is_read = False
        #: Names whose entries could not be read, which were told once.
        self.unreadable: set[str] = set()
        #: Position up to which the others' entries were read.
        self.end = stored.NOWHERE
        #: Set while this instance's copy is to be written.
        self.is_copy_due = asyncio.Event()
        #: Reads of the list in a row that were not answered.
        self.failures = 0
        client.eras.on_rise.append(self.restore)

    async def join(self) -> None:
        """Writes this instance's entry; asks until the store took it."""
        self.is_copy_due.set()
        await self._write(MEMBERS_TOPIC, self.members.own.name)

    def restore(self) -> None:
        """Writes again soon what a store that came back older may have lost."""
        self.is_copy_due.set()

    async def keep_copy(self) -> None:
        """Writes the copy of this instance's entry each time that it joins.

        It stands beside the key pair, which is there before it.
        """
        while True:
            await self.is_copy_due.wait()
            self.is_copy_due.clear()
            if self.keys is not None and self.client.eras.era:
                await self._restore_keys(self.keys)
            await self._write(KEYS_TOPIC, COPY_PREFIX + self.members.own.name)

    async def follow(self) -> None:
        """Joins, then follows the list until cancelled.

        Says hello at once to those who were known before the list is read.
        """
        end: int | None = None
        greeted = {member.name for member in self.members.others()}
        self._greet(greeted)
        await self.join()
        while True:
            if end is None:
                batch = await self.client.newest(MEMBERS_TOPIC)
            else:
                batch = await self.client.read(MEMBERS_TOPIC, end, WAIT_MS)
            if isinstance(batch, result.Err):
                end = None
                self.failures += 1
                await asyncio.sleep(
                    pacing.retry_pause(
                        self.failures, is_told_otherwise=self.lease.is_heard
                    )
                )
                continue
            self.failures = 0
            end = batch.ok_value.end
            was_listed = self._take(batch.ok_value)
            if not was_listed:
                await self.join()
            if not self.is_read:
                self.is_read = True
                loguru.logger.info(
                    'list of members read: {}, {} known before',
                    len(self.members.members),
                    len(greeted) + 1,
                )
                named = {member.name for member in self.members.others()}
                self._greet(named - greeted)
            pause = pacing.member_pause(len(self.members.members))
            if pause and batch.ok_value.records:
                await asyncio.sleep(pause)

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
                    copy = COPY_PREFIX + member.name
                    await self.client.append(KEYS_TOPIC, copy, b'')
                    await self.client.append(MEMBERS_TOPIC, member.name, b'')

    async def _restore_keys(self, keys: messages.PeerKeys) -> None:
        """Writes the key pair again if the store holds none."""
        while True:
            newest = await self.client.newest(KEYS_TOPIC)
            if isinstance(newest, result.Ok):
                found = _keys_in(newest.ok_value)
                if found is not None:
                    break
                loguru.logger.warning('key pair of the fleet written again')
                await self.client.append(
                    KEYS_TOPIC,
                    KEYS_KEY,
                    codec.encode_packed(keys),
                    stored.Condition(end=newest.ok_value.end),
                )
                continue
            await asyncio.sleep(RETRY_SECONDS)
        if found != keys:
            loguru.logger.error(
                'key pair in the store is not that of this instance: instances '
                'started since the store came back older cannot be reached'
            )

    def _greet(self, names: set[str]) -> None:
        hello = self.members.hello(is_leaving=False)
        for name in sorted(names):
            self.members.send(name, hello)

    async def _write(self, topic: str, key: str) -> None:
        """Writes this instance's entry; asks until the store took it."""
        own = self.members.own
        entry: messages.Member = {
            'boot': own.boot,
            'address': own.address,
            'failure_domain': own.failure_domain,
            'processor': own.processor,
            'link_mbps': own.link_mbps,
        }
        payload = codec.encode_packed(entry)
        while True:
            appended = await self.client.append(topic, key, payload)
            if isinstance(appended, result.Ok):
                return
            await asyncio.sleep(RETRY_SECONDS)

    def _take(self, batch: stored.Batch) -> bool:
        """Takes in entries; returns False if this instance lost its own."""
        own = self.members.own.name
        for record in batch.records:
            if record.key != own:
                self._take_record(record)
        is_new_era = stored.era_of(batch.end) > stored.era_of(self.end)
        if batch.is_whole:
            self._drop_unnamed(
                {record.key for record in batch.records},
                HEARD_SECONDS if is_new_era else 0,
            )
        self.end = batch.end
        own_records = [record for record in batch.records if record.key == own]
        if not own_records:
            return not batch.is_whole
        payload = own_records[-1].payload
        if payload is None or not is_new_era:
            return payload is not None
        # The entry of the process before this one may have been restored.
        member = _member(own, payload)
        return member is not None and member.boot == self.members.own.boot

    def _take_record(self, record: stored.Record) -> None:
        if record.payload is None:
            self.members.drop(record.key)
            return
        member = _member(record.key, record.payload)
        if member is None:
            if record.key not in self.unreadable:
                loguru.logger.warning('member {} unreadable', record.key)
            self.unreadable.add(record.key)
            return
        self.members.take(member._replace(offset=record.offset))

    def _drop_unnamed(self, named: set[str], heard_seconds: float) -> None:
        """Drops who is not listed and was not heard for `heard_seconds`.

        One that was heard stays as if only its message were known.
        """
        for member in self.members.others():
            is_listed = member.offset >= 0 or member.is_copied
            if member.name in named or not is_listed:
                continue
            if self.members.silence_of(member.name) < heard_seconds:
                self.members.unlist(member.name)
            else:
                self.members.drop(member.name)


def _member(name: str, payload: bytes) -> fleet.Member | None:
    """Returns the instance that an entry describes, if it can be read."""
    entry = codec.decode_packed(payload, messages.Member)
    if isinstance(entry, result.Err):
        return None
    return fleet.Member(
        name=name,
        boot=entry.ok_value['boot'],
        address=entry.ok_value['address'],
        failure_domain=entry.ok_value['failure_domain'],
        processor=entry.ok_value.get('processor', 1),
        link_mbps=entry.ok_value.get('link_mbps', site.USUAL_LINK_MBPS),
    )


def _copies_in(batch: stored.Batch) -> tuple[fleet.Member, ...]:
    """Returns the instances of which copies can be read."""
    found: list[fleet.Member] = []
    for record in batch.records:
        name = record.key.removeprefix(COPY_PREFIX)
        if name == record.key or record.payload is None:
            continue
        member = _member(name, record.payload)
        if member is None:
            loguru.logger.warning('copy of member {} unreadable', name)
            continue
        found.append(member._replace(is_copied=True))
    return tuple(found)


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
