"""A raw TCP server that answers as a test says and counts what arrives."""

import asyncio
import itertools
import typing
from collections import abc

from bilberryglade._targets import client
from bilberryglade._values import outcomes, requests

#: Numbers of requests; like those of callers, each has an id of its own.
NUMBERS: typing.Final = itertools.count(1)

Behaviour: typing.TypeAlias = abc.Callable[
    ['RawTarget', asyncio.StreamWriter, int],
    abc.Awaitable[bool],
]


class RawTarget:
    """Reads whole requests; `behaviour` answers and says whether to go on."""

    def __init__(self, behaviour: Behaviour) -> None:
        """Answers each request by `behaviour`."""
        self.behaviour = behaviour
        self.seen: list[bytes] = []
        self.connections = 0
        self.release = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Listens and returns the address."""
        self.server = await asyncio.start_server(self.accept, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    async def stop(self) -> None:
        """Closes everything."""
        self.release.set()
        assert self.server is not None
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serves one connection."""
        self.connections += 1
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (EOFError, OSError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Reads requests until the behaviour ends the connection."""
        going_on = True
        while going_on:
            head = await reader.readuntil(b'\r\n\r\n')
            for line in head.split(b'\r\n'):
                if line.lower().startswith(b'content-length:'):
                    await reader.readexactly(int(line.split(b':')[1]))
            self.seen.append(head)
            going_on = await self.behaviour(self, writer, len(self.seen))


def answering(raw: bytes, ends: bool = True) -> Behaviour:
    """Returns a behaviour that writes `raw` and may end the connection."""

    async def behave(  # noqa: WPS430
        target: RawTarget,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> bool:
        writer.write(raw)
        await writer.drain()
        return not ends

    return behave


def whole(body: bytes) -> bytes:
    """Returns a whole answer with a length."""
    return b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s' % (
        len(body),
        body,
    )


def request(
    method: str = 'POST',
    repeatable: bool = False,
    body: bytes = b'{}',
    headers: tuple[outcomes.Header, ...] = (),
    request_id: str = '',
) -> requests.RoutedRequest:
    """Returns a request for the target."""
    return requests.RoutedRequest(
        request_id=request_id or f'r-{next(NUMBERS)}',
        organisation='office',
        service='claims',
        slot=1,
        key='',
        method=method,
        path='/claims;v=1?a=b',
        headers=headers,
        body=body,
        deadline=0,
        repeatable=repeatable,
        idempotency_digest='',
    )


GRANT: typing.Final = client.GrantHeaders(1, 7)
LIMITS: typing.Final = client.Limits(connections=4, answer_bytes=1000)
