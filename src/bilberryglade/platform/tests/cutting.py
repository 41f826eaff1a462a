"""A target that breaks off, behind a whole instance, and a caller of both."""

import asyncio
import contextlib
import itertools
import socket
import struct
import typing
from unittest import mock

from bilberryglade._instance import entry
from bilberryglade._targets import standing
from bilberryglade._targets.tests import raw_target
from bilberryglade._values import outcomes
from bilberryglade.platform import headers
from bilberryglade.platform.tests import deployment, samples

SERVICE: typing.Final = 'other'
REQUEST_ID: typing.Final = 'cut-1'
SIGNATURE: typing.Final = 'raw.1'
#: Seconds for an answer, and milliseconds that a caller waits by its word.
CALLER_SECONDS: typing.Final = 3.0
DEADLINE_MS: typing.Final = 1000
#: Bytes that a target writes without end; buffers of sockets take the most.
MOST_SENT: typing.Final = 20_000_000
#: What identifies an answer as the target's own.
MARKS: typing.Final = b''.join(
    (
        b'X-Request-Id: cut-1\r\n',
        b'X-Response-Signature: raw.1\r\n',
    )
)
#: Value of SO_LINGER: on, for 0 seconds.
RESET_ON_CLOSE: typing.Final = struct.pack('ii', 1, 0)
ROUTE: typing.Final = (
    'r-raw',
    'host.example',
    '/raw/',
    'unsafe',
    '1200ms',
    None,
    1,
    SERVICE,
    2,
    True,
    None,
)


class Seen(typing.NamedTuple):
    """What a caller read until its connection ended."""

    #: 0 if no whole head came.
    status: int
    headers: tuple[outcomes.Header, ...]
    body: bytes

    @property
    def length(self) -> str:
        """The length by which a caller takes the body for complete."""
        return headers.find(self.headers, 'content-length')

    @property
    def signature(self) -> str:
        """The mark that says that a target gave this answer."""
        return headers.find(self.headers, headers.SIGNATURE)


class Script(typing.NamedTuple):
    """How the target answers, and how it ends the connection."""

    raw: bytes
    ends: bool = False
    is_reset: bool = False
    #: Whether each byte is written alone.
    is_slow: bool = False
    #: Written again and again until the other side closes.
    more: bytes = b''
    #: Seconds before each of these.
    pause: float = 0


class CutTarget:
    """A raw target that answers by the script of the moment."""

    def __init__(self) -> None:
        """Answers nothing yet."""
        self.script = Script(b'')
        #: Bytes written without end, and whether the other side closed then.
        self.sent = 0
        self.closed = asyncio.Event()
        #: Whether the last request came over the connection of the one before.
        self.is_kept = False
        self.writer: asyncio.StreamWriter | None = None
        self.raw = raw_target.RawTarget(self.behave)

    async def behave(
        self,
        target: raw_target.RawTarget,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> bool:
        """Writes the script, then goes on or ends the connection."""
        script = self.script
        self.is_kept = writer is self.writer
        self.writer = writer
        step = 1 if script.is_slow else max(len(script.raw), 1)
        for place in range(0, len(script.raw), step):
            writer.write(script.raw[place : place + step])
            await asyncio.sleep(0)
        if script.more:
            await self._flood(script, writer)
        if script.is_reset:
            raw = writer.get_extra_info('socket')
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        return not script.ends

    async def _flood(
        self,
        script: Script,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while self.sent < MOST_SENT:
                writer.write(script.more)
                self.sent += len(script.more)
                await writer.drain()
                await asyncio.sleep(script.pause)
            return
        self.closed.set()


class Way:
    """One instance between a caller and the target that breaks off."""

    def __init__(self) -> None:
        """Nothing runs."""
        self.world = deployment.Deployment()
        self.target = CutTarget()
        self.numbers = itertools.count(1)

    async def start(self) -> None:
        """Starts all, and waits until the target is in use."""
        address = await self.target.raw.start()
        await self.world.start(instances=1)
        routes = {
            'columns': list(samples.ROUTE_COLUMNS),
            'rows': [list(ROUTE)],
        }
        changed = samples.configuration(8, routes=routes)
        self.world.write('keyed.op', 'config', changed)
        own = samples.entry(service=SERVICE, address=address)
        self.world.write('keyed.servers', 'raw', own)
        parts = self.world.entries[0].parts
        await self.world.until(
            lambda: (
                self.world.versions() == {8}
                and bool(parts.reader.known.in_use(SERVICE))
            )
        )

    async def stop(self) -> None:
        """Ends all; no balancer needs the notice of a planned stop."""
        with mock.patch.object(entry, 'NOTICE_SECONDS', 0):
            await self.world.stop()
        await self.target.raw.stop()

    async def ask(
        self,
        script: Script,
        method: str = 'GET',
        deadline_ms: int = DEADLINE_MS,
        request_id: str = REQUEST_ID,
    ) -> Seen:
        """Returns what a caller sees while the target keeps to `script`."""
        self.target.script = script
        self.target.sent = 0
        self.target.closed.clear()
        address = self.world.address(0)
        reader, writer = await asyncio.open_connection(
            address, deployment.CALLERS_PORT
        )
        # A path of its own: repeats of what felled targets are refused.
        path = f'/raw/{next(self.numbers)}'
        writer.write(
            f'{method} {path} HTTP/1.1\r\nhost: host.example\r\n'
            f'{headers.REQUEST_ID}: {request_id}\r\n'
            f'{headers.DEADLINE}: {deadline_ms}\r\nconnection: close\r\n\r\n'.encode()
        )
        async with asyncio.timeout(CALLER_SECONDS):
            raw = await reader.read()
        writer.close()
        return _seen(raw)


def without_pauses() -> contextlib.ExitStack:
    """Uses targets at once after a lost answer, until the stack is closed.

    With pauses the target of the next case would get nothing for a while.
    """
    stack = contextlib.ExitStack()
    for name in ('PAUSE_SECONDS', 'LONGEST_PAUSE_SECONDS'):
        stack.enter_context(mock.patch.object(standing, name, 0))
    return stack


def _seen(raw: bytes) -> Seen:
    head, end, body = raw.partition(b'\r\n\r\n')
    if not end:
        return Seen(0, (), raw)
    first, *lines = head.decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines)
    found = tuple(
        outcomes.Header(name.lower(), text.strip()) for name, _, text in pairs
    )
    return Seen(int(first.split(' ')[1]), found, body)
