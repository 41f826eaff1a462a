"""Keeps in the store which requests crash targets.

The evidence stands beside the key pair of the fleet, which each process reads
before anything of it runs: a process never takes a request for harmless because
those that knew it are gone. A request is stored from its second crash on; most
that ran beside one crash never come again.
"""

import asyncio
import re
import typing
from collections import abc

import loguru
import result

from bilberryglade._codec import codec
from bilberryglade._delivery import crash_evidence
from bilberryglade._values import stored
from bilberryglade.platform import store
from bilberryglade_schema import fleet as messages

#: Begins the keys of the evidence.
PREFIX: typing.Final = 'crash/'
DIGEST: typing.Final = re.compile('[0-9a-f]{16}$')
RETRY_SECONDS: typing.Final = 0.4


#: What is stored of requests, by fingerprint.
Suspicions: typing.TypeAlias = abc.Mapping[str, crash_evidence.Suspicion]


class CrashStorage:
    """Writes evidence until the store has taken it.

    What others have written is read first: they may be out of reach.
    """

    def __init__(self, client: store.StoreClient, topic: str) -> None:
        """Has nothing to write; `topic` is read at the start of a process."""
        self.client = client
        self.topic = topic
        #: Fingerprints of which the evidence has changed.
        self.due: set[str] = set()
        self.is_due = asyncio.Event()
        #: Called with what others have written.
        self.on_read: abc.Callable[[Suspicions], None] = lambda _: None
        #: Returns what is to be written of a request; None drops it.
        self.to_store: abc.Callable[[str], crash_evidence.Suspicion | None] = (
            lambda _: None
        )

    def write(self, fingerprint: str) -> None:
        """Writes the evidence of a request soon, or drops it."""
        self.due.add(fingerprint)
        self.is_due.set()

    async def run(self) -> None:
        """Writes until cancelled."""
        while True:
            await self.is_due.wait()
            self.is_due.clear()
            while self.due:
                if not await self._write_due():
                    await asyncio.sleep(RETRY_SECONDS)

    async def _write_due(self) -> bool:
        """Writes what is due; returns whether the store took all of it."""
        newest = await self.client.newest(self.topic)
        if isinstance(newest, result.Err):
            return False
        self.on_read(suspicions_in(newest.ok_value.records))
        for fingerprint in sorted(self.due):
            self.due.discard(fingerprint)
            appended = await self.client.append(
                self.topic,
                PREFIX + fingerprint,
                _payload(self.to_store(fingerprint)),
            )
            if isinstance(appended, result.Err):
                self.due.add(fingerprint)
                return False
        return True


def suspicions_in(records: abc.Iterable[stored.Record]) -> Suspicions:
    """Returns what records tell of requests, oldest first."""
    found: dict[str, crash_evidence.Suspicion] = {}
    for record in sorted(records, key=lambda one: one.offset):
        fingerprint = record.key.removeprefix(PREFIX)
        if fingerprint == record.key or record.payload is None:
            continue
        decoded = codec.decode_packed(record.payload, messages.CrashEvidence)
        if isinstance(decoded, result.Err) or not DIGEST.match(fingerprint):
            loguru.logger.warning('crashes by {!r} unreadable', fingerprint)
            continue
        found[fingerprint] = crash_evidence.Suspicion(
            frozenset(decoded.ok_value['targets']),
            decoded.ok_value['is_blamed'],
        )
    return found


def _payload(suspicion: crash_evidence.Suspicion | None) -> bytes:
    if suspicion is None:
        return b''
    evidence: messages.CrashEvidence = {
        'targets': sorted(suspicion.targets),
        'is_blamed': suspicion.is_blamed,
    }
    return codec.encode_packed(evidence)
