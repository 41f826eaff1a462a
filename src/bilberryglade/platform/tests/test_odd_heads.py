"""Answers of targets with any head: a value each, and so is what callers get."""

import asyncio
import contextlib
import random
import typing
import unittest

from bilberryglade._codec import codec
from bilberryglade._delivery import router
from bilberryglade._routing.tests import samples
from bilberryglade._targets import sender
from bilberryglade._values import outcomes
from bilberryglade.platform import exchange, front

LINE: typing.Final = b'HTTP/1.1 200 OK\r\n'
END: typing.Final = b'content-length: 0\r\n\r\n'
#: Heads that were found, or that are likely.
HEADS: typing.Final = (
    b'',
    b'\r\n',
    b'HTTP/1.1\r\n\r\n',
    b'HTTP/1.1 abc OK\r\n\r\n',
    b'HTTP/1.1 99999999999999999999 OK\r\n%s' % END,
    b'HTTP/1.1 \xb2\xb2\xb2 OK\r\n%s' % END,
    b'HTTP/1.1 200 \xff\xfe\r\n%s' % END,
    b'%scontent-length: -5\r\n\r\nx' % LINE,
    b'%scontent-length: 1e5\r\n\r\nx' % LINE,
    b'%scontent-length: %s\r\n\r\nx' % (LINE, b'9' * 5000),
    b'%scontent-length: \xc2\xb2\r\n\r\nx' % LINE,
    b'%stransfer-encoding: chunked\r\n\r\nzz\r\n' % LINE,
    b'%stransfer-encoding: chunked\r\n\r\n-5\r\n' % LINE,
    b'%stransfer-encoding: chunked\r\n\r\n%s\r\n' % (LINE, b'f' * 5000),
    b'%skeep-alive: timeout=x\r\n%s' % (LINE, END),
    b'%skeep-alive: timeout=%s\r\n%s' % (LINE, b'9' * 5000, END),
    b'%sset-cookie: \xff=;;;=\r\n%s' % (LINE, END),
    b'%sx-handover: \xe2\x82\xac\r\n%s' % (LINE, END),
    b'%sx-handover: \xed\xa0\x80\r\n%s' % (LINE, END),
    b'%sx-server-load: inf,0,8\r\n%s' % (LINE, END),
    b'%sx-server-load: 3,0,8,%s\r\n%s' % (LINE, b'9' * 400, END),
    b'%sx\xe2\x82\xac: x\r\n%s' % (LINE, END),
)
WHOLE: typing.Final = (
    b'%sx-request-id: r\r\nx-server-load: 1,0,2,100\r\nset-cookie: a=b\r\n'
    b'keep-alive: timeout=5\r\ncontent-length: 4\r\n\r\nbody' % LINE,
    b'%stransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n' % LINE,
)
PIECES: typing.Final = (
    b'',
    b'\r',
    b'\n',
    b':',
    b';',
    b'0',
    b'-',
    b'\x00',
    b'\xe2\x82\xac',
)
CHANGED: typing.Final = 150
SEED: typing.Final = 18


class OddHeadTests(unittest.IsolatedAsyncioTestCase):
    """A target that writes what it is told to."""

    async def asyncSetUp(self) -> None:
        """Starts it."""
        self.head = b''
        server = await asyncio.start_server(self.answer, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.call = sender.Call(
            f'127.0.0.1:{port}', 'GET', '/', {'host': 'h'}, b'', seconds=1.0
        )
        self.http = sender.Sender(2, 1000)
        self.addAsyncCleanup(self.http.close)

    async def answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Writes the head, and ends."""
        with contextlib.suppress(ConnectionError, EOFError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self.head)
            await writer.drain()
        writer.close()

    async def test_heads(self) -> None:
        """Each that was found."""
        for head in HEADS:
            with self.subTest(head=head[:60]):
                await self.check(head)

    async def test_changed_heads(self) -> None:
        """Good answers with a few other bytes, the same each time."""
        chance = random.Random(SEED)
        for whole in WHOLE:
            for _ in range(CHANGED):
                head = _changed(whole, chance)
                with self.subTest(head=head):
                    await self.check(head)

    async def test_bytes_beyond_ascii_are_passed_on(self) -> None:
        """A caller gets the header as the target wrote it."""
        self.head = b'%sx-a: \xe2\x82\xac\r\n%s' % (LINE, END)
        outcome = await self.http.send(self.call, on_fresh=True)
        response = front.response_of(
            samples.incoming(), router.DeliveryResult(outcome)
        )
        self.assertIn((b'x-a', b'\xe2\x82\xac'), response.raw_headers)

    async def check(self, head: bytes) -> None:
        """Takes an answer as far as its caller, or the next target."""
        self.head = head
        outcome = await self.http.send(self.call, on_fresh=True)
        front.response_of(samples.incoming(), router.DeliveryResult(outcome))
        if isinstance(outcome, outcomes.Answered):
            exchange.understood('r', outcome)
            codec.encode_json([header.text for header in outcome.headers])


def _changed(whole: bytes, chance: random.Random) -> bytes:
    for _ in range(chance.randint(1, 4)):
        place = chance.randrange(len(whole))
        rest = whole[place + chance.randint(0, 1) :]
        whole = b'%s%s%s' % (whole[:place], chance.choice(PIECES), rest)
    return whole
