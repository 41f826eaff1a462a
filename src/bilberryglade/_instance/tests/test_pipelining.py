"""Requests that a caller sends before the answer to an earlier one."""

import asyncio
import contextlib
import typing
import unittest

from bilberryglade._instance import serving

BOUNDS: typing.Final = serving.Bounds(16_384, 100, 5.0, 1)
SECONDS: typing.Final = 5.0
#: Bytes of an answer that a slow reader leaves unread.
LARGE: typing.Final = 4_000_000
#: Answers that are asked for at once by a slow reader.
REQUESTS: typing.Final = 20


class PipeliningTests(unittest.IsolatedAsyncioTestCase):
    """A server whose application notes the requests that it is handed."""

    async def asyncSetUp(self) -> None:
        """Starts it."""
        self.begun: list[str] = []
        self.is_stopping = False
        self.answer_bytes = 2
        self.may_answer = asyncio.Event()
        application = serving.closing(self.serve, lambda: self.is_stopping)
        with contextlib.closing(await _unused_port()) as free:
            address = f'127.0.0.1:{free.sockets[0].getsockname()[1]}'
        self.server = serving.server_for(application, address, BOUNDS)
        task = asyncio.create_task(self.server.serve())
        self.addAsyncCleanup(asyncio.wait, (task,))
        self.addCleanup(setattr, self.server, 'should_exit', True)
        async with asyncio.timeout(SECONDS):
            while not self.server.started:
                await asyncio.sleep(0.01)
        host, _, port = address.rpartition(':')
        streams = await asyncio.open_connection(host, int(port), limit=1024)
        self.reader = streams[0]
        self.writer = streams[1]
        self.addCleanup(self.writer.close)

    async def serve(
        self,
        scope: serving.Scope,
        receive: serving.Receive,
        send: serving.Send,
    ) -> None:
        """Answers with the path, and as many bytes as were asked for."""
        self.begun.append(scope['path'])
        await self.may_answer.wait()
        body = scope['path'].encode().ljust(self.answer_bytes, b'.')
        length = (b'content-length', str(len(body)).encode())
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': [length]}
        )
        await send({'type': 'http.response.body', 'body': body})

    def ask(self, *paths: str) -> None:
        """Sends requests at once."""
        for path in paths:
            self.writer.write(
                f'GET {path} HTTP/1.1\r\nhost: h\r\n\r\n'.encode()
            )

    async def test_answers_come_in_the_order_of_the_requests(self) -> None:
        """Guards against an answer that its caller takes for another one."""
        self.ask('/a', '/b', '/c')
        self.may_answer.set()
        bodies = []
        async with asyncio.timeout(SECONDS):
            for _ in range(3):
                await self.reader.readuntil(b'\r\n\r\n')
                bodies.append(await self.reader.readexactly(2))
        self.assertEqual(bodies, [b'/a', b'/b', b'/c'])

    async def test_nothing_behind_a_closing_answer_is_passed_on(self) -> None:
        """Guards against work that its caller sends again as not read."""
        self.ask('/a', '/b', '/c')
        async with asyncio.timeout(SECONDS):
            while not self.begun:
                await asyncio.sleep(0.01)
        self.is_stopping = True
        self.may_answer.set()
        async with asyncio.timeout(SECONDS):
            head = await self.reader.readuntil(b'\r\n\r\n')
            rest = await self.reader.read()
        self.assertIn(b'connection: close', head.lower())
        self.assertEqual(rest, b'/a')
        self.assertEqual(self.begun, ['/a'])

    async def test_a_caller_that_does_not_read_holds_up_its_next_requests(
        self,
    ) -> None:
        """Guards against memory that grows with what a caller asks for."""
        self.answer_bytes = LARGE
        self.may_answer.set()
        self.ask(*(f'/{number}' for number in range(REQUESTS)))
        await asyncio.sleep(0.5)
        self.assertLess(len(self.begun), REQUESTS // 4)


async def _unused_port() -> asyncio.Server:
    async def ignore(*_: typing.Any) -> None:  # noqa: WPS430
        """Answers nobody."""

    return await asyncio.start_server(ignore, '127.0.0.1', 0)
