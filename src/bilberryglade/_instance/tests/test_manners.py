"""Process manners over real processes: planned stop, garbage, silence."""

import asyncio
import collections
import json
import random
import sys
import unittest

import zmq
from aiosonic import exceptions
from zmq import asyncio as zmq_asyncio

from bilberryglade_lab import deployment, shapes

SHAPE = shapes.DeploymentShape(
    name='manners',
    failure_domains=('north',),
    instances=2,
    services=(
        shapes.ServiceShape(
            'ledger',
            targets=2,
            concurrency=4,
            work_seconds=0.02,
            cold_limit=4,
        ),
    ),
    rules=(
        'service ledger path /ledger key path 2 # asked for by operations\n'
        'allow minders to ledger rate 900/s burst 900 # asked for by accounts\n'
    ),
    organisations=('minders',),
)
GARBAGE_SIZES = (1, 10, 64, 4000, 200_000)
SEED = 7
HALF_REQUEST = b'POST /ledger/x HTTP/1.1\r\ncontent-length: 9\r\n\r\nx'
LARGE_HEADERS = b'GET / HTTP/1.1\r\nx: %s' % (b'a' * 70_000)


async def send_raw(port: int, raw: bytes) -> bytes:
    """Sends bytes over TCP; returns the beginning of what comes back."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    try:
        writer.write(raw)
        await writer.drain()
        return await asyncio.wait_for(reader.read(100), 1)
    except (TimeoutError, ConnectionError):
        return b''
    finally:
        writer.close()


class MannersTest(unittest.IsolatedAsyncioTestCase):
    """What an instance does with signals and with bad input."""

    async def asyncSetUp(self) -> None:
        """Starts two instances."""
        self.deployment = deployment.Deployment(SHAPE)
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        self.seen_unready = asyncio.Event()
        self.seen: collections.Counter[object] = collections.Counter()
        self.reasons: collections.Counter[str] = collections.Counter()

    async def call_while_ready(self, number: int) -> None:
        """Sends requests until the balancer has seen that it must not."""
        for step in range(10_000):
            if self.seen_unready.is_set():
                return
            try:
                status, _ = await self.deployment.call(
                    'entry-0',
                    'minders',
                    f'/ledger/child-{number}-{step}',
                )
            except (exceptions.AiosonicError, OSError) as error:
                self.seen[repr(error)] += 1
                continue
            self.seen[status] += 1

    async def watch_readiness(self) -> None:
        """Looks at the readiness as a balancer does."""
        while await self.ready_status('entry-0') == 200:
            await asyncio.sleep(0.05)
        self.seen_unready.set()

    async def ready_status(self, instance: str) -> int:
        """Returns the status of an instance's readiness."""
        port = self.deployment.instances[instance].admin_port
        response = await self.deployment.http.get(
            f'http://127.0.0.1:{port}/health/ready',
        )
        await response.content()
        return int(response.status_code)

    async def test_planned_stop_cuts_off_no_request(self) -> None:
        """Every request sent while ready gets its answer; the status is 0."""
        handle = self.deployment.running['entry-0'].handle
        callers = [
            asyncio.create_task(self.call_while_ready(number))
            for number in range(8)
        ]
        watch = asyncio.create_task(self.watch_readiness())
        await asyncio.sleep(0.5)
        handle.terminate()
        await asyncio.gather(watch, *callers)
        status = await asyncio.wait_for(handle.wait(), 10)
        self.assertEqual(status, 0)
        self.assertEqual(set(self.seen), {200}, self.seen)

    async def test_planned_stop_of_a_leader(self) -> None:
        """Requests through a peer are answered, or refused as not run.

        Status 502 would say that a request may have run without its answer.
        """
        handle = self.deployment.running['entry-0'].handle
        callers = [
            asyncio.create_task(self.call_through_peer(number))
            for number in range(8)
        ]
        await asyncio.sleep(0.5)
        handle.terminate()
        status = await asyncio.wait_for(handle.wait(), 10)
        await asyncio.sleep(1)
        self.seen_unready.set()
        await asyncio.gather(*callers)
        sys.stdout.write(
            f'through a peer: {dict(self.seen)} {dict(self.reasons)}\n',
        )
        self.assertEqual(status, 0)
        self.assertLessEqual(set(self.seen), {200, 503}, self.seen)

    async def call_through_peer(self, number: int) -> None:
        """Sends requests through the other instance until told to end."""
        step = 0
        while not self.seen_unready.is_set():
            step += 1
            status, body = await self.deployment.call(
                'entry-1',
                'minders',
                f'/ledger/child-{number}-{step}',
            )
            self.seen[status] += 1
            if status != 200:
                self.reasons[json.loads(body)['title']] += 1

    async def test_second_signal_ends_at_once(self) -> None:
        """The second signal does not wait for anything."""
        handle = self.deployment.running['entry-1'].handle
        handle.terminate()
        await asyncio.sleep(0.1)
        handle.terminate()
        status = await asyncio.wait_for(handle.wait(), 1)
        self.assertEqual(status, -15)

    async def test_garbage_ends_no_process(self) -> None:
        """Random bytes on each listener are refused or ignored."""
        place = self.deployment.instances['entry-0']
        peers = await self.peer_port()
        draw = random.Random(SEED)
        for port in (place.caller_port, place.admin_port, peers):
            for size in GARBAGE_SIZES:
                await send_raw(port, draw.randbytes(size))
        await self.knock_without_key(peers)
        await send_raw(place.caller_port, HALF_REQUEST)
        answer = await send_raw(place.caller_port, LARGE_HEADERS)
        self.assertIn(b' 431 ', answer)
        status, _ = await self.deployment.call(
            'entry-0', 'minders', '/ledger/child'
        )
        self.assertEqual(status, 200)
        process = self.deployment.running['entry-0']
        self.assertIsNone(process.handle.returncode)

    async def peer_port(self) -> int:
        """Returns the port of the first instance's peer listener."""
        place = self.deployment.instances['entry-0']
        rows = place.settings_path.read_text().splitlines()
        line = next(row for row in rows if ' peers: 127' in row)
        return int(line.rpartition(':')[2].strip("' "))

    async def knock_without_key(self, port: int) -> None:
        """Sends a message as a ZeroMQ peer that has no key."""
        context = zmq_asyncio.Context(io_threads=1)
        socket = context.socket(zmq.DEALER)
        socket.linger = 0
        socket.connect(f'tcp://127.0.0.1:{port}')
        await socket.send(b'garbage')
        await asyncio.sleep(0.2)
        context.destroy(0)
