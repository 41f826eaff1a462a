"""What the store keeps of requests that crash targets."""

import asyncio
import typing
import unittest
from unittest import mock

from bilberryglade._codec import codec
from bilberryglade._delivery import crash_evidence, crash_storage
from bilberryglade._membership import enrolment
from bilberryglade.platform.tests import servers
from bilberryglade_schema import fleet as messages

DIGEST: typing.Final = '0123456789abcdef'
OTHER: typing.Final = 'fedcba9876543210'
BLAMED: typing.Final = crash_evidence.Suspicion(
    frozenset(('t/1', 't/2', 't/3')), is_blamed=True
)
#: Seconds until what was asked of the store stands there.
WRITTEN_SECONDS: typing.Final = 5.0


class StorageTests(unittest.IsolatedAsyncioTestCase):
    """An instance that knows of one such request."""

    async def asyncSetUp(self) -> None:
        """Starts the store and the writing."""
        self.store = await servers.start_store()
        self.addAsyncCleanup(self.store.stop)
        # Also makes the key pair.
        await enrolment.read_fleet(self.store.client)
        self.known: dict[str, crash_evidence.Suspicion] = {DIGEST: BLAMED}
        self.read: list[crash_storage.Suspicions] = []
        self.storage = crash_storage.CrashStorage(
            self.store.client, enrolment.KEYS_TOPIC
        )
        self.storage.to_store = self.known.get
        self.storage.on_read = self.read.append
        writing = asyncio.create_task(self.storage.run())
        self.addCleanup(writing.cancel)

    async def until_stored(
        self, expected: dict[str, crash_evidence.Suspicion]
    ) -> None:
        """Waits until a process that starts reads this."""
        async with asyncio.timeout(WRITTEN_SECONDS):
            while True:
                fleet = await enrolment.read_fleet(self.store.client)
                if crash_storage.suspicions_in(fleet.records) == expected:
                    return
                await asyncio.sleep(0.02)

    async def test_evidence_is_read_by_whoever_starts(self) -> None:
        """Guards against evidence that dies with its instances (review/5)."""
        self.storage.write(DIGEST)
        await self.until_stored({DIGEST: BLAMED})
        self.known.clear()
        self.storage.write(DIGEST)
        await self.until_stored({})

    async def test_evidence_is_written_once_the_store_is_back(self) -> None:
        """A partition that is down delays it."""
        topics = self.store.service.faults.refused_topics
        with mock.patch.object(crash_storage, 'RETRY_SECONDS', 0.02):
            topics.add(f'keyed.{enrolment.KEYS_TOPIC}')
            self.storage.write(DIGEST)
            await asyncio.sleep(0.1)
            topics.clear()
            await self.until_stored({DIGEST: BLAMED})

    async def test_what_others_have_written_is_read_first(self) -> None:
        """They may be out of reach; odd records are left out."""
        evidence: messages.CrashEvidence = {
            'targets': ['u/1'],
            'is_blamed': False,
        }
        rows = (
            (OTHER, codec.encode_packed(evidence)),
            (OTHER[1:], codec.encode_packed(evidence)),
            (DIGEST, b'\xc1'),
        )
        for fingerprint, payload in rows:
            await self.store.client.append(
                enrolment.KEYS_TOPIC,
                crash_storage.PREFIX + fingerprint,
                payload,
            )
        self.storage.write(DIGEST)
        suspicion = crash_evidence.Suspicion(
            frozenset(('u/1',)), is_blamed=False
        )
        await self.until_stored({OTHER: suspicion, DIGEST: BLAMED})
        self.assertEqual(self.read, [{OTHER: suspicion}])
