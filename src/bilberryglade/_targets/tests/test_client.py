"""What the client says became of a request, against raw servers."""

import asyncio
import typing
import unittest
from unittest import mock

from aiosonic import connection

from bilberryglade._targets import client, connections
from bilberryglade._targets.tests import raw_target
from bilberryglade._values import outcomes

SECONDS: typing.Final = 2.0
LOST: typing.Final = outcomes.Unknown(outcomes.Reason.answer_lost)
REFUSAL: typing.Final = (
    b'HTTP/1.1 503 Busy\r\nrun-state: not-started\r\ncontent-length: 0\r\n\r\n'
)
UNREACHABLE: typing.Final = outcomes.NotRun(
    outcomes.Reason.target_unreachable,
)


class ClientCase(unittest.IsolatedAsyncioTestCase):
    """Starts raw targets."""

    async def start(self, behaviour: raw_target.Behaviour) -> str:
        """Starts a raw target and returns its address."""
        self.client = client.TargetClient(raw_target.LIMITS)
        self.addAsyncCleanup(self.client.close)
        self.target = raw_target.RawTarget(behaviour)
        self.addAsyncCleanup(self.target.stop)
        return await self.target.start()

    async def run_one(
        self,
        address: str,
        method: str = 'POST',
        repeatable: bool = False,
        seconds: float = SECONDS,
    ) -> outcomes.Outcome:
        """Sends one request."""
        return await self.client.run(
            address,
            raw_target.request(method, repeatable),
            raw_target.GRANT,
            seconds,
        )


class WholeAnswerTest(ClientCase):
    """An answer is whole, or it is none."""

    async def test_cut_answers_are_unknown(self) -> None:
        """No answer that ended early counts as one."""
        cut = {
            'nothing': b'',
            'status line': b'HTTP/1.1 20',
            'after status line': _ok(b''),
            'no content, headers cut': b'HTTP/1.1 204 No Content\r\nx: 1\r\n',
            'inside a header': _ok(b'content-length: 0'),
            'headers': _ok(b'content-length: 5\r\n'),
            'length': _ok(b'content-length: 5\r\n\r\nhel'),
            'chunk': _ok(b'transfer-encoding: chunked\r\n\r\n5\r\nhel'),
            'chunk size': _ok(b'transfer-encoding: chunked\r\n\r\n'),
            'last chunk': _ok(
                b'transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n'
            ),
            'ends by close': _ok(b'connection: close\r\n\r\nhello'),
            'no framing': _ok(b'\r\nhello'),
            'two lengths': _ok(
                b'content-length: 2\r\ncontent-length: 5\r\n\r\nhello'
            ),
            'interim': b'HTTP/1.1 103 Early Hints\r\n\r\n',
            'no header': _ok(b'content-length: 5\r\nodd\r\n\r\nhello'),
            'not HTTP': b'hello\r\n\r\n',
        }
        for name, raw in cut.items():
            for repeatable in (False, True):
                with self.subTest(name, repeatable=repeatable):
                    address = await self.start(raw_target.answering(raw))
                    outcome = await self.run_one(address, 'PUT', repeatable)
                    self.assertEqual(outcome, LOST)
                    self.assertEqual(len(self.target.seen), 1)

    async def test_too_long_answer_is_unknown(self) -> None:
        """An answer beyond the bound is refused after the request ran."""
        body = b'x' * 1001
        address = await self.start(
            raw_target.answering(raw_target.whole(body)),
        )
        self.assertEqual(
            await self.run_one(address),
            outcomes.Unknown(outcomes.Reason.too_large),
        )

    async def test_whole_answers(self) -> None:
        """Copies of headers survive, compressed bodies are left alone."""
        raw = (
            b'HTTP/1.1 200 OK\r\nset-cookie: a=1\r\nSet-Cookie: b=2\r\n'
            b'content-encoding: gzip\r\ncontent-length: 3\r\n\r\nabc'
        )
        address = await self.start(raw_target.answering(raw))
        self.assertEqual(
            await self.run_one(address),
            outcomes.Answered(
                200,
                (
                    outcomes.Header('set-cookie', 'a=1'),
                    outcomes.Header('set-cookie', 'b=2'),
                    outcomes.Header('content-encoding', 'gzip'),
                ),
                b'abc',
            ),
        )
        self.assertIn(b'POST /claims%3Bv=1?a=b ', self.target.seen[0])

    async def test_answers_without_body(self) -> None:
        """HEAD, 204, 304 and a length of 0 have no body to wait for."""
        cases = (
            ('HEAD', _ok(b'content-length: 5\r\n\r\n'), 200),
            ('POST', b'HTTP/1.1 204 No Content\r\n\r\n', 204),
            ('GET', b'HTTP/1.1 304 Not Modified\r\n\r\n', 304),
            ('POST', _ok(b'content-length: 0\r\n\r\n'), 200),
        )
        for method, raw, status in cases:
            with self.subTest(method, status=status):
                address = await self.start(
                    raw_target.answering(raw, ends=False),
                )
                self.assertEqual(
                    await self.run_one(address, method, repeatable=True),
                    outcomes.Answered(status, (), b''),
                )

    async def test_refusal_before_the_start(self) -> None:
        """The target's own refusal is not run; a cut one is unknown."""
        raw = (
            b'HTTP/1.1 503 Busy\r\nrun-state: not-started\r\n'
            b'content-length: 4\r\n\r\nbusy'
        )
        refused = outcomes.NotRun(outcomes.Reason.target_refused)
        for sent, wanted in ((raw, refused), (raw[:-1], LOST)):
            address = await self.start(raw_target.answering(sent))
            self.assertEqual(await self.run_one(address), wanted)


class NotRunTest(ClientCase):
    """Not run means that no byte was sent."""

    async def test_refused_connection(self) -> None:
        """A target that does not listen has not run anything."""
        address = await self.start(raw_target.answering(b''))
        await self.target.stop()
        self.assertEqual(await self.run_one(address), UNREACHABLE)

    async def test_timeout_before_the_first_byte(self) -> None:
        """A request whose time ends while it waits for a place is not run."""
        address = await self.start(_hold)
        tasks = [
            asyncio.create_task(self.run_one(address, seconds=0.3))
            for _ in range(raw_target.LIMITS.connections)
        ]
        await asyncio.sleep(0.05)
        late = await self.run_one(address, seconds=0.1)
        self.assertEqual(late, UNREACHABLE)
        self.assertEqual(set(await asyncio.gather(*tasks)), {LOST})
        self.assertEqual(len(self.target.seen), 4)


class FallTest(ClientCase):
    """What counts as a fall of a target."""

    async def test_signs(self) -> None:
        """Only a target that says so, or refuses connections, has fallen."""
        down = b'HTTP/1.1 503 Down\r\ncontent-length: 0\r\n\r\n'
        cases = (
            (raw_target.answering(down), True),
            (raw_target.answering(raw_target.whole(b'{}')), False),
            (raw_target.answering(b''), False),
            (_hold, False),
        )
        for behaviour, wanted in cases:
            address = await self.start(behaviour)
            self.assertEqual(await self.client.has_fallen(address), wanted)
        await self.target.stop()
        self.assertTrue(await self.client.has_fallen(address))


class OnceTest(ClientCase):
    """A request goes out at most once, over a connection of its own."""

    async def test_dropped_kept_connection(self) -> None:
        """No method is sent again when a kept connection drops."""
        for method in ('GET', 'HEAD', 'PUT', 'DELETE', 'POST'):
            for repeatable in (False, True):
                with self.subTest(method, repeatable=repeatable):
                    address = await self.start(_drop_second)
                    first = await self.run_one(address, 'POST', True)
                    self.assertIsInstance(first, outcomes.Answered)
                    await self.run_one(address, method, repeatable)
                    self.assertEqual(len(self.target.seen), 2)

    async def test_either_guard_alone_stops_the_library(self) -> None:
        """It repeats PUT; without both guards it is sent again."""
        on_writes = mock.patch.object(connections.Exchange, 'is_sent', False)
        on_repeats = mock.patch.object(
            connections.TargetConnection, 'reused', True
        )
        with on_writes:
            self.assertEqual(await self.put_twice(), 2)
        with on_repeats:
            self.assertEqual(await self.put_twice(), 2)
        with on_writes, on_repeats:
            self.assertGreater(await self.put_twice(), 2)

    async def put_twice(self) -> int:
        """Returns how often a target that drops the second one saw two."""
        address = await self.start(_drop_second)
        for _ in range(2):
            await self.run_one(address, 'PUT', True)
        return len(self.target.seen)

    async def test_once_requests_use_new_connections(self) -> None:
        """A request that may not be repeated never takes a kept one."""
        address = await self.start(
            raw_target.answering(raw_target.whole(b'ok'), ends=False),
        )
        for repeatable in (True, True, False, False):
            await self.run_one(address, 'POST', repeatable)
        self.assertEqual(self.target.connections, 3)

    async def test_silent_kept_connection(self) -> None:
        """After a silent kept connection the next try takes a new one."""
        address = await self.start(_silent_second)
        seen = [await self.run_one(address, 'GET', True, 0.4) for _ in range(3)]
        self.assertEqual(seen[1], LOST)
        self.assertIsInstance(seen[2], outcomes.Answered)
        self.assertEqual(self.target.connections, 2)


class SecondAttemptTest(ClientCase):
    """A refused request that may be repeated goes to the target again."""

    async def test_late_copy_of_a_refusal_promises_nothing(self) -> None:
        """It came on the connection that the second attempt was sent over."""
        writers: list[asyncio.StreamWriter] = []

        async def behave(  # noqa: WPS430
            _: raw_target.RawTarget,
            writer: asyncio.StreamWriter,
            number: int,
        ) -> bool:
            writers.append(writer)
            writers[0].write(REFUSAL)
            if number == 2:
                await asyncio.sleep(0.05)
                writer.write(raw_target.whole(b'own'))
            return True

        address = await self.start(behave)
        for attempt in ('r', 'r.1'):
            request = raw_target.request(repeatable=True, request_id=attempt)
            outcome = await self.client.run(
                address, request, raw_target.GRANT, SECONDS
            )
        self.assertEqual(len(self.target.seen), 2)
        assert isinstance(outcome, outcomes.Answered), outcome
        self.assertEqual(outcome.body, b'own')


class GrantTest(ClientCase):
    """What counts as a grant that a target took."""

    async def test_answer_to_an_earlier_request_confirms_no_grant(self) -> None:
        """A target writes one once more where a grant's answer is due."""
        carried: list[asyncio.StreamWriter] = []

        async def behave(  # noqa: WPS430
            target: raw_target.RawTarget,
            writer: asyncio.StreamWriter,
            number: int,
        ) -> bool:
            is_grant = target.seen[-1].startswith(b'PUT /-/grants ')
            if is_grant and writer not in carried:
                writer.write(_refusal(409))
                return True
            carried.append(writer)
            writer.write(raw_target.whole(b'own'))
            return True

        address = await self.start(behave)
        await self.run_one(address, 'GET', repeatable=True)
        self.assertFalse(await self.client.grant(address, []))

    async def test_answers(self) -> None:
        """Only a success counts, and each grant goes out once."""
        cases = (
            (raw_target.whole(b'{}'), True),
            (_refusal(409), False),
            (b'', False),
            (raw_target.whole(b'{}')[:-1], False),
            (_ok(b'transfer-encoding: chunked\r\n\r\nodd\r\n'), False),
            (b'odd\r\n', False),
        )
        for raw, is_taken in cases:
            with self.subTest(raw=raw):
                address = await self.start(raw_target.answering(raw))
                for number in (1, 2):
                    taken = await self.client.grant(address, [])
                    self.assertEqual(taken, is_taken)
                    self.assertEqual(len(self.target.seen), number)


class UnendingAnswerTest(ClientCase):
    """Answers to grants and looks that begin and never end."""

    async def test_given_up_in_time(self) -> None:
        """Neither a grant nor a look waits longer than its bound."""
        chunked = _ok(b'transfer-encoding: chunked\r\n\r\n')
        for raw in (chunked, _ok(b'content-length: 5\r\n\r\n'), _ok(b'x: 1')):
            with self.subTest(raw=raw):
                address = await self.start(
                    raw_target.answering(raw, ends=False)
                )
                async with asyncio.timeout(client.GRANT_SECONDS * 2):
                    self.assertFalse(await self.client.grant(address, []))
                async with asyncio.timeout(client.HEALTH_SECONDS * 2):
                    self.assertFalse(await self.client.has_fallen(address))


class KeptTest(ClientCase):
    """Which answers leave their connection for the next request."""

    async def test_answers_without_body(self) -> None:
        """One that says that it has no body does; an unframed one does not."""
        cases = (
            (_ok(b'content-length: 0\r\n\r\n'), 1),
            (_ok(b'Content-Length:0\r\nx: 1\r\n\r\n'), 1),
            (_ok(b'x: 1\r\n\r\n'), 3),
            (_ok(b'content-length: 0\r\ncontent-length: 2\r\n\r\n'), 3),
            (_ok(b'content-length: 0\r\nconnection: close\r\n\r\n'), 3),
        )
        for raw, connected in cases:
            with self.subTest(raw=raw):
                address = await self.start(
                    raw_target.answering(raw, ends=False)
                )
                for _ in range(3):
                    await self.run_one(address, 'GET', True, 0.3)
                self.assertEqual(self.target.connections, connected)

    async def test_bytes_after_an_empty_answer(self) -> None:
        """They belong to no request."""
        extra = _ok(b'content-length: 0\r\n\r\n') + raw_target.whole(b'no')
        address = await self.start(raw_target.answering(extra, ends=False))
        for _ in range(3):
            outcome = await self.run_one(address, 'GET', True)
            assert isinstance(outcome, outcomes.Answered)
            self.assertEqual(outcome.body, b'')
            await asyncio.sleep(0.02)


class CrossedAnswerTest(ClientCase):
    """No answer reaches another request, wherever the first one was cut."""

    async def test_cancelled_in_each_phase(self) -> None:
        """After a cancellation or timeout the connection is closed."""
        late = raw_target.whole(b'late!')
        for cut in (0, 10, 20, len(late) - 2):
            for is_cancelled in (False, True):
                with self.subTest(cut=cut, is_cancelled=is_cancelled):
                    address = await self.start(_late_second(late, cut))
                    await self._check_third(address, is_cancelled)

    async def test_bytes_after_an_answer(self) -> None:
        """A connection that holds unread bytes is not used again."""
        raw = raw_target.whole(b'own') + raw_target.whole(b'foreign')
        address = await self.start(raw_target.answering(raw, ends=False))
        for _ in range(2):
            outcome = await self.run_one(address, 'GET', True)
            assert isinstance(outcome, outcomes.Answered)
            self.assertEqual(outcome.body, b'own')
            await asyncio.sleep(0.01)

    async def test_without_the_protection_it_is_crossed(self) -> None:
        """The library itself would keep the interrupted connection."""
        address = await self.start(
            _late_second(raw_target.whole(b'late!'), 0),
        )
        with mock.patch.multiple(
            connections.TargetConnection,
            release=connection.Connection.release,
            reuse=connection.Connection.reuse,
        ):
            with mock.patch.object(client, 'SILENT_SECONDS', 0):
                with self.assertRaises(AssertionError):
                    await self._check_third(address, is_cancelled=True)

    async def _check_third(self, address: str, is_cancelled: bool) -> None:
        first = await self.run_one(address, 'GET', True)
        self.assertIsInstance(first, outcomes.Answered)
        second = asyncio.create_task(
            self.run_one(address, 'GET', True, 0.3),
        )
        await asyncio.sleep(0.05)
        if is_cancelled:
            second.cancel()
        await asyncio.gather(second, return_exceptions=True)
        self.target.release.set()
        await asyncio.sleep(0.01)
        third = await self.run_one(address, 'GET', True)
        assert isinstance(third, outcomes.Answered)
        self.assertEqual(third.body, b'own')


def _refusal(status: int) -> bytes:
    return b'HTTP/1.1 %d No\r\ncontent-length: 0\r\n\r\n' % status


def _ok(rest: bytes) -> bytes:
    return b'HTTP/1.1 200 OK\r\n%s' % rest


async def _hold(
    target: raw_target.RawTarget,
    writer: asyncio.StreamWriter,
    number: int,
) -> bool:
    await target.release.wait()
    return False


async def _drop_second(
    target: raw_target.RawTarget,
    writer: asyncio.StreamWriter,
    number: int,
) -> bool:
    if number > 1:
        return False
    writer.write(raw_target.whole(b'first'))
    return True


async def _silent_second(
    target: raw_target.RawTarget,
    writer: asyncio.StreamWriter,
    number: int,
) -> bool:
    if number == 2:
        await target.release.wait()
    writer.write(raw_target.whole(b'own'))
    return True


def _late_second(late: bytes, cut: int) -> raw_target.Behaviour:
    async def behave(  # noqa: WPS430
        target: raw_target.RawTarget,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> bool:
        if number != 2:
            writer.write(raw_target.whole(b'own'))
            return True
        writer.write(late[:cut])
        await target.release.wait()
        writer.write(late[cut:])
        return True

    return behave
