"""Outcomes over real processes."""

import asyncio
import time
import typing
import unittest

import msgspec

from bilberryglade_lab import deployment, shapes
from bilberryglade_schema import platform

POISONED: typing.Final = 'child-13'
PATIENCE_SECONDS: typing.Final = 20.0


class OutcomesTest(unittest.IsolatedAsyncioTestCase):
    """Requests that may not be repeated, and one that crashes targets."""

    async def asyncSetUp(self) -> None:
        """Starts the small deployment."""
        self.deployment = deployment.Deployment(shapes.SMALL)
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()

    async def test_claims_run_once_whatever_the_entry(self) -> None:
        """Each claim that was sent ran once, forwarded or not."""
        bodies = [f'claim-{number}'.encode() for number in range(24)]
        names = list(self.deployment.instances)
        for number, body in enumerate(bodies):
            answer = await self.deployment.call(
                names[number % len(names)],
                'minders',
                '/claims',
                'POST',
                body,
            )
            self.assertEqual(answer, (200, body))
        ran = [entry for entry in await self._journal() if _is_claim(entry)]
        self.assertEqual(len(ran), len(bodies))

    async def test_poisoned_request_is_quarantined(self) -> None:
        """A request that crashes its target again and again is refused."""
        faults = msgspec.json.encode({'poison_keys': [POISONED]})
        for place in self.deployment.targets.values():
            await self.deployment.http.put(
                f'http://127.0.0.1:{place.port}/-/faults',
                data=faults,
            )
        await self._until_quarantined()
        crashed = [
            entry
            for entry in await self._journal()
            if entry['state'] == 'crashed'
        ]
        self.assertLessEqual(len(crashed), 4)
        self.assertEqual({entry['key'] for entry in crashed}, {POISONED})

    async def _until_quarantined(self) -> None:
        deadline = time.monotonic() + PATIENCE_SECONDS
        while time.monotonic() < deadline:
            status, body = await self.deployment.call(
                'entry-0',
                'minders',
                f'/ledger/{POISONED}',
            )
            if b'quarantined' in body:
                self.assertEqual(status, 422)
                self.assertIn(b'not-run', body)
                return
            await asyncio.sleep(0.3)
        self.fail('the request is not in quarantine')

    async def _journal(self) -> list[platform.JournalEntry]:
        journals = [
            await self.deployment.journal(target)
            for target in self.deployment.targets
        ]
        return [entry for journal in journals for entry in journal]


def _is_claim(entry: platform.JournalEntry) -> bool:
    return entry['service'] == 'claims' and entry['state'] != 'refused'
