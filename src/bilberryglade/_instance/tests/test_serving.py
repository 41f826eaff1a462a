"""Bounds of a server, over real sockets in this process."""

import asyncio
import unittest

from starlette import applications, requests, responses, routing

from bilberryglade._instance import serving
from bilberryglade_lab import processes

REQUEST = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
BOUNDS = serving.Bounds(
    header_bytes=1024,
    connections=4,
    arrival_seconds=0.3,
    stop_seconds=1,
)


class ServerTest(unittest.IsolatedAsyncioTestCase):
    """What a server takes, and how it ends."""

    async def asyncSetUp(self) -> None:
        """Serves an application whose answer takes a moment."""
        self.stopping = False
        route = routing.Route('/', self.answer)
        application = serving.closing(
            applications.Starlette(routes=[route]),
            lambda: self.stopping,
        )
        self.port = processes.free_ports(1)[0]
        address = f'127.0.0.1:{self.port}'
        self.server = serving.server_for(application, address, BOUNDS)
        self.serving = asyncio.create_task(self.server.serve())
        self.addCleanup(self.serving.cancel)
        while not self.server.started:
            await asyncio.sleep(0.01)

    async def answer(self, request: requests.Request) -> responses.Response:
        """Answers after a moment."""
        await asyncio.sleep(0.2)
        return responses.Response(b'done')

    async def send(self, *parts: bytes) -> bytes:
        """Sends parts, a moment apart; returns all until the end."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.02)
        try:
            return await asyncio.wait_for(reader.read(), 2)
        except ConnectionError:
            return b'reset'

    async def test_beyond_bounds(self) -> None:
        """Large headers, half requests and silence end the connection."""
        many = [b'x-%d: %s\r\n' % (number, b'a' * 100) for number in range(10)]
        cases = (
            ((b'GET / HTTP/1.1\r\n', *many), b' 431 '),
            ((b'GET / HTTP/1.1\r\nx: ', b'a' * 2000), b' 431 '),
            ((b'GET / HT',), b''),
            ((), b''),
            ((b'\x00\xff' * 100,), b' 400 '),
        )
        for parts, words in cases:
            with self.subTest(parts=parts[:1]):
                self.assertIn(words, await self.send(*parts))

    async def test_too_many_connections(self) -> None:
        """Beyond the bound a request is told to come later."""
        opened = [
            await asyncio.open_connection('127.0.0.1', self.port)
            for _ in range(BOUNDS.connections)
        ]
        for _, writer in opened:
            self.addCleanup(writer.close)
        await asyncio.sleep(0.05)
        self.assertIn(b' 503 ', await self.send(REQUEST))

    async def test_stop_waits_for_what_is_on_its_way(self) -> None:
        """Requests in flight and half arrived ones are answered."""
        in_flight = asyncio.create_task(self.send(REQUEST))
        half = asyncio.create_task(self.send(REQUEST[:10], REQUEST[10:]))
        await asyncio.sleep(0.01)
        self.stopping = True
        self.server.should_exit = True
        for answer in await asyncio.gather(in_flight, half):
            self.assertIn(b' 200 ', answer)
            self.assertIn(b'connection: close', answer)
        await asyncio.wait_for(self.serving, 2)
