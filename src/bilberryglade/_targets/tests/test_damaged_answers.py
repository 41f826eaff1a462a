"""Answers whose framing is damaged: none of them counts as an answer."""

import typing
import unittest

from bilberryglade._targets import sender
from bilberryglade._targets.tests import raw_target
from bilberryglade._values import outcomes

SECONDS: typing.Final = 2.0
MOST_BYTES: typing.Final = 100_000
#: The rest of an answer after its first line.
HELLO: typing.Final = 'content-length: 5\r\n\r\nhello'
LOST: typing.Final = outcomes.Unknown(outcomes.Reason.answer_lost)


class DamageCase(unittest.IsolatedAsyncioTestCase):
    """Sends calls to raw targets."""

    async def ask(self, raw: bytes) -> outcomes.Outcome:
        """Returns what came of a call that was answered by `raw`."""
        target = raw_target.RawTarget(raw_target.answering(raw))
        address = await target.start()
        http = sender.Sender(2, MOST_BYTES)
        call = sender.Call(address, 'GET', '/', {}, b'', SECONDS)
        outcome = await http.send(call, on_fresh=False)
        await http.close()
        await target.stop()
        return outcome

    async def check_lost(self, *raws: bytes) -> None:
        """Checks that none of them is an answer."""
        for raw in raws:
            with self.subTest(raw=raw):
                self.assertEqual(await self.ask(raw), LOST)

    async def check_hello(self, *raws: bytes) -> None:
        """Checks that each of them is an answer with the same body."""
        for raw in raws:
            with self.subTest(raw=raw):
                outcome = await self.ask(raw)
                assert isinstance(outcome, outcomes.Answered), outcome
                self.assertEqual(outcome.body, b'hello')


class HeadTests(DamageCase):
    """Heads of answers."""

    async def test_damaged_first_line(self) -> None:
        """No status is read out of it."""
        first = (
            'HTTP/1.1 2000 OK',
            'HTTP/1.1 0200 OK',
            'HTTP/1.1 700 OK',
            'HTTP/1.1 \u0662\u0660\u0660 OK',
            'HTTP/1.1 200OK',
            'HTTP/1.1 200 O\0K',
            'HTTP/9.9 200 OK',
            'HTTP/2 200 OK',
        )
        await self.check_lost(
            *(f'{line}\r\n{HELLO}'.encode() for line in first),
        )

    async def test_damaged_header(self) -> None:
        """What callers cannot be sent is no header, and ends no head."""
        lines = (': b', 'a b: c', 'a : b', ' a: b', 'a: b\rc', 'a: b\0c', ' \t')
        await self.check_lost(*(ok(f'{line}\r\n{HELLO}') for line in lines))

    async def test_head_that_runs_into_another(self) -> None:
        """One was cut; what it said is not of the whole one."""
        refused = 'HTTP/1.1 503 Full\r\nrun-state: not-started\r\nx: '
        await self.check_lost(
            b''.join((b'HTTP/1.1 500 ', ok(HELLO))),
            b''.join((refused.encode(), ok(HELLO))),
            ok('x: HTTP/1.0 500 Error\r\ncontent-length: 5\r\n\r\nhello'),
        )

    async def test_whole_heads(self) -> None:
        """Without a phrase, with bare line feeds, with any text."""
        await self.check_hello(
            f'HTTP/1.1 200\r\n{HELLO}'.encode(),
            f'HTTP/1.1 200 \r\n{HELLO}'.encode(),
            f'HTTP/1.0 299 HTTP/1.1 \u0665\n{HELLO}'.encode(),
            ok(f"a:\r\nB!#$%&'*+-.^_`|~9: \t\u0665: HTTP/1.1\r\n{HELLO}"),
        )


class LengthTests(DamageCase):
    """Lengths."""

    async def test_length_that_is_no_number(self) -> None:
        """An empty one is not 0: the body would be taken for empty."""
        bad = ('', ' ', '-0', '-5', '+5', '0_5', '5, 5', '0x5', '5.0', '\u0665')
        await self.check_lost(
            *(ok(f'content-length:{length}\r\n\r\nhello') for length in bad)
        )

    async def test_length_that_is_a_number(self) -> None:
        """White space around it and copies of it do no harm."""
        await self.check_hello(
            ok('content-length:5\r\n\r\nhello'),
            ok('Content-Length: \t5 \r\n\r\nhello'),
            ok('content-length: 5\r\ncontent-length: 5\r\n\r\nhello'),
        )


class CodingTests(DamageCase):
    """Transfer codings."""

    async def test_coding_that_is_not_undone(self) -> None:
        """What lies below another coding would be taken for the body."""
        chunks = '\r\n\r\n5\r\nhello\r\n0\r\n\r\n'
        length = '\r\ncontent-length: 5\r\n\r\nhello'
        await self.check_lost(
            ok(f'transfer-encoding: gzip, chunked{chunks}'),
            ok(f'transfer-encoding: chunked, chunked{chunks}'),
            ok(
                f'transfer-encoding: gzip\r\ntransfer-encoding: chunked{chunks}'
            ),
            ok(f'transfer-encoding: chunked\r\ncontent-length: 4{chunks}'),
            ok(f'transfer-encoding: chunked, gzip{length}'),
            ok(f'transfer-encoding: gzip{length}'),
            ok(f'transfer-encoding:{length}'),
        )

    async def test_chunks_alone(self) -> None:
        """Letters of any case name the coding."""
        chunks = '\r\n\r\n5\r\nhello\r\n0\r\n\r\n'
        await self.check_hello(
            ok(f'transfer-encoding:chunked{chunks}'),
            ok(f'Transfer-Encoding: Chunked {chunks}'),
        )


class ChunkTests(DamageCase):
    """Chunks, what stands between them, and what follows the last one."""

    async def test_damaged_size(self) -> None:
        """`int` takes signs, underscores and prefixes; a size has none."""
        sizes = ('', '+5', '0x5', '0_5', '\u0665', '5 5', ' 5', '-2', '-0', 'g')
        await self.check_lost(
            *(chunked(f'{size}\r\nhello\r\n0\r\n\r\n') for size in sizes),
            chunked('-0\r\n\r\n'),
            chunked('5\r\nhello\r\n-0\r\n\r\n'),
        )

    async def test_chunk_that_does_not_end_where_it_says(self) -> None:
        """Its bytes are not those that the target meant."""
        await self.check_lost(
            chunked('5\r\nhelloXX0\r\n\r\n'),
            chunked('3\r\nhello5\r\nhello\r\n0\r\n\r\n'),
        )

    async def test_cut_after_the_last_chunk(self) -> None:
        """An answer ends with the empty line after its trailers."""
        last = '5\r\nhello\r\n0\r\n'
        await self.check_lost(
            chunked(last),
            chunked(f'{last}x: y\r\n'),
            chunked(f'{last}x: y\r\nz: y\r\n'),
            chunked(f'{last}odd\r\n\r\n'),
            chunked(''.join((last, 'x: y\r\n' * 20_000))),
        )

    async def test_whole_chunks(self) -> None:
        """Extensions and trailers are read, and left out."""
        await self.check_hello(
            chunked('05;a="b"\r\nhello\r\n0;c\r\n\r\n'),
            chunked('3 \r\nhel\r\n2 ;a\r\nlo\r\n0\r\nx: y\r\nz: y\r\n\r\n'),
        )

    async def test_trailers_are_no_rest(self) -> None:
        """The next answer over the connection begins after them."""
        raw = chunked('5\r\nhello\r\n0\r\nx: y\r\nz: y\r\n\r\n')
        target = raw_target.RawTarget(raw_target.answering(raw, ends=False))
        call = sender.Call(await target.start(), 'GET', '/', {}, b'', SECONDS)
        self.addAsyncCleanup(target.stop)
        http = sender.Sender(2, MOST_BYTES)
        for _ in range(3):
            outcome = await http.send(call, on_fresh=False)
            self.assertEqual(outcome, outcomes.Answered(200, (), b'hello'))
        self.assertEqual(target.connections, 1)
        await http.close()


def chunked(rest: str) -> bytes:
    """Returns an answer in chunks from the first one on."""
    return ok(f'transfer-encoding: chunked\r\n\r\n{rest}')


def ok(rest: str) -> bytes:
    """Returns an answer from the end of its first line on."""
    return f'HTTP/1.1 200 OK\r\n{rest}'.encode()
