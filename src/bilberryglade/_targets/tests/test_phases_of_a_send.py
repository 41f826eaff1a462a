"""Not run means that no byte went out, in whatever phase a send ends."""

import asyncio
import contextlib
import itertools
import socket
import struct
import typing
import unittest

from bilberryglade._targets import sender
from bilberryglade._targets.tests import raw_target
from bilberryglade._values import outcomes

UNREACHABLE: typing.Final = outcomes.NotRun(outcomes.Reason.target_unreachable)
LOST: typing.Final = outcomes.Unknown(outcomes.Reason.answer_lost)
LATE: typing.Final = outcomes.Unknown(outcomes.Reason.deadline)
#: Longer than the buffers of both sockets.
LONG_BODY: typing.Final = b'x' * 20_000_000
RESET: typing.Final = struct.pack('ii', 1, 0)
#: Connections that wait to be accepted fill the queue of a listener.
QUEUED: typing.Final = 8

Serve: typing.TypeAlias = typing.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    typing.Awaitable[None],
]


class PhaseCase(unittest.IsolatedAsyncioTestCase):
    """Sends calls that the library would send again if it were let."""

    async def start(self, serve: Serve) -> None:
        """Starts a target whose connections are served by `serve`."""
        self.connections = 0
        self.is_served = asyncio.Event()

        async def accept(  # noqa: WPS430
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            self.connections += 1
            with contextlib.suppress(EOFError, OSError):
                await serve(reader, writer)
            self.is_served.set()
            writer.close()

        self.server = await asyncio.start_server(accept, '127.0.0.1', 0)
        self.addCleanup(self.server.close)
        self.send_to(self.server.sockets[0].getsockname()[1])

    def send_to(self, port: int) -> None:
        """Sends to a port from now on."""
        self.address = f'127.0.0.1:{port}'
        self.http = sender.Sender(2, 1000)
        self.addAsyncCleanup(self.http.close)

    async def send(
        self,
        *,
        on_fresh: bool = False,
        body: bytes = b'body',
        seconds: float = 1,
    ) -> outcomes.Outcome:
        """Sends a call."""
        call = sender.Call(self.address, 'PUT', '/a', {}, body, seconds)
        return await self.http.send(call, on_fresh=on_fresh)


class BeforeTheFirstByteTests(PhaseCase):
    """Phases in which nothing was sent."""

    async def test_refused(self) -> None:
        """Nobody listens."""
        with socket.socket() as free:
            free.bind(('127.0.0.1', 0))
            self.send_to(free.getsockname()[1])
        for on_fresh in (False, True):
            with self.subTest(on_fresh=on_fresh):
                given = await self.send(on_fresh=on_fresh)
                self.assertEqual(given, UNREACHABLE)

    async def test_connection_that_is_not_made_in_time(self) -> None:
        """The listener's queue is full, so that the connection hangs."""
        with socket.socket() as listener, contextlib.ExitStack() as stack:
            listener.bind(('127.0.0.1', 0))
            listener.listen(0)
            for _ in range(QUEUED):
                waiting = stack.enter_context(socket.socket())
                waiting.setblocking(False)
                waiting.connect_ex(listener.getsockname())
            self.send_to(listener.getsockname()[1])
            for on_fresh in (False, True):
                with self.subTest(on_fresh=on_fresh):
                    given = await self.send(on_fresh=on_fresh)
                    self.assertEqual(given, UNREACHABLE)

    async def test_cancelled_while_it_connects(self) -> None:
        """The task ends; there is no outcome that could be taken for one."""
        with socket.socket() as listener, contextlib.ExitStack() as stack:
            listener.bind(('127.0.0.1', 0))
            listener.listen(0)
            for _ in range(QUEUED):
                waiting = stack.enter_context(socket.socket())
                waiting.setblocking(False)
                waiting.connect_ex(listener.getsockname())
            self.send_to(listener.getsockname()[1])
            task = asyncio.create_task(self.send())
            await asyncio.sleep(0.05)
            task.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await task


class AfterTheFirstByteTests(PhaseCase):
    """Phases in which the target may have read something."""

    async def test_ends_by_the_target(self) -> None:
        """Nothing that it does after a byte makes the call not run."""
        cases: dict[str, tuple[Serve, outcomes.Outcome]] = {
            'closed unread': (_close, LOST),
            'reset unread': (_reset, LOST),
            'reset after the head': (_reset_after_head, LOST),
            'reset in the body': (_reset_in_body, LOST),
            'closed after the whole call': (_close_after_call, LOST),
            'half closed': (_half_close, LOST),
            'half an answer, then reset': (_reset_in_answer, LOST),
            'silent': (_fall_silent, LATE),
            'sent elsewhere': (_redirect, LOST),
        }
        ways = itertools.product(cases, (False, True), (b'body', LONG_BODY))
        for name, on_fresh, body in ways:
            with self.subTest(name=name, on_fresh=on_fresh, size=len(body)):
                serve, meant = cases[name]
                await self.start(serve)
                given = await self.send(
                    on_fresh=on_fresh, body=body, seconds=0.5
                )
                self.assertEqual(given, meant)
                self.assertEqual(self.connections, 1)

    async def test_kept_connection_breaks_under_a_call(self) -> None:
        """The call is not sent again, over whatever connection."""
        for second in (_close_after_call, _reset_after_head, _half_close):
            with self.subTest(second=second.__name__):
                await self.start(_after_an_answer(second))
                self.assertIsInstance(await self.send(), outcomes.Answered)
                self.assertEqual(await self.send(), LOST)
                self.assertEqual(self.connections, 1)

    async def test_target_is_gone_when_the_call_would_be_sent_again(
        self,
    ) -> None:
        """A refused second connection does not make the first call not run."""

        async def leave(  # noqa: WPS430
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await reader.readuntil(b'body')
            self.server.close()
            writer.close()

        await self.start(_after_an_answer(leave))
        self.assertIsInstance(await self.send(), outcomes.Answered)
        self.assertEqual(await self.send(), LOST)

    async def test_cancelled(self) -> None:
        """The task ends, and its connection with it, in any phase."""
        ways = itertools.product((False, True), (b'', b'body', LONG_BODY))
        for on_fresh, body in ways:
            with self.subTest(size=len(body), on_fresh=on_fresh):
                await self.start(_read_to_the_end)
                task = asyncio.create_task(
                    self.send(on_fresh=on_fresh, body=body)
                )
                await asyncio.sleep(0.05)
                task.cancel()
                with self.assertRaises(asyncio.CancelledError):
                    await task
                async with asyncio.timeout(2):
                    await self.is_served.wait()
                self.assertEqual(self.connections, 1)


class IdleTests(PhaseCase):
    """A kept connection that ends while no call is under way."""

    async def test_call_takes_a_new_connection(self) -> None:
        """It runs there, once."""
        for end in (_close, _reset, _half_close_at_once):
            with self.subTest(end=end.__name__):
                await self.start(_after_an_answer(end))
                self.assertIsInstance(await self.send(), outcomes.Answered)
                await asyncio.sleep(0.04)
                self.assertIsInstance(await self.send(), outcomes.Answered)
                self.assertEqual(self.connections, 2)


def _after_an_answer(then: Serve) -> Serve:
    """Returns what answers one call and then does `then`."""

    async def serve(  # noqa: WPS430
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(b'body')
        writer.write(raw_target.whole(b'own'))
        await asyncio.sleep(0.02)
        await then(reader, writer)

    return serve


async def _close(
    _: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    writer.close()


async def _reset(
    _: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    raw = writer.get_extra_info('socket')
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.close()


async def _reset_after_head(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    await reader.readuntil(b'\r\n\r\n')
    await _reset(reader, writer)


async def _reset_in_body(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    await reader.readuntil(b'\r\n\r\n')
    await reader.read(2)
    await _reset(reader, writer)


async def _close_after_call(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    await reader.readuntil(b'\r\n\r\n')
    await reader.read(100)
    writer.close()


async def _half_close(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    await reader.readuntil(b'\r\n\r\n')
    writer.write_eof()
    await reader.read()


async def _half_close_at_once(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    writer.write_eof()
    await reader.read()


async def _reset_in_answer(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    await reader.readuntil(b'\r\n\r\n')
    writer.write(raw_target.whole(b'own')[:-1])
    await _reset(reader, writer)


async def _redirect(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    await reader.readuntil(b'\r\n\r\n')
    writer.write(b'HTTP/1.1 307 T\r\nlocation: /b\r\n\r\n')
    await reader.read()


async def _fall_silent(
    reader: asyncio.StreamReader,
    _: asyncio.StreamWriter,
) -> None:
    await reader.read()


async def _read_to_the_end(
    reader: asyncio.StreamReader,
    _: asyncio.StreamWriter,
) -> None:
    await reader.readexactly(2 * len(LONG_BODY))
