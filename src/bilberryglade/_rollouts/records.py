"""Writes how far rollouts are into the store, and reads it for a new term.

All writes of a term carry its epoch, so that a coordinator that has lost its
lease without knowing changes nothing any more. A write that may or may not have
been carried out is repeated under its number until the store says so.
"""

import asyncio
import typing

import loguru
import result

from bilberryglade._codec import codec
from bilberryglade._membership import candidacy
from bilberryglade._values import stored
from bilberryglade.platform import store
from bilberryglade_schema import fleet as messages

#: Topic of the system's own records, and that of what operators are told.
STATE_TOPIC: typing.Final = 'rollout'
STATUS_TOPIC: typing.Final = 'status'
WRITER: typing.Final = 'rollouts'
RETRY_SECONDS: typing.Final = 0.3
IDLE_SECONDS: typing.Final = 0.05


class Write(typing.NamedTuple):
    """What is to stand under a key of a topic."""

    topic: str
    key: str
    payload: bytes


class Records:
    """The records of rollouts, of which only the newest of each key counts."""

    def __init__(
        self, lease: candidacy.Candidacy, client: store.StoreClient
    ) -> None:
        """Has written nothing."""
        self.lease = lease
        self.client = client
        #: Epoch of the term's writes; -1 until it is taken over.
        self.epoch = -1
        #: Number of the last write in each topic.
        self.sequences: dict[str, int] = {}
        #: What is to be written, in the order in which it came due.
        self.due: dict[tuple[str, str], bytes] = {}
        #: What the store took in this term.
        self.written: dict[tuple[str, str], bytes] = {}
        #: Write whose answer was lost, if any.
        self.unclear: Write | None = None
        #: Whether the store refused the term's epoch.
        self.is_lost = False
        #: Writes that the store did not take, repeats included.
        self.failures = 0

    async def take_over(
        self,
    ) -> result.Result[dict[str, messages.RolloutStage], stored.Failure]:
        """Fences off earlier writers and returns what they wrote, by service."""
        epoch = self.lease.state.newest + 1
        if epoch <= self.epoch:
            return result.Err(stored.Failure.conflict)
        for topic in (STATE_TOPIC, STATUS_TOPIC):
            fenced = await self.client.fence(topic, WRITER, epoch)
            if isinstance(fenced, result.Err):
                return fenced
        newest = await self.client.newest(STATE_TOPIC)
        if isinstance(newest, result.Err):
            return newest
        self.epoch = epoch
        self.is_lost = False
        self.sequences = {}
        self.unclear = None
        self.due.clear()
        self.written.clear()
        return result.Ok(_stages_in(newest.ok_value.records))

    def put(self, write: Write) -> None:
        """Has something written, unless it stands there already."""
        place = (write.topic, write.key)
        if self.written.get(place) != write.payload or place in self.due:
            self.due[place] = write.payload

    def is_written(self, write: Write) -> bool:
        """Tells whether the store holds something as this term's newest."""
        return self.written.get((write.topic, write.key)) == write.payload

    def stop(self) -> None:
        """Drops what is due: another instance writes now."""
        self.due.clear()
        self.unclear = None

    async def run(self) -> None:
        """Writes what comes due until cancelled."""
        while True:
            if not self.lease.holds or self.epoch < 0 or not self._has_due():
                await asyncio.sleep(IDLE_SECONDS)
            elif not await self.write_next():
                await asyncio.sleep(RETRY_SECONDS)

    async def write_next(self) -> bool:
        """Writes what is due first; returns whether the store took it."""
        write = self.unclear
        if write is None:
            (topic, key), payload = next(iter(self.due.items()))
            write = Write(topic, key, payload)
            self.sequences[topic] = self.sequences.get(topic, 0) + 1
            self.unclear = write
        place = (write.topic, write.key)
        epoch = self.epoch
        appended = await self.client.append(
            *write,
            stored.Condition(
                writer=WRITER,
                epoch=epoch,
                sequence=self.sequences[write.topic],
            ),
        )
        if epoch != self.epoch:
            return True
        if isinstance(appended, result.Err):
            self._note_failure(write, appended.err_value)
            return False
        self.unclear = None
        self.written[place] = write.payload
        if self.due.get(place) == write.payload:
            self.due.pop(place)
        return True

    def _has_due(self) -> bool:
        return bool(self.due) or self.unclear is not None

    def _note_failure(self, write: Write, failure: stored.Failure) -> None:
        self.failures += 1
        loguru.logger.warning(
            'record {} of {} not written: {}', write.key, write.topic, failure
        )
        if failure is stored.Failure.conflict:
            # Another writer has taken over, or an earlier life of this one.
            self.unclear = None
            self.is_lost = True


def _stages_in(
    records: tuple[stored.Record, ...],
) -> dict[str, messages.RolloutStage]:
    found: dict[str, messages.RolloutStage] = {}
    for record in records:
        if record.payload is None:
            continue
        stage = codec.decode_packed(record.payload, messages.RolloutStage)
        if isinstance(stage, result.Err):
            loguru.logger.error(
                'rollout of {} at offset {} is unreadable: {}',
                record.key,
                record.offset,
                stage.err_value.detail,
            )
            continue
        found[record.key] = stage.ok_value
    return found
