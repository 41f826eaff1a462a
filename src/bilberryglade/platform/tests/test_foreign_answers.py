"""Answers that belong to another request, over sockets."""

import asyncio
import typing
import unittest

from bilberryglade._delivery import request_sender
from bilberryglade._observability.tests import recording
from bilberryglade._routing import admission, catalogue
from bilberryglade._routing.tests import samples as requests
from bilberryglade._targets import sender
from bilberryglade._targets.tests import raw_target, samples
from bilberryglade._values import outcomes
from bilberryglade.platform import exchange
from bilberryglade.platform.tests import deployment

SECONDS: typing.Final = 2.0
LOST: typing.Final = outcomes.Unknown(outcomes.Reason.answer_lost)
ONCE: typing.Final = admission.Admitted(
    catalogue.Route(
        name='r',
        host='h',
        prefix='/a/',
        repeatable=False,
        is_public=True,
        timeout=1,
        aim=0.3,
        priority=0,
        attempts=2,
        parts=(catalogue.Part('s', 1),),
    ),
    organisation=None,
)
REFUSED: typing.Final = {  # noqa: WPS407
    'shed': b'503 Service Unavailable\r\nx-not-executed: 1\r\n',
    'over a rate': b'429 Too Many Requests\r\nx-not-executed: 1\r\n',
    'misdirected': b'421 Misdirected Request\r\nx-not-executed: 1\r\n',
    'misdirected without the word': b'421 Misdirected Request\r\n',
}


def written(first: bytes, request_id: bytes, body: bytes = b'') -> bytes:
    """Returns an answer's bytes; `first` has its status and some headers."""
    return (
        b'HTTP/1.1 %sx-request-id: %s\r\nx-server-load: 9,9,2\r\n'
        b'content-length: %d\r\n\r\n%s' % (first, request_id, len(body), body)
    )


def success(request_id: bytes) -> bytes:
    """Returns the bytes of a target's own good answer."""
    return written(b'200 OK\r\nx-response-signature: s\r\n', request_id, b'own')


def id_of(head: bytes) -> bytes:
    """Returns the id that a request came with."""
    lines = head.split(b'\r\n')
    named = [line for line in lines if line.startswith(b'x-request-id: ')]
    return named[0].removeprefix(b'x-request-id: ')


class Repeating:
    """Refuses the first request, and once more at the second one's answer."""

    def __init__(self, refusal: bytes, body: bytes = b'') -> None:
        """Refuses by `refusal`: status line and headers."""
        self.refusal = refusal
        self.body = body
        #: Whether the second one's own answer comes later.
        self.runs_on = asyncio.Event()

    async def __call__(
        self,
        target: raw_target.RawTarget,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> bool:
        """Answers one request."""
        own = id_of(target.seen[-1])
        if number > 2:
            writer.write(success(own))
            return True
        first = id_of(target.seen[0])
        writer.write(written(self.refusal, first, self.body))
        if number == 2:
            await self.runs_on.wait()
            writer.write(success(own))
        return True


class RefusedThenRun:
    """Refuses the first send, again while the second one runs."""

    def __init__(self, refusal: bytes, answers_late: bool) -> None:
        """Refuses by `refusal`: status line and headers.

        `answers_late` says that the answer of the second send comes after the
        caller has given up.
        """
        self.refusal = refusal
        self.answers_late = answers_late
        self.runs = 0

    async def __call__(
        self,
        target: raw_target.RawTarget,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> bool:
        """Answers one send."""
        own = id_of(target.seen[-1])
        refusal = written(self.refusal, own)
        if number == 1:
            writer.write(refusal)
            self.first_writer = writer
            return True
        self.runs += 1
        # The copy belongs to the first send, on its connection.
        self.first_writer.write(refusal)
        await asyncio.sleep(0.05)
        if self.answers_late:
            await target.release.wait()
        writer.write(success(own))
        return True


class ForeignAnswerCase(unittest.IsolatedAsyncioTestCase):
    """One target, and what sends requests that may run once to it."""

    async def start(self, behaviour: raw_target.Behaviour) -> None:
        """Starts a target and what sends to it."""
        self.target = raw_target.RawTarget(behaviour)
        self.addAsyncCleanup(self.target.stop)
        self.address = await self.target.start()
        self.http = sender.Sender(1, 1000)
        self.addAsyncCleanup(self.http.close)
        self.send_on = exchange.TargetExchange(self.http)

    async def send(
        self, number: int, seconds: float = SECONDS
    ) -> request_sender.ExchangeResult:
        """Sends a request that may run once."""
        return await self.send_on(
            requests.incoming(request_id=f'r-{number}', method='POST'),
            ONCE,
            samples.target(address=self.address),
            seconds,
        )


class ForeignAnswerTests(ForeignAnswerCase):
    """A target writes an earlier answer once more on a kept connection."""

    async def test_repeated_refusal_is_not_this_requests(self) -> None:
        """It says nothing of the request, of the load, or of the owner."""
        for name, refusal in REFUSED.items():
            for body in (b'', b'refused'):
                with self.subTest(name=name, body=body):
                    await self.start(Repeating(refusal, body))
                    first = await self.send(1)
                    self.assertIsInstance(first.outcome, outcomes.NotRun)
                    second = await self.send(2)
                    self.assertEqual(
                        second, request_sender.ExchangeResult(LOST)
                    )
                    self.assertEqual(self.target.connections, 1)

    async def test_late_answer_reaches_no_later_request(self) -> None:
        """The request's own answer comes when the next one waits for its."""
        for body in (b'', b'refused'):
            with self.subTest(body=body):
                behaviour = Repeating(REFUSED['shed'], body)
                await self.start(behaviour)
                await self.send(1)
                await self.send(2)
                behaviour.runs_on.set()
                third = await self.send(3)
                assert isinstance(third.outcome, outcomes.Answered)
                self.assertEqual(third.outcome.body, b'own')
                self.assertEqual(self.target.connections, 2)
                self.assertEqual(len(self.target.seen), 3)

    async def test_request_that_waits_for_the_connection(self) -> None:
        """It gets a new one though the foreign answer was read whole."""
        behaviour = Repeating(REFUSED['shed'])
        await self.start(behaviour)
        await self.send(1)
        second = asyncio.create_task(self.send(2))
        third = asyncio.create_task(self.send(3))
        self.assertEqual((await second).outcome, LOST)
        self.assertIsInstance((await third).outcome, outcomes.Answered)
        self.assertEqual(self.target.connections, 2)

    async def test_bytes_after_a_whole_answer(self) -> None:
        """They belong to no request, before and after it was given back."""
        for pause in (0, 0.02):
            with self.subTest(pause=pause):
                await self.start(_answer_twice(pause))
                for number in (1, 2):
                    sent = await self.send(number)
                    assert isinstance(sent.outcome, outcomes.Answered)
                    self.assertEqual(sent.outcome.body, b'own')
                    await asyncio.sleep(0.04)
                self.assertEqual(self.target.connections, 2)


class SecondSendTests(ForeignAnswerCase):
    """A refused request goes to the same target again, under the same id."""

    async def test_late_copy_of_a_refusal_promises_nothing(self) -> None:
        """The second send runs, whatever is read of the first one's refusal."""
        for name, refusal in REFUSED.items():
            for answers_late in (False, True):
                with self.subTest(name=name, answers_late=answers_late):
                    behaviour = RefusedThenRun(refusal, answers_late)
                    await self.start(behaviour)
                    first = await self.send(1)
                    self.assertIsInstance(first.outcome, outcomes.NotRun)
                    second = await self.send(1, seconds=0.3)
                    self.assertEqual(behaviour.runs, 1)
                    self.assertNotIsInstance(second.outcome, outcomes.NotRun)

    async def test_caller_gets_the_answer_of_the_second_send(self) -> None:
        """It was 503 while the request ran."""
        await self.start(RefusedThenRun(REFUSED['misdirected'], False))
        await self.send(1)
        second = await self.send(1)
        assert isinstance(second.outcome, outcomes.Answered)
        self.assertEqual(second.outcome.body, b'own')


class CallerTests(unittest.IsolatedAsyncioTestCase):
    """What a caller is told of a request that may run once."""

    async def test_repeated_refusal_promises_nothing(self) -> None:
        """The caller gets 502, and no target gets the request again."""
        for name in ('shed', 'misdirected'):
            with self.subTest(name=name):
                target = raw_target.RawTarget(_answer_then(REFUSED[name]))
                self.addAsyncCleanup(target.stop)
                world = await self.start_with(await target.start())
                first = await world.ask('/claims/1', method='POST')
                self.assertEqual(first.status, 200)
                second = await world.ask('/claims/1', method='POST')
                self.assertEqual(second.status, 502)
                self.assertEqual(len(target.seen), 2)

    async def test_line_of_a_refusal_names_its_evidence(self) -> None:
        """Refusals of a target and of the instance can be told apart."""
        lines = recording.record(self)
        target = raw_target.RawTarget(_refuse_twice)
        self.addAsyncCleanup(target.stop)
        world = await self.start_with(await target.start())
        for path, status in (('/claims/1', 503), ('/nowhere', 404)):
            self.assertEqual((await world.ask(path)).status, status)
        await world.until(
            lambda: 'bytes after a whole answer' in _events(lines)
        )
        by_target, by_instance = (
            line.fields for line in lines if line.event == 'request'
        )
        self.assertEqual(by_instance['sends'], [])
        self.assertEqual(len(by_target['sends']), 1)
        send = by_target['sends'][0]
        self.assertEqual(send['target'], 'c1/1')
        self.assertEqual(send['status'], 503)
        self.assertEqual(send['evidence'], 'x-not-executed')
        self.assertEqual(send['outcome'], 'NotRun target_refused')
        self.assertEqual(send['earlier_uses'], 0)
        follows = lines[_events(lines).index('bytes after a whole answer')]
        self.assertEqual(follows.fields['connection'], send['connection'])
        self.assertEqual(follows.fields['call'], by_target['request'])
        self.assertIn('503', follows.fields['beginning'])

    async def start_with(self, address: str) -> deployment.Deployment:
        """Starts an instance; its one target of claims is at `address`."""
        world = deployment.Deployment()
        await world.start(instances=1)
        self.addAsyncCleanup(world.stop)
        listed = world.listed['c1']
        running = listed.running._replace(address=address)
        world.listed['c1'] = listed._replace(running=running)
        world.write_entry('c1')
        await world.until(lambda: _listed_at(world, address))
        return world


def _listed_at(world: deployment.Deployment, address: str) -> bool:
    reader = world.entries[0].parts.reader
    listed = reader.known.directory.targets
    return listed['c1'].address == address


def _events(lines: list[recording.Recorded]) -> list[str]:
    return [line.event for line in lines]


async def _refuse_twice(
    target: raw_target.RawTarget,
    writer: asyncio.StreamWriter,
    _: int,
) -> bool:
    """Refuses a request, and once more a moment later."""
    refusal = written(REFUSED['shed'], id_of(target.seen[-1]))
    writer.write(refusal)
    await asyncio.sleep(0.02)
    writer.write(refusal)
    return True


def _answer_twice(pause: float) -> raw_target.Behaviour:
    """Returns a behaviour that answers, and once more after seconds."""

    async def behave(  # noqa: WPS430
        target: raw_target.RawTarget,
        writer: asyncio.StreamWriter,
        _: int,
    ) -> bool:
        own = success(id_of(target.seen[-1]))
        writer.write(own)
        if pause:
            await asyncio.sleep(pause)
        writer.write(own)
        return True

    return behave


def _answer_then(refusal: bytes) -> raw_target.Behaviour:
    """Returns a behaviour that answers once, and then refuses that one."""

    async def behave(  # noqa: WPS430
        target: raw_target.RawTarget,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> bool:
        first = id_of(target.seen[0])
        writer.write(success(first) if number == 1 else written(refusal, first))
        return True

    return behave
