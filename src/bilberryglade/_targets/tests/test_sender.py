"""Connections to targets end with what was sent over them."""

import asyncio
import contextlib
import typing
import unittest
from unittest import mock

from bilberryglade._targets import connections, sender
from bilberryglade._targets.tests import raw_target
from bilberryglade._values import clock, outcomes, request_progress

#: Bytes that a target may send before it is given up; buffers of sockets are
#: the larger part.
MOST_SENT: typing.Final = 20_000_000
LONG_BODY: typing.Final = b'content-length: 99999999999\r\n\r\n'


class ResetTests(unittest.IsolatedAsyncioTestCase):
    """What becomes of a call that is given up."""

    async def test_given_up_call_resets_its_connection(self) -> None:
        """The target sees a reset, so that nothing on the way is taken."""
        ended: asyncio.Future[str] = asyncio.get_running_loop().create_future()

        async def accept(  # noqa: WPS430
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            try:
                await reader.read()
            except ConnectionResetError:
                ended.set_result('reset')
            else:
                ended.set_result('closed')
            writer.close()

        server = await asyncio.start_server(accept, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        http = sender.Sender(2, 1000)
        call = sender.Call(
            f'127.0.0.1:{port}', 'POST', '/order', {}, b'', seconds=0.1
        )
        outcome = await http.send(call, on_fresh=False)
        self.assertEqual(outcome, outcomes.Unknown(outcomes.Reason.deadline))
        async with asyncio.timeout(2):
            self.assertEqual(await ended, 'reset')
        await http.close()
        server.close()


class UnsentCallTests(unittest.IsolatedAsyncioTestCase):
    """A call that ended before its first byte."""

    async def test_nothing_is_sent_after_not_run_was_concluded(self) -> None:
        """Whatever of the library goes on finds the exchange ended."""
        http = sender.Sender(2, 1000)
        self.addAsyncCleanup(http.close)
        exchanges: list[connections.Exchange] = []

        async def fail(*_: object, **named: object) -> None:  # noqa: WPS430
            exchange = connections.current.get()
            assert exchange is not None
            exchanges.append(exchange)
            raise ConnectionRefusedError

        call = sender.Call('127.0.0.1:1', 'POST', '/order', {}, b'', seconds=1)
        with mock.patch.object(http.kept, 'request', fail):
            outcome = await http.send(call, on_fresh=False)
        unreachable = outcomes.Reason.target_unreachable
        self.assertEqual(outcome, outcomes.NotRun(unreachable))
        with self.assertRaises(connections.LateError):
            exchanges[0].begin(object(), request_progress.UNKNOWN_CARRIER)


class LateCallTests(unittest.IsolatedAsyncioTestCase):
    """A process that stands still between the start of a call and its send."""

    async def test_nothing_is_sent_after_the_time_of_a_call(self) -> None:
        """Its timers do not see how long the process stood still."""
        target = raw_target.RawTarget(
            raw_target.answering(raw_target.whole(b''), ends=False)
        )
        address = await target.start()
        self.addAsyncCleanup(target.stop)
        http = sender.Sender(2, 1000)
        self.addAsyncCleanup(http.close)
        call = sender.Call(address, 'POST', '/order', {}, b'', seconds=0.5)
        began = clock.now()
        for on_fresh in (False, True):
            for later, sent in ((0.1, 1), (0.6, 0)):
                seen = len(target.seen)
                moments = (began, began + later)
                with (
                    self.subTest(on_fresh=on_fresh, later=later),
                    mock.patch.object(clock, 'now', side_effect=moments),
                ):
                    outcome = await http.send(call, on_fresh=on_fresh)
                    await asyncio.sleep(0.05)
                    self.assertEqual(len(target.seen) - seen, sent)
                    is_answered = isinstance(outcome, outcomes.Answered)
                    is_not_run = isinstance(outcome, outcomes.NotRun)
                    self.assertEqual(
                        (is_answered, is_not_run), (sent, not sent)
                    )


class LostCallTests(unittest.IsolatedAsyncioTestCase):
    """Calls that are lost on a kept connection."""

    async def test_no_connection_is_opened_for_a_lost_call(self) -> None:
        """It is not sent again, so that none is needed, nor waited for."""
        for method in ('GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'):
            with self.subTest(method=method):
                target = raw_target.RawTarget(_break_off_second)
                address = await target.start()
                http = sender.Sender(2, 1000)
                call = sender.Call(address, method, '/', {}, b'', seconds=1)
                whole = await http.send(call, on_fresh=False)
                self.assertIsInstance(whole, outcomes.Answered)
                lost = await http.send(call, on_fresh=False)
                self.assertIsInstance(lost, outcomes.Unknown)
                await asyncio.sleep(0)
                self.assertEqual(len(target.seen), 2)
                self.assertEqual(target.connections, 1)
                await http.close()
                await target.stop()


class CancellationTests(unittest.IsolatedAsyncioTestCase):
    """A call whose task is cancelled."""

    async def test_cancellation_that_the_library_swallows(self) -> None:
        """The task ends, and does not go on as if nothing had been said."""
        began = asyncio.Event()

        async def swallow(*_: object, **_kept: object) -> None:  # noqa: WPS430
            began.set()
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                raise ConnectionResetError from None

        http = sender.Sender(2, 1000)
        self.addAsyncCleanup(http.close)
        http.kept.request = swallow
        call = sender.Call('127.0.0.1:9', 'GET', '/', {}, b'', seconds=1)
        task = asyncio.create_task(http.send(call, on_fresh=False))
        await began.wait()
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task


class EndlessTests(unittest.IsolatedAsyncioTestCase):
    """Targets that send bytes without end, until the caller closes."""

    async def asyncSetUp(self) -> None:
        """The target sends `first` and then `more` again and again."""
        self.first = b''
        self.more = b''
        self.sent = 0
        self.ended = asyncio.Event()
        self.server = await asyncio.start_server(self.flood, '127.0.0.1', 0)
        self.addCleanup(self.server.close)

    async def flood(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Sends until the connection is closed at the other side."""
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self.first)
        with contextlib.suppress(ConnectionError):
            while self.sent < MOST_SENT * 2:
                writer.write(self.more)
                self.sent += len(self.more)
                await writer.drain()
        self.ended.set()
        writer.close()

    async def test_given_up_long_before_the_deadline(self) -> None:
        """Little is taken in, whatever part of an answer has no end."""
        okay = b'HTTP/1.1 200 OK\r\n'
        chunked = b''.join((okay, b'transfer-encoding: chunked\r\n\r\n'))
        line = b'x-a: bbbbbbbbbbbbbbbbbbbbbbbb\r\n' * 1000
        block = b'x' * 65_536
        cases = {
            'no answer': (b'', block),
            'status line': (b'HTTP/1.1 200 ', block),
            'header': (b''.join((okay, b'x-a: ')), block),
            'headers': (okay, line),
            'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 1000),
            'body to the close': (b''.join((okay, b'\r\n')), block),
            'long body': (b''.join((okay, LONG_BODY)), block),
            'chunks': (chunked, b''.join((b'10000\r\n', block, b'\r\n'))),
            'one chunk': (b''.join((chunked, b'fffffffff\r\n')), block),
            'size of a chunk': (chunked, b'0' * 65_536),
        }
        for name, (first, more) in cases.items():
            with self.subTest(name=name):
                self.first = first
                self.more = more
                self.sent = 0
                self.ended.clear()
                outcome = await self.call()
                self.assertIsInstance(outcome, outcomes.Unknown)
                async with asyncio.timeout(2):
                    await self.ended.wait()
                self.assertLess(self.sent, MOST_SENT)

    async def call(self) -> outcomes.Outcome:
        """Returns what came of a call, which has a long time."""
        port = self.server.sockets[0].getsockname()[1]
        http = sender.Sender(2, 1_000_000)
        call = sender.Call(f'127.0.0.1:{port}', 'GET', '/', {}, b'', seconds=9)
        async with asyncio.timeout(3):
            outcome = await http.send(call, on_fresh=False)
        await http.close()
        return outcome


async def _break_off_second(
    target: raw_target.RawTarget,
    writer: asyncio.StreamWriter,
    number: int,
) -> bool:
    writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n')
    if number == 1:
        writer.write(b'\r\n')
    return number == 1
