"""Outcomes over real processes."""

import asyncio
import contextlib
import time
import typing
import unittest

import msgspec
from aiosonic import exceptions

from bilberryglade_lab import deployment, shapes
from bilberryglade_schema import platform

POISONED: typing.Final = 'child-13'
PATIENCE_SECONDS: typing.Final = 20.0
NOT_YET: typing.Final = 503


class OutcomesTest(unittest.IsolatedAsyncioTestCase):
    """Requests that may not be repeated, and one that crashes targets."""

    async def asyncSetUp(self) -> None:
        """Starts the small deployment."""
        self.deployment = deployment.Deployment(shapes.SMALL)
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()

    async def test_claims_run_once_whatever_the_entry(self) -> None:
        """Repeats at the same moment, anywhere and later, share one run."""
        names = list(self.deployment.instances)
        for number in range(6):
            body = f'claim-{number}'.encode()
            calls = [self._claim(name, body) for name in names]
            told = [
                *await asyncio.gather(*calls),
                await self._claim(names[number % len(names)], body),
            ]
            self.assertEqual(set(told), {(200, body)})
        ran = [entry for entry in await self._journal() if _is_claim(entry)]
        self.assertEqual(len(ran), 6)

    async def test_repeat_after_the_leaders_are_gone(self) -> None:
        """Instances that replace all others do not run a claim again."""
        body = b'claim'
        names = list(self.deployment.instances)
        first = await self._claim(names[0], body)
        self.assertEqual(first, (200, body))
        processes = [self.deployment.running[name] for name in names]
        for process in processes:
            process.handle.kill()
        for number, lost in enumerate(processes):
            await lost.handle.wait()
            await self.deployment.start_instance(number)
        told = await self._until_tried(names[1], body)
        self.assertEqual(told[0], 409, told[1])
        self.assertIn(b'unknown', told[1])
        ran = [entry for entry in await self._journal() if _is_claim(entry)]
        self.assertEqual(len(ran), 1)

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

    async def _until_tried(
        self,
        instance: str,
        body: bytes,
    ) -> tuple[int, bytes]:
        """Repeats a claim until it is not refused for want of an owner."""
        deadline = time.monotonic() + PATIENCE_SECONDS
        told = (NOT_YET, b'')
        while told[0] == NOT_YET and time.monotonic() < deadline:
            await asyncio.sleep(0.2)
            with contextlib.suppress(exceptions.AiosonicError, OSError):
                told = await self._claim(instance, body)
        return told

    async def _claim(self, instance: str, body: bytes) -> tuple[int, bytes]:
        port = self.deployment.instances[instance].caller_port
        response = await self.deployment.http.post(
            f'http://127.0.0.1:{port}/claims',
            headers={
                'authorization': 'Bearer secret-of-minders',
                'idempotency-key': body.decode(),
            },
            data=body,
        )
        return response.status_code, await response.content()

    async def _journal(self) -> list[platform.JournalEntry]:
        journals = [
            await self.deployment.journal(target)
            for target in self.deployment.targets
        ]
        return [entry for journal in journals for entry in journal]


def _is_claim(entry: platform.JournalEntry) -> bool:
    return entry['service'] == 'claims' and entry['state'] != 'refused'
