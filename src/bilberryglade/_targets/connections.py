"""Connections to targets that are reused only after a call's own answer.

A connection carries a name, by which the answer to a call is known, only once:
an answer to an earlier call of the same name may still arrive on it.
"""

import asyncio
import contextvars
import itertools
import select
import socket
import struct
import typing
from collections import abc
from urllib import parse as urls

import aiosonic
import loguru
from aiosonic import connection, connectors, exceptions, pools

from bilberryglade._http import resolver, sockets
from bilberryglade._targets import lines, marks
from bilberryglade._values import clock, outcomes, request_progress

#: Idle time after which a kept connection is closed instead of used.
IDLE_MS: typing.Final = 2000
#: Calls that one connection carries; the names of all are kept.
MOST_USES: typing.Final = 256
#: Sent bytes that are not acknowledged for so long end a connection.
SILENT_MS: typing.Final = 3000
#: Seconds after a refusal for which its connection is watched for more bytes.
FOLLOW_SECONDS: typing.Final = 1.0
#: Of bytes that belong to no exchange so many are told, at most.
FOLLOWING_BYTES: typing.Final = 120
#: Statuses with which a target may say that it did not run a request.
REFUSING_STATUSES: typing.Final = frozenset((400, 421, 429, 503))
#: Longest head of an answer, and longest chunk of a body, in bytes: what is
#: longer is held in memory until it ends, and may have no end.
MOST_HEAD_BYTES: typing.Final = 65_536
MOST_CHUNK_BYTES: typing.Final = 16_777_216
#: Value of SO_LINGER: on, for 0 seconds.
RESET_ON_CLOSE: typing.Final = struct.pack('ii', 1, 0)
CRLF: typing.Final = b'\r\n'
#: Headers that tell where a body ends.
FRAMING_HEADERS: typing.Final = (b'content-length:', b'transfer-encoding:')
#: Framing headers, without white space, of an answer that has no body.
EMPTY_BODY: typing.Final = frozenset((b'content-length:0',))


class SentTwiceError(exceptions.AiosonicError):  # type: ignore[misc]
    """The library tried to send one request over a second connection."""


class ForeignAnswerError(exceptions.AiosonicError):  # type: ignore[misc]
    """What came as the answer to a call belongs to another one."""


class LateError(exceptions.AiosonicError):  # type: ignore[misc]
    """The time of a call was over before its first byte went out."""


class UnwantedError(exceptions.AiosonicError):  # type: ignore[misc]
    """The caller had left before the first byte of its request went out."""


class Exchange:
    """What one attempt has put on the wire, and what answers it."""

    def __init__(
        self,
        marked: marks.Marks,
        until: float,
        request: request_progress.Progress | None = None,
        name: str = '',
    ) -> None:
        """Starts with nothing sent; answers to it bear `marked`.

        After `until`, in seconds of `clock.now`, its first byte is not sent.
        `request` is the caller's request that it carries, if any. `name` is
        what the target knows the call by; '' if it has no name.
        """
        self.marked = marked
        self.until = until
        self.request = request
        self.name = name
        #: The stream that carries the request; None before the first byte.
        self.writer: object = None
        self.carrier = request_progress.Carrier()

    @property
    def is_sent(self) -> bool:
        """Whether any byte of the request was handed to a socket."""
        return self.writer is not None

    @property
    def is_wanted(self) -> bool:
        """Whether nobody has left who waits for the answer."""
        return self.request is None or not self.request.has_left()

    def end(self) -> None:
        """Lets no first byte go out any more, whatever still runs of it."""
        self.until = float('-inf')

    def begin(self, writer: object, carrier: request_progress.Carrier) -> None:
        """Takes the stream that gets the next bytes, and what it belongs to.

        Raises an error if another one got the first, or if the first would
        come too late or for nobody.
        """
        if self.is_sent:
            if self.writer is not writer:
                raise SentTwiceError
            return
        if clock.now() > self.until:
            raise LateError
        if not self.is_wanted:
            raise UnwantedError
        if self.request is not None:
            self.request.note_sent(carrier)
        self.carrier = carrier
        self.writer = writer


class Uses:
    """Which calls one stream to a target has carried."""

    def __init__(self, number: int = 0) -> None:
        """Starts with none; `number` is that of the connection."""
        #: As the next call sees it.
        self.carrier = request_progress.Carrier(number)
        self.names: set[str] = set()
        #: Name of the last call; '' if it had none.
        self.last_name = ''

    def add(self, name: str) -> None:
        """Counts a call; `name` is '' if it has none."""
        if name:
            self.names.add(name)
        self.last_name = name
        count = self.carrier.earlier_uses + 1
        self.carrier = self.carrier._replace(earlier_uses=count)


#: Numbers of the connections of this process.
numbers: typing.Final = itertools.count(1)
current: typing.Final[contextvars.ContextVar[Exchange | None]] = (
    contextvars.ContextVar('current', default=None)
)


class TargetConnection(connection.Connection):  # type: ignore[misc]
    """A connection that is kept only if its last answer was read whole.

    The library also keeps connections whose exchange was cut short and
    answers without framing; the next request would read their rest.
    """

    def __init__(self, pool: pools.BasePool) -> None:
        """Starts without a connection."""
        super().__init__(pool)
        #: Of the stream that is open.
        self.uses = Uses()
        self.reads_headers = False
        #: Bytes of the head, and of the trailers, that are being read.
        self.head_size = 0
        #: Status line of the answer that is being read.
        self.status_line = b''
        #: Header lines of the answer that is being read.
        self.head: list[bytes] = []
        #: Whether the size of the last chunk, 0, was read.
        self.is_last_read = False
        #: Framing headers of the answer that is being read.
        self.framing: set[bytes] = set()

    @property
    def reused(self) -> bool:
        """Never: the library repeats calls that were lost on a reused one."""
        return False

    @reused.setter
    def reused(self, _: bool) -> None:
        """Keeps what `reused` returns."""

    def reuse(self, urlparsed: urls.ParseResult, verify: bool) -> bool:
        """Refuses a connection that was closed or holds unread bytes.

        One that has carried a call of the same name is refused, too.
        """
        if self.reader is None or self.reader.at_eof():
            return False
        if not super().reuse(urlparsed, verify):
            return False
        exchange = current.get()
        if exchange is not None and exchange.name in self.uses.names:
            return False
        if not self._has_unread() and not self._has_news():
            return True
        if self._has_unread() or not sockets.has_ended(self._socket()):
            self._tell_what_follows()
        return False

    async def connect(
        self,
        *to: typing.Any,
        **how: typing.Any,
    ) -> None:
        """Connects for an exchange of which nothing was sent yet."""
        exchange = current.get()
        if exchange is not None and exchange.is_sent:
            raise SentTwiceError
        await super().connect(*to, **how)

    def write(self, data: bytes) -> None:  # noqa: WPS110
        """Writes for the current exchange, over one connection only."""
        exchange = current.get()
        if exchange is not None:
            is_first = not exchange.is_sent
            exchange.begin(self.writer, self.uses.carrier)
            if is_first:
                self.uses.add(exchange.name)
        super().write(data)

    async def readuntil(self, separator: bytes = b'\n') -> bytes:
        """Reads the status line; header lines follow."""
        self.reads_headers = True
        self.is_last_read = False
        self.head_size = 0
        self.head = []
        self.framing = set()
        self.status_line = lines.status(await super().readuntil(separator))
        return self.status_line

    async def readline(self) -> bytes:
        """Reads a line of a head, or what stands between chunks.

        After the last chunk this is the empty line that ends its trailers.
        """
        line = lines.whole(await self._line())
        if not self.reads_headers:
            return self._size_of(line)
        self._take_header(line)
        while self.is_last_read and self.reads_headers:
            line = lines.whole(await self._line())
            self._take_header(line)
        return line

    async def readexactly(self, size: int) -> bytes:
        """Reads a piece of a body, unless it is too long to be kept.

        A chunk comes with the line end that follows it.
        """
        if size > MOST_CHUNK_BYTES:
            raise exceptions.HttpParsingError('chunk too long')
        piece = bytes(await super().readexactly(size))
        if self.blocked and not piece.endswith(CRLF):
            raise exceptions.HttpParsingError('chunk without its end')
        return piece

    def release(self) -> None:
        """Closes the connection unless a framed answer was read whole.

        An answer with a body holds its connection blocked until that was
        read; one without is whole after its headers if they say so.
        """
        is_empty = not self.reads_headers and self.framing == EMPTY_BODY
        if not self.blocked and not is_empty:
            self.close()
        is_refused = _status_of(self.status_line) in REFUSING_STATUSES
        if is_refused and self.reader is not None:
            asyncio.get_running_loop().call_later(
                FOLLOW_SECONDS, self._look_after, self.uses.carrier
            )
        super().release()

    async def _line(self) -> bytes:
        """Returns the next line, as `readline` of the library does.

        A head usually comes in one piece: what was read of it is there, and a
        line is taken from that without the calls that would wait for more.
        """
        reader = self.reader
        if reader is not None and reader.exception() is None:
            buffer = reader._buffer  # noqa: WPS437
            size = buffer.find(b'\n') + 1
            if 0 < size <= reader._limit:  # noqa: WPS437
                line = bytes(buffer[:size])
                del buffer[:size]  # noqa: WPS420
                reader._maybe_resume_transport()  # noqa: WPS437
                return line
        return bytes(await connection.Connection.readline(self))

    def _look_after(self, carrier: request_progress.Carrier) -> None:
        """Tells of bytes after a refusal, unless another exchange began."""
        if self.reader is None or self.uses.carrier != carrier:
            return
        if self._has_unread():
            self._tell_what_follows()

    def _tell_what_follows(self) -> None:
        """Writes a line on what came after the last whole answer."""
        unread = self.reader._buffer if self.reader else b''  # noqa: WPS437
        loguru.logger.bind(
            connection=self.uses.carrier.connection,
            uses=self.uses.carrier.earlier_uses,
            call=self.uses.last_name,
            beginning=bytes(unread[:FOLLOWING_BYTES]).decode('latin-1'),
        ).warning('bytes after a whole answer')

    def _has_unread(self) -> bool:
        """Tells whether the loop has read bytes that no exchange took."""
        return bool(self.reader and self.reader._buffer)  # noqa: WPS437

    def _has_news(self) -> bool:
        """Tells whether bytes or an end have come that the loop hasn't read."""
        return bool(sockets.events_on(self._socket(), select.POLLIN))

    def _socket(self) -> sockets.HasDescriptor:
        raw: sockets.HasDescriptor = self.writer.get_extra_info('socket')
        return raw

    def _check_marks(self) -> None:
        """Closes the connection if the answer belongs to another call.

        The call's own answer may follow, and the next call would read it.
        """
        exchange = current.get()
        if exchange is None:
            return
        headers = tuple(map(_header_of, self.head))
        status = _status_of(self.status_line)
        if marks.are_own(exchange.marked, status, headers):
            return
        self.close()
        beginning = b''.join((self.status_line, *self.head))
        raise ForeignAnswerError(beginning[:FOLLOWING_BYTES].decode('latin-1'))

    def _take_header(self, line: bytes) -> None:
        """Takes in a line of a head or of trailers, or its end."""
        self.head_size += len(line)
        if self.head_size > MOST_HEAD_BYTES:
            raise exceptions.HttpParsingError('head without end')
        if lines.is_end(line):
            self.reads_headers = False
            if not self.is_last_read:
                self._check_marks()
            return
        self.head.append(line)
        if line.lower().startswith(FRAMING_HEADERS):
            self.framing.add(b''.join(line.lower().split()))

    def _size_of(self, line: bytes) -> bytes:
        """Returns the size of a chunk; trailers follow the last one's."""
        size = lines.chunk_size(line)
        self.is_last_read = not size.strip(b'0')
        self.reads_headers = self.is_last_read
        return size

    async def _connection_made(self) -> None:  # noqa: WPS437
        """Makes the connection end at once when it is closed or goes silent.

        Bytes that a partition holds up are lost with the reset; closed in
        the usual way they would still arrive when the partition heals.
        """
        await super()._connection_made()
        self.uses = Uses(next(numbers))
        self.requests_count = 0
        raw = self.writer.get_extra_info('socket')
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_MS)


class FreshConnection(TargetConnection):
    """A connection that carries one exchange."""

    def reuse(self, urlparsed: urls.ParseResult, verify: bool) -> bool:
        """Never reuses."""
        return False

    def keep_alive(self) -> None:
        """Closes after the answer, whatever the target offers."""
        self.keep = False


def _status_of(line: bytes) -> int:
    """Returns the status in a line that the library took in, 0 if odd."""
    _, _, rest = line.partition(b' ')
    status = rest.partition(b' ')[0].strip()
    return int(status) if status.isdigit() else 0


def _header_of(line: bytes) -> outcomes.Header:
    """Returns a header line as the library reads it."""
    name, _, text = line.decode().partition(':')
    return outcomes.Header(name.lower(), text.strip())


def http_client(
    connection_class: abc.Callable[[pools.BasePool], connection.Connection],
    size: int,
    idle_ms: int = IDLE_MS,
) -> aiosonic.HTTPClient:
    """Returns a client with at most `size` connections of one class."""
    pool = pools.PoolConfig(
        size=size, max_conn_requests=MOST_USES, max_conn_idle_ms=idle_ms
    )
    return aiosonic.HTTPClient(
        connectors.TCPConnector(
            pool_configs={':default': pool},
            connection_cls=connection_class,
            resolver=resolver.IpResolver(),
        ),
    )
