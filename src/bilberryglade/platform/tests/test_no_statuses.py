"""Answers whose status is none, wherever an answer is read."""

import asyncio
import contextlib
import typing
import unittest

import result

from bilberryglade._delivery import messages
from bilberryglade._targets import sender
from bilberryglade._values import leases, outcomes, stored
from bilberryglade.platform import orders, store

#: Texts in the place of a status of a final answer.
NO_STATUSES: typing.Final = (
    b'000',
    b'0',
    b'099',
    b'100',
    b'101',
    b'600',
    b'999',
    b'1000',
    b'+200',
    b'0200',
    b'20',
    b'abc',
)
LAST_NUMBER: typing.Final = 1100
BODY: typing.Final = b'{"offset": 0, "end": 1}'
SECONDS: typing.Final = 0.5


class Server:
    """Answers each request on a connection with the next status given."""

    def __init__(self) -> None:
        """Answers 200 for ever."""
        self.statuses: list[bytes] = []
        self.requests = 0

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answers until the caller closes."""
        with contextlib.suppress(ConnectionError, EOFError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                self.requests += 1
                await _skip_body(head, reader)
                status = self.statuses.pop(0) if self.statuses else b'200'
                writer.write(
                    b'HTTP/1.1 %s X\r\nx-request-id: r\r\n'
                    b'x-instance-id: t\r\nx-not-executed: 1\r\n'
                    b'content-length: %d\r\n\r\n%s' % (status, len(BODY), BODY)
                )
                await writer.drain()
        writer.close()


class NoStatusTests(unittest.IsolatedAsyncioTestCase):
    """Guards against an answer made of what a server in trouble wrote."""

    async def asyncSetUp(self) -> None:
        """Starts the server."""
        self.server = Server()
        listening = await asyncio.start_server(
            self.server.serve, '127.0.0.1', 0
        )
        self.addCleanup(listening.close)
        port = listening.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self.http = sender.Sender(2, 1000)
        self.addAsyncCleanup(self.http.close)

    async def test_on_a_connection_in_use_again(self) -> None:
        """The first answer on it was sound."""
        for method in ('GET', 'POST'):
            for status in NO_STATUSES:
                with self.subTest(method=method, status=status):
                    self.server.statuses = [b'200', status]
                    call = sender.Call(
                        self.address, method, '/', {}, b'', SECONDS
                    )
                    first = await self.http.send(call, on_fresh=False)
                    second = await self.http.send(call, on_fresh=False)
                    self.assertIsInstance(first, outcomes.Answered)
                    self.assertEqual(
                        second, outcomes.Unknown(outcomes.Reason.answer_lost)
                    )

    async def test_to_orders_and_looks_at_a_target(self) -> None:
        """A target that gave one neither holds keys nor counts as reached."""
        target = leases.Holder('t', self.address)
        ordering = orders.Orders(self.http)
        lease = leases.Lease(0, 9, 1, 1.0)
        for status in NO_STATUSES:
            with self.subTest(status=status):
                self.server.statuses = [status]
                granted = await ordering.grant(target, lease)
                self.assertEqual(granted, result.Err(leases.Failure.unclear))
                self.server.statuses = [status]
                released = await ordering.release(target, lease, SECONDS)
                self.assertEqual(released, result.Err(leases.Failure.unclear))
                self.server.statuses = [status]
                self.assertFalse(await ordering.reach(target, '/health'))

    async def test_of_the_store(self) -> None:
        """An append that got one may have been carried out."""
        client = store.StoreClient(self.address, self.http)
        for status in NO_STATUSES:
            with self.subTest(status=status):
                self.server.statuses = [status]
                appended = await client.append('topic', 'key', b'value')
                self.assertEqual(appended, result.Err(stored.Failure.unclear))


class ForwardTests(unittest.TestCase):
    """Answers that another instance passes on."""

    def test_only_statuses_are_passed_on(self) -> None:
        """Guards against callers who get a status that is none."""
        answered = outcomes.Answered(200, (), b'')
        for status in range(-1, LAST_NUMBER):
            message = messages.answer_message('a', 'r', answered)
            message['status'] = status
            expected: outcomes.Outcome = answered._replace(status=status)
            if not 200 <= status <= 599:
                expected = outcomes.Unknown(outcomes.Reason.answer_lost)
            self.assertEqual(messages.outcome_from(message), expected)


async def _skip_body(head: bytes, reader: asyncio.StreamReader) -> None:
    """Reads the body that a head announces."""
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            await reader.readexactly(int(line.partition(b':')[2]))
