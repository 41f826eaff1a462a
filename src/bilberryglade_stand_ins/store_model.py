"""A store in memory that keeps the rules of the platform's published log.

It can come back from an older copy of itself, as in a drill: its era rises then.
"""

import base64
import struct
import time
import typing
from collections import abc

LENGTH: typing.Final = struct.Struct('>I')
HEAD: typing.Final = struct.Struct('>QQ')
#: Appends of one writer whose answers are remembered.
REMEMBERED: typing.Final = 5
PAGE_ITEMS: typing.Final = 500
OK: typing.Final = 200
FORBIDDEN: typing.Final = 403
CONFLICT: typing.Final = 409
GONE: typing.Final = 410
UNMET: typing.Final = 412
#: Header of all answers; it names how often the store has come back older.
ERA_HEADER: typing.Final = 'store-era'
RESERVED: typing.Final = frozenset(('keyed.op', 'keyed.servers'))

Answer: typing.TypeAlias = tuple[int, dict[str, typing.Any]]


class Writer(typing.NamedTuple):
    """What a partition remembers of a named writer."""

    epoch: int
    #: Number of the last append, None before the first of an epoch.
    sequence: int | None
    #: Answers to the last appends by number.
    answers: dict[int, Answer]


class Partition:
    """One partition of a topic."""

    def __init__(self, now: abc.Callable[[], float] = time.monotonic) -> None:
        """Starts empty; `now` returns seconds."""
        self.now = now
        self.records: list[bytes] = []
        #: Seconds at which each record was appended.
        self.times: list[float] = []
        #: Offset of the oldest record that is kept.
        self.first = 0
        self.writers: dict[str, Writer] = {}
        #: What was remembered of writers, and since when, oldest first.
        self.earlier_writers: list[tuple[float, str, Writer]] = []

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, query: dict[str, str], body: bytes) -> Answer:
        """Appends the records in `body` if the query's conditions hold."""
        at = query.get('at')
        if at is not None and int(at) != self.end:
            return UNMET, {'end': self.end}
        name = query.get('producer')
        if name is None:
            return self._put(body)
        return self._append_as(name, query, body)

    def read(self, start: int) -> bytes | None:
        """Returns the records from `start`, or None if they have expired."""
        if not self.first <= start <= self.end:
            return None
        kept = self.records[start - self.first :]
        return HEAD.pack(self.end, self.first) + b''.join(
            LENGTH.pack(len(record)) + record for record in kept
        )

    def newest(self, after: str) -> dict[str, typing.Any]:
        """Returns a page of the newest record of each key."""
        found: dict[str, dict[str, typing.Any]] = {}
        for place, record in enumerate(self.records):
            size = 1 + record[0]
            key = record[1:size].decode()
            found.pop(key, None)
            if record[size:]:
                found[key] = {
                    'key': key,
                    'value': base64.b64encode(record[size:]).decode(),
                    'offset': self.first + place,
                }
        names = sorted(name for name in found if name > after)
        return {
            'items': [found[name] for name in names[:PAGE_ITEMS]],
            'has_more': len(names) > PAGE_ITEMS,
            'end': self.end,
        }

    def compact(self) -> None:
        """Forgets the history but the newest record of each key."""
        page = self.newest('')
        kept = {entry['offset'] for entry in page['items']}
        first = min(kept, default=self.end)
        self.records = self.records[first - self.first :]
        self.times = self.times[first - self.first :]
        self.first = first

    def go_back(self, to: float) -> None:
        """Loses what was appended, and learnt of writers, after `to` seconds."""
        kept = sum(appended_at <= to for appended_at in self.times)
        del self.records[kept:]  # noqa: WPS420
        del self.times[kept:]  # noqa: WPS420
        self.earlier_writers = [
            known for known in self.earlier_writers if known[0] <= to
        ]
        self.writers = {name: known for _, name, known in self.earlier_writers}

    def _append_as(
        self,
        name: str,
        query: dict[str, str],
        body: bytes,
    ) -> Answer:
        epoch, sequence = int(query['epoch']), int(query['seq'])
        known = self.writers.get(name, Writer(epoch, None, {}))
        if epoch < known.epoch:
            return CONFLICT, {'why': 'fenced'}
        if epoch > known.epoch:
            known = Writer(epoch, None, {})
        if not body:
            self._remember(name, known)
            return OK, {'offset': self.end, 'end': self.end}
        repeated = known.answers.get(sequence)
        if repeated is not None:
            return repeated
        if known.sequence is not None and sequence != known.sequence + 1:
            return CONFLICT, {'why': 'seq', 'seq': known.sequence + 1}
        answer = self._put(body)
        answers = {
            number: earlier
            for number, earlier in known.answers.items()
            if number > sequence - REMEMBERED
        }
        answers[sequence] = answer
        self._remember(name, Writer(epoch, sequence, answers))
        return answer

    def _remember(self, name: str, writer: Writer) -> None:
        self.writers[name] = writer
        self.earlier_writers.append((self.now(), name, writer))

    def _put(self, body: bytes) -> Answer:
        offset = self.end
        place = 0
        while place < len(body):
            size = LENGTH.unpack_from(body, place)[0]
            place += LENGTH.size
            self.records.append(body[place : place + size])
            self.times.append(self.now())
            place += size
        return OK, {'offset': offset, 'end': self.end}


class StoreModel:
    """All partitions."""

    def __init__(self, now: abc.Callable[[], float] = time.monotonic) -> None:
        """Starts without a topic; `now` returns seconds."""
        self.partitions: dict[tuple[str, int], Partition] = {}
        self.now = now
        #: How often the store has come back from an older copy.
        self.era = 0
        #: Whether answers name the era.
        self.names_era = False

    def partition(self, query: dict[str, str]) -> Partition:
        """Returns the partition that a query names; it exists on first use."""
        name = (query['topic'], int(query.get('part', '0')))
        return self.partitions.setdefault(name, Partition(self.now))

    def go_back(self, seconds: float) -> None:
        """Comes back from a copy that is `seconds` old, in the next era."""
        for partition in self.partitions.values():
            partition.go_back(self.now() - seconds)
        self.era += 1
        self.names_era = True

    def headers(self) -> dict[str, str]:
        """Returns the headers of every answer."""
        return {ERA_HEADER: str(self.era)} if self.names_era else {}

    def write(self, topic: str, key: str, payload: bytes) -> int:
        """Writes a keyed record as operators and targets do."""
        name = key.encode()
        record = bytes((len(name),)) + name + payload
        partition = self.partition({'topic': topic})
        answer = partition.append({}, LENGTH.pack(len(record)) + record)
        return int(answer[1]['offset'])
