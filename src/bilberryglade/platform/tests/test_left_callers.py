"""Callers that leave: what they asked for ends, or is never sent."""

import asyncio
import socket
import typing
import unittest

from bilberryglade.platform.tests import deployment

REQUEST: typing.Final = (
    b'GET /look/x HTTP/1.1\r\nhost: host.example\r\nx-request-id: %s\r\n'
    b'x-request-deadline: 2000\r\nx-shard-key: 1\r\nx-credential: key-1\r\n\r\n'
)
#: Seconds within which work ends for a caller that has left.
END_SECONDS: typing.Final = 0.5


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
