"""An upstream as the platform's protocol describes it, over raw HTTP/1.1."""

import asyncio
import contextlib
import json
import time
import typing


class Arrival(typing.NamedTuple):
    """A request that an upstream has begun to run."""

    at: float
    upstream: str
    method: str
    #: Path and query as they came over the wire.
    path: str
    headers: dict[str, str]
    body: bytes


class Held(typing.NamedTuple):
    """Keys that were granted."""

    first: int
    last: int
    fence: int
    until: float


class Upstream:
    """One start of an upstream: its own id, slots and queue."""

    def __init__(
        self,
        name: str,
        host: str,
        *,
        sharded: bool = False,
        slots: int = 8,
        work_seconds: float = 0.01,
        on_run: typing.Callable[[Arrival], None] = lambda _: None,
        crashes_on: str = '',
        on_crash: typing.Callable[['Upstream', Arrival], None] = lambda *_: None,
    ) -> None:
        self.name = name
        self.host = host
        self.port = 0
        self.sharded = sharded
        self.slots = slots
        self.work_seconds = work_seconds
        self.on_run = on_run
        #: A request with this word in its path crashes the upstream.
        self.crashes_on = crashes_on
        self.on_crash = on_crash
        self.born = int(time.time() * 1000)
        self.busy = 0
        self.places = asyncio.Semaphore(slots)
        self.held: list[Held] = []
        self.seen: list[Held] = []
        self.connections: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        return f'{self.host}:{self.port}'

    async def start(self) -> None:
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Ends at once: connections are reset, new ones refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections.add(writer)
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while await self._exchange(reader, writer):
                pass
        self.connections.discard(writer)
        writer.close()

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b'\r\n\r\n')
        line, *rows = head[:-4].decode('latin-1').split('\r\n')
        method, path, _ = line.split(' ')
        headers: dict[str, str] = {}
        for row in rows:
            name, _, text = row.partition(':')
            headers[name.strip().lower()] = text.strip()
        body = b''
        if headers.get('transfer-encoding', '').lower() == 'chunked':
            while True:
                size = int((await reader.readline()).split(b';')[0], 16)
                piece = await reader.readexactly(size + 2)
                if not size:
                    break
                body += piece[:-2]
        elif 'content-length' in headers:
            body = await reader.readexactly(int(headers['content-length']))
        status, extra, answer = await self._answer(method, path, headers, body)
        if self.server is None:
            return False
        out = [f'HTTP/1.1 {status} X', f'Content-Length: {len(answer)}']
        out += [f'{name}: {text}' for name, text in extra.items()]
        writer.write('\r\n'.join(out).encode() + b'\r\n\r\n' + answer)
        await writer.drain()
        return True

    async def _answer(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, str], bytes]:
        if path.startswith('/bilberryglade/') and method == 'POST':
            return self._order(path.rpartition('/')[2], json.loads(body))
        load = {'X-Server-Load': f'{self.busy},0,{self.slots},100'}
        if path == '/health':
            return 200, {'X-Instance-Id': self.name, **load}, b''
        request_id = headers.get('x-request-id', '')
        echo = {'X-Request-Id': request_id}
        if not request_id:
            return 400, {'X-Not-Executed': '1'}, b''
        named = headers.get('x-target-instance', self.name)
        key = headers.get('x-shard-key', '')
        if named != self.name or (self.sharded and not self._holds(key)):
            return 421, {**echo, 'X-Not-Executed': '1'}, b''
        async with self.places:
            self.busy += 1
            arrival = Arrival(
                time.monotonic(), self.name, method, path, headers, body
            )
            self.on_run(arrival)
            if self.crashes_on and self.crashes_on in path:
                self.crash()
                self.on_crash(self, arrival)
                return 500, echo, b''
            await asyncio.sleep(self.work_seconds)
            self.busy -= 1
        signed = {**echo, **load, 'X-Response-Signature': f'{self.name}.{request_id}'}
        return 200, signed, f'{self.name} ran {request_id}'.encode()

    def _holds(self, text: str) -> bool:
        if not text:
            return False
        key, now = int(text), time.monotonic()
        return any(
            held.first <= key <= held.last and held.until > now
            for held in self.held
        )

    def _order(
        self, name: str, order: dict[str, typing.Any]
    ) -> tuple[int, dict[str, str], bytes]:
        first, last, fence = order['from'], order['to'], order['fence']
        overlapping = [
            one for one in self.seen if one.first <= last and one.last >= first
        ]
        if name == 'grant' and any(one.fence > fence for one in overlapping):
            return 409, {}, b''
        self.seen = [
            one
            for one in self.seen
            if (one.first, one.last, one.fence) != (first, last, fence)
        ]
        self.seen.append(Held(first, last, fence, 0))
        kept: list[Held] = []
        for held in self.held:
            if held.last < first or held.first > last:
                kept.append(held)
                continue
            if held.first < first:
                kept.append(held._replace(last=first - 1))
            if held.last > last:
                kept.append(held._replace(first=last + 1))
        self.held = kept
        if name == 'release':
            return 200, {'X-Handover': f'{self.name}-{first}-{fence}'}, b''
        text = order['hold_time']
        seconds = (
            float(text[:-2]) / 1000
            if text.endswith('ms')
            else float(text[:-1])
        )
        self.held.append(Held(first, last, fence, time.monotonic() + seconds))
        return 200, {}, b''
