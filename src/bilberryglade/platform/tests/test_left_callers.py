"""Callers that leave: what they asked for ends, or is never sent."""

import asyncio
import socket
import typing
import unittest
from unittest import mock

from bilberryglade._delivery import router
from bilberryglade._instance import serving
from bilberryglade._routing import admission, catalogue
from bilberryglade.platform import front
from bilberryglade.platform.tests import deployment
from bilberryglade_lab import processes

REQUEST: typing.Final = (
    b'GET /look/x HTTP/1.1\r\nhost: host.example\r\nx-request-id: %s\r\n'
    b'x-request-deadline: 2000\r\nx-shard-key: 1\r\nx-credential: key-1\r\n\r\n'
)
UPLOAD: typing.Final = (
    b'POST /look/x HTTP/1.1\r\nhost: host.example\r\nx-request-id: up\r\n'
    b'content-length: 200000\r\n\r\n'
)
BOUNDS: typing.Final = serving.Bounds(
    header_bytes=4096, connections=20, arrival_seconds=5, stop_seconds=1
)
#: Seconds within which work ends for a caller that has left.
END_SECONDS: typing.Final = 0.5
PAUSE_SECONDS: typing.Final = 0.05


class WorkTests(unittest.IsolatedAsyncioTestCase):
    """A request at work, over a real connection."""

    async def asyncSetUp(self) -> None:
        """Serves requests whose work never ends by itself."""
        self.ended: list[str] = []
        self.begun = 0
        routing_core = mock.Mock(serve=self.work)
        routing_core.sender.is_unrepeatable_in_flight.return_value = False
        served = front.Front(routing_core, mock.Mock(), catalogue.CallerBounds)
        address = f'127.0.0.1:{processes.free_ports(1)[0]}'
        self.server = serving.server_for(
            front.application(served), address, BOUNDS
        )
        self.port = int(address.rpartition(':')[2])
        self.serving = asyncio.create_task(self.server.serve())
        self.addCleanup(self.serving.cancel)
        while not self.server.started:
            await asyncio.sleep(0.01)

    async def work(self, request: admission.Incoming) -> router.DeliveryResult:
        """Works until it is cancelled."""
        self.begun += 1
        try:
            await asyncio.sleep(3600)
        finally:
            self.ended.append(request.request_id)
        raise AssertionError

    async def test_work_ends_whatever_its_caller_sent_ahead(self) -> None:
        """It ends soon after its caller has left."""
        first = REQUEST % b'a'
        cases = (
            ('nothing', (first,)),
            ('a part of a head', (first, b'GET /')),
            ('empty lines', (first, b'\r\n\r\n')),
            ('a request in one piece with the first', (first * 2,)),
            ('a request', (first, REQUEST % b'b')),
            ('two requests', (first, REQUEST % b'b', REQUEST % b'c')),
            ('an upload', (first, UPLOAD + bytes(200_000))),
        )
        for name, parts in cases:
            with self.subTest(ahead=name):
                self.ended.clear()
                _, writer = await asyncio.open_connection(
                    '127.0.0.1', self.port
                )
                for part in parts:
                    writer.write(part)
                    await asyncio.sleep(PAUSE_SECONDS)
                writer.close()
                await asyncio.sleep(END_SECONDS)
                self.assertEqual(self.ended, ['a'])


class UnreadTests(unittest.IsolatedAsyncioTestCase):
    """A request and its caller's leaving that are read together."""

    async def asyncSetUp(self) -> None:
        """Starts an instance that keeps a connection to each target."""
        self.world = deployment.Deployment()
        await self.world.start(instances=1)
        for _ in range(3):
            await self.world.ask('/look/x', x_shard_key='1')
            await self.world.ask('/claims/x', method='POST')

    async def asyncTearDown(self) -> None:
        """Ends everything as planned."""
        await self.world.stop()

    def leave(self, raw: bytes) -> None:
        """Sends bytes and leaves, before the loop runs again."""
        place = (self.world.address(0), deployment.CALLERS_PORT)
        with socket.create_connection(place) as caller:
            caller.sendall(raw)

    async def test_request_of_a_caller_that_left_unread_is_not_sent(
        self,
    ) -> None:
        """No target gets it, whether it may run more than once or not."""
        claim = REQUEST.replace(b'GET /look/', b'POST /claims/')
        for raw in (REQUEST % b'gone', claim % b'gone'):
            with self.subTest(raw=raw[:12]):
                self.leave(raw)
                await asyncio.sleep(END_SECONDS)
                runs = [
                    run.request_id
                    for name in self.world.listed
                    for run in self.world.runs(name)
                ]
                self.assertNotIn('gone', runs)
