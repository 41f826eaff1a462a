"""Targets that break off or never end an answer, as their callers see it."""

import asyncio
import time
import typing
import unittest
from unittest import mock

from aiosonic import connection

from bilberryglade._targets import connections
from bilberryglade.platform.tests import cutting

OK: typing.Final = b'HTTP/1.1 200 OK\r\n'
HELLO: typing.Final = b'hello, there'
FRAMED_HELLO: typing.Final = b'Content-Length: 12\r\n\r\nhello, there'
CHUNKED: typing.Final = b'Transfer-Encoding: chunked\r\n\r\n'
OK_STATUS: typing.Final = 200
LOST_STATUS: typing.Final = 502
LATE_STATUS: typing.Final = 504
#: Milliseconds that callers of targets without end wait.
SHORT_MS: typing.Final = 300
#: Seconds beyond the deadline in which a caller must have an answer.
GRACE_SECONDS: typing.Final = 0.5


class Whole(typing.NamedTuple):
    """A whole answer, and what a caller is to see of it."""

    raw: bytes
    method: str = 'GET'
    status: int = 200
    body: bytes = HELLO


def marked(*rest: bytes, first: bytes = OK) -> bytes:
    """Returns an answer of the target with its marks after the first line."""
    return b''.join((first, cutting.MARKS, *rest))


def wholes() -> dict[str, Whole]:
    """Returns whole answers of all framings by name."""
    framed = marked(FRAMED_HELLO)
    no_content = marked(b'\r\n', first=b'HTTP/1.1 204 No Content\r\n')
    unmodified = marked(b'\r\n', first=b'HTTP/1.1 304 Not Modified\r\n')
    return {
        'length': Whole(framed),
        'chunks': Whole(
            marked(CHUNKED, b'7\r\nhello, \r\n5\r\nthere\r\n0\r\n\r\n')
        ),
        'trailers': Whole(
            marked(CHUNKED, b'c;a=b\r\nhello, there\r\n0\r\nA: b\r\n\r\n')
        ),
        'length of 0': Whole(marked(b'Content-Length: 0\r\n\r\n'), body=b''),
        'bare line feeds': Whole(framed.replace(b'\r\n', b'\n')),
        'no content': Whole(no_content, status=204, body=b''),
        'not modified': Whole(unmodified, status=304, body=b''),
        'HEAD': Whole(
            marked(b'Content-Length: 12\r\n\r\n'), method='HEAD', body=b''
        ),
    }


def no_answers() -> dict[str, bytes]:
    """Returns bytes that hold no answer to the request, by name."""
    interim = b'HTTP/1.1 100 Continue\r\n\r\n'
    hints = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
    own = marked(FRAMED_HELLO)
    late = own.replace(b'cut-1', b'cut-0')
    refused = b'HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Server-Load: '
    return {
        'interim answers, then own': b''.join((interim, hints, own)),
        'late foreign answer, then own': b''.join((late, own)),
        'refusal cut in its head, then own': b''.join((refused, own)),
        'no length': marked(b'Connection: close\r\n\r\nhello, there'),
        'different lengths': marked(b'Content-Length: 4\r\n', FRAMED_HELLO),
        'length that is no number': marked(b'Content-Length:\r\n\r\nhello'),
        'no mark': own.replace(cutting.SIGNATURE.encode(), b''),
    }


class WayCase(unittest.IsolatedAsyncioTestCase):
    """Runs an instance before a target that breaks off."""

    async def asyncSetUp(self) -> None:
        """Starts all; the debug mode of loops is too slow for many requests."""
        asyncio.get_running_loop().set_debug(False)
        self.addCleanup(cutting.without_pauses().close)
        self.way = cutting.Way()
        await self.way.start()
        self.addAsyncCleanup(self.way.stop)

    async def ask_cut(
        self,
        script: cutting.Script,
        cut: int,
        method: str = 'GET',
    ) -> str:
        """Returns what is wrong with an answer that was cut; else nothing."""
        cut_script = script._replace(raw=script.raw[:cut], ends=True)
        seen = await self.way.ask(cut_script, method)
        if seen.status == LOST_STATUS and not seen.signature:
            return ''
        return f'cut at {cut}: {seen}\n'

    async def check_whole(
        self,
        whole: Whole,
        script: cutting.Script,
        request_id: str = cutting.REQUEST_ID,
    ) -> None:
        """Checks that a caller gets exactly what the target sent."""
        seen = await self.way.ask(script, whole.method, request_id=request_id)
        self.assertEqual(
            (seen.status, seen.body, seen.signature),
            (whole.status, whole.body, cutting.SIGNATURE),
        )
        has_body = whole.status == OK_STATUS and whole.method != 'HEAD'
        self.assertEqual(seen.length, str(len(seen.body)) if has_body else '')


class CutTests(WayCase):
    """Answers that end before they are whole."""

    async def test_no_cut_looks_like_an_answer(self) -> None:
        """Closed at each byte of each framing, over new connections."""
        for name, whole in wholes().items():
            script = cutting.Script(whole.raw, ends=True)
            with self.subTest(name=name):
                await self.check_whole(whole, script)
                wrong = [
                    await self.ask_cut(script, cut, whole.method)
                    for cut in range(len(whole.raw))
                ]
                self.assertEqual(''.join(wrong), '')

    async def test_no_reset_of_a_kept_connection_looks_like_an_answer(
        self,
    ) -> None:
        """Reset at each byte, after a whole answer over the connection."""
        for name in ('length', 'chunks', 'length of 0'):
            whole = wholes()[name]
            script = cutting.Script(whole.raw)
            reset = script._replace(is_reset=True)
            # A connection carries an id once.
            earlier = script._replace(raw=whole.raw.replace(b'cut-1', b'cut-0'))
            with self.subTest(name=name):
                for cut, _ in enumerate(whole.raw):
                    await self.check_whole(whole, earlier, 'cut-0')
                    self.assertEqual(await self.ask_cut(reset, cut), '')
                    self.assertTrue(self.way.target.is_kept)

    async def test_no_cut_of_single_bytes_looks_like_an_answer(self) -> None:
        """Each byte comes alone, and the connection is closed."""
        whole = wholes()['chunks']
        script = cutting.Script(whole.raw, is_slow=True)
        await self.check_whole(whole, script)
        for cut, _ in enumerate(whole.raw):
            self.assertEqual(await self.ask_cut(script, cut), '')

    async def test_what_is_no_answer_stays_none_where_it_is_cut(self) -> None:
        """Interim, foreign, unframed and unmarked answers, cut and whole."""
        for name, raw in no_answers().items():
            script = cutting.Script(raw)
            with self.subTest(name=name):
                wrong = [
                    await self.ask_cut(script, cut)
                    for cut in range(len(raw) + 1)
                ]
                self.assertEqual(''.join(wrong), '')

    async def test_without_the_guard_a_cut_head_looks_whole(self) -> None:
        """The library takes the end of the stream for the end of a head."""
        script = cutting.Script(wholes()['length of 0'].raw)
        with mock.patch.object(
            connections.TargetConnection,
            'readline',
            connection.Connection.readline,
        ):
            wrong = await self.ask_cut(script, len(script.raw) - 2)
        self.assertIn('status=200', wrong)


class EndlessTests(WayCase):
    """Answers without end, which a caller must not wait for."""

    async def test_flood_ends_soon(self) -> None:
        """Little of it is taken in, whatever part of an answer it is."""
        block = b'x' * 65_536
        chunked = marked(CHUNKED)
        floods = {
            'status line': (b'HTTP/1.1 200 ', block),
            'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 1000),
            'header': (marked(b'X-A: '), block),
            'headers': (marked(), b'X-A: b\r\n' * 1000),
            'body': (marked(b'Content-Length: 99999999999\r\n\r\n'), block),
            'chunks': (chunked, b'10000\r\n%s\r\n' % block),
            'small chunks': (chunked, b'1\r\nx\r\n' * 1000),
            'extension of a chunk': (marked(CHUNKED, b'5;a='), block),
            'trailer': (marked(CHUNKED, b'0\r\nX-A: '), block),
            'trailers': (marked(CHUNKED, b'0\r\n'), b'X-A: b\r\n' * 1000),
        }
        for name, (first, more) in floods.items():
            with self.subTest(name=name):
                seen = await self.way.ask(cutting.Script(first, more=more))
                self.assertIn(seen.status, {LOST_STATUS, LATE_STATUS})
                self.assertEqual(seen.signature, '')
                async with asyncio.timeout(GRACE_SECONDS):
                    await self.way.target.closed.wait()
                self.assertLess(self.way.target.sent, cutting.MOST_SENT)

    async def test_trickle_ends_at_the_deadline(self) -> None:
        """No part of an answer is waited for beyond what the caller said."""
        chunked = marked(CHUNKED)
        trickles = {
            'silence': (b'', b''),
            'status line': (b'HTTP/1.1 200 ', b'x'),
            'header': (marked(b'X-A: '), b'x'),
            'headers': (marked(), b'X-A: b\r\n'),
            'body': (marked(b'Content-Length: 99999\r\n\r\n'), b'x'),
            'chunks': (chunked, b'1\r\nx\r\n'),
            'trailers': (marked(CHUNKED, b'0\r\n'), b'X-A: b\r\n'),
        }
        for name, (first, more) in trickles.items():
            with self.subTest(name=name):
                script = cutting.Script(first, more=more, pause=0.02)
                began = time.monotonic()
                seen = await self.way.ask(script, deadline_ms=SHORT_MS)
                took = time.monotonic() - began
                self.assertEqual(
                    (seen.status, seen.signature), (LATE_STATUS, '')
                )
                self.assertLess(took, SHORT_MS / 1000 + GRACE_SECONDS)
