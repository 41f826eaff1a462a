"""Connections to targets end with what was sent over them."""

import asyncio
import unittest

from bilberryglade._targets import sender
from bilberryglade._values import outcomes


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
