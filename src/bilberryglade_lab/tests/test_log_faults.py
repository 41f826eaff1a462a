"""Starts while the log has forgotten records or is down, in real processes."""

import asyncio
import unittest

import msgspec
from aiosonic import exceptions

from bilberryglade._state.tests import test_folding
from bilberryglade_lab import deployment, shapes
from bilberryglade_schema import platform, settings

SHAPE = shapes.SMALL._replace(instances=2)
RETENTION_RECORDS = 40
OK_STATUS = 200
ANY_STATUS = frozenset(range(OK_STATUS, 600))
WAIT_SECONDS = 10


class LogFaultsTest(unittest.IsolatedAsyncioTestCase):
    """A small deployment whose log fails."""

    async def asyncSetUp(self) -> None:
        """Starts the deployment."""
        self.deployment = deployment.Deployment(SHAPE)
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()

    async def test_start_behind_the_retention(self) -> None:
        """An instance starts from a snapshot once the first records expired."""
        await self.set_log_faults(retention_records=RETENTION_RECORDS)
        await self.issue_keys(0, RETENTION_RECORDS)
        await self.wait_for_snapshot()
        await self.issue_keys(RETENTION_RECORDS, RETENTION_RECORDS + 10)
        oldest = (await self.read('control'))['oldest']
        self.assertGreater(oldest, RETENTION_RECORDS // 2)
        await self.deployment.start_instance(2)
        await self.wait_for_answer('entry-2', frozenset((OK_STATUS,)))

    async def test_start_while_the_log_is_down(self) -> None:
        """An instance answers callers with the state that its peers hold."""
        await self.list_instance('entry-0')
        await self.set_log_faults(outage=True)
        await self.deployment.start_instance(2)
        await self.wait_for_answer('entry-2', ANY_STATUS)

    async def set_log_faults(self, **faults: object) -> None:
        """Replaces the faults of the log service."""
        url = f'http://127.0.0.1:{self.deployment.log_port}/faults'
        await self.deployment.http.put(url, data=msgspec.json.encode(faults))

    async def issue_keys(self, first: int, last: int) -> None:
        """Appends records about API keys."""
        for number in range(first, last):
            record = test_folding.key_issued(f'more-{number}')
            await self.deployment.append(record)

    async def read(self, stream: str) -> platform.ReadAnswer:
        """Reads the first record that a stream keeps."""
        base = f'http://127.0.0.1:{self.deployment.log_port}/streams'
        answer = await self.deployment.http.get(
            f'{base}/{stream}/records?limit=1',
        )
        return msgspec.json.decode(
            await answer.content(),
            type=platform.ReadAnswer,
        )

    async def wait_for_snapshot(self) -> None:
        """Returns once the stream of snapshots has a record."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not (await self.read('snapshots'))['head']:
                await asyncio.sleep(0.1)

    async def list_instance(self, name: str) -> None:
        """Enters an instance into the platform's list."""
        place = self.deployment.instances[name]
        config = msgspec.yaml.decode(
            place.settings_path.read_bytes(),
            type=settings.InstanceSettings,
        )
        row: platform.ListedMember = {
            'name': name,
            'role': 'instance',
            'service': '',
            'failure_domain': place.failure_domain,
            'address': config['listen']['peers'],
            'concurrency': 0,
            'fenced': False,
            'state': 'live',
        }
        port = self.deployment.list_port
        await self.deployment.http.put(
            f'http://127.0.0.1:{port}/members/{name}',
            data=msgspec.json.encode(row),
        )

    async def wait_for_answer(
        self,
        instance: str,
        wanted: frozenset[int],
    ) -> None:
        """Returns once an instance has answered with a wanted status."""
        status = 0
        for _ in range(WAIT_SECONDS * 10):
            try:
                status, _ = await self.deployment.call(
                    instance,
                    'minders',
                    '/ledger/child-1',
                )
            except (exceptions.AiosonicError, exceptions.BaseTimeout, OSError):
                status = 0
            if status in wanted:
                return
            await asyncio.sleep(0.1)
        self.fail(f'{instance} answered {status} for {WAIT_SECONDS} s')
