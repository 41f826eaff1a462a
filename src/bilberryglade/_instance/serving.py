"""HTTP servers within bounds: headers, connections, time of arrival."""

import asyncio
import collections
import contextlib
import functools
import typing
from collections import abc

import uvicorn
from uvicorn.protocols.http import httptools_impl

from bilberryglade._http import sockets
from bilberryglade._instance import joining
from bilberryglade._values import request_progress
from bilberryglade_schema import settings

MILLISECONDS: typing.Final = 1000
DEFAULT_NOTICE_MS: typing.Final = 500
ARRIVAL_GRACE_SECONDS: typing.Final = 0.2
#: Seconds between looks at a caller of whom nothing is read meanwhile.
LOOK_SECONDS: typing.Final = 0.1
#: Seconds between two settings of the date in the headers of answers, which
#: has whole seconds.
DATE_SECONDS: typing.Final = 1.0
#: Seconds from the word to end until the listener is closed; any that a timer
#: is needed for.
CLOSE_SECONDS: typing.Final = 0.01
#: Extension of the scope: a function that tells whether the caller has left.
HAS_LEFT: typing.Final = 'bilberryglade.has_left'
#: Extension of the scope: a function that returns a future which is done once
#: the caller's connection has ended.
LEAVING: typing.Final = 'bilberryglade.leaving'
CLOSE_HEADER: typing.Final = (b'connection', b'close')
DEFAULT_HEADER_BYTES: typing.Final = 65_536
DEFAULT_CONNECTIONS: typing.Final = 4096
TOO_LARGE_HEAD: typing.Final = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'content-length: 0\r\nconnection: close\r\n\r\n'
)


Scope: typing.TypeAlias = typing.Any
Message: typing.TypeAlias = abc.MutableMapping[str, typing.Any]
Receive: typing.TypeAlias = abc.Callable[[], abc.Awaitable[Message]]
Send: typing.TypeAlias = abc.Callable[[Message], abc.Awaitable[None]]
Application: typing.TypeAlias = abc.Callable[
    [Scope, Receive, Send],
    abc.Awaitable[None],
]


class Bounds(typing.NamedTuple):
    """What a server takes from one connection, and from how many."""

    #: Bytes of a request line and its headers together.
    header_bytes: int
    connections: int
    #: Seconds within which a whole request must arrive.
    arrival_seconds: float
    #: Seconds that requests in flight may take after a planned stop.
    stop_seconds: int


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """One connection, which is closed once it goes beyond its bounds."""

    def __init__(
        self,
        *args: typing.Any,
        bounds: Bounds,
        **named: typing.Any,
    ) -> None:
        """Takes the arguments of the base class, and the bounds."""
        super().__init__(*args, **named)
        self.bounds = bounds
        self.in_head = True
        #: Whether the headers of a request have arrived.
        self.has_begun = False
        self.head_bytes = 0
        self.arrival: asyncio.TimerHandle | None = None
        #: Requests without a whole answer, in order; the first is at work.
        self.unanswered: collections.deque[
            httptools_impl.RequestResponseCycle
        ] = collections.deque()
        self.look: asyncio.TimerHandle | None = None
        #: Done once the connection has ended; made for the request at work.
        self.leaving: asyncio.Future[None] | None = None

    def connection_made(  # type: ignore[override]
        self,
        transport: asyncio.Transport,
    ) -> None:
        """Begins to wait for a request."""
        joining_writes = joining.JoiningTransport(transport, self.loop)
        super().connection_made(typing.cast(asyncio.Transport, joining_writes))
        self._wait_for_arrival()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the wait, and tells every request that its caller has left."""
        self._end_wait()
        super().connection_lost(exc)
        for cycle in self.unanswered:
            cycle.disconnected = True
            cycle.message_event.set()
        if self.leaving is not None and not self.leaving.done():
            self.leaving.set_result(None)

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Counts bytes until the headers are complete."""
        if self.in_head:
            self.head_bytes += len(data)
        super().data_received(data)
        if self.in_head and self.head_bytes > self.bounds.header_bytes:
            if not self.transport.is_closing():
                self.transport.write(TOO_LARGE_HEAD)
                self.transport.close()

    def on_message_begin(self) -> None:
        """Notes that the headers of a request begin."""
        self.in_head = True
        if self.arrival is None:
            self._wait_for_arrival()
        super().on_message_begin()
        extensions: typing.Any = {
            HAS_LEFT: self.has_left,
            LEAVING: self.wait_for_leaving,
        }
        self.scope['extensions'] = extensions

    def on_headers_complete(self) -> None:
        """Notes that the headers are over."""
        self.in_head = False
        self.has_begun = True
        self.head_bytes = 0
        super().on_headers_complete()
        self.unanswered.append(self.cycle)
        self._watch()

    def on_response_complete(self) -> None:
        """Notes that the request at work has its answer."""
        self.unanswered.popleft()
        super().on_response_complete()

    def has_left(self) -> bool:
        """Tells whether the caller has closed, whether that was read or not."""
        if self.transport.is_closing():
            return True
        return sockets.has_ended(self.transport.get_extra_info('socket'))

    def wait_for_leaving(self) -> asyncio.Future[None]:
        """Returns what is done once the connection has ended.

        It reads on, as waiting for a message does: the end would not be seen.
        """
        self.leaving = self.loop.create_future()
        if self.transport.is_closing():
            self.leaving.set_result(None)
        else:
            self.flow.resume_reading()
        return self.leaving

    def on_message_complete(self) -> None:
        """Notes that the whole request has arrived."""
        self._end_wait()
        super().on_message_complete()

    def shutdown(self) -> None:
        """Ends the connection, but not under a request on its way.

        A connection that has had no request yet gets a moment for it.
        """
        if self.has_begun:
            super().shutdown()
            return
        self.loop.call_later(ARRIVAL_GRACE_SECONDS, self._end_unused)

    def _watch(self) -> None:
        """Looks for the caller's leaving while another request of it waits.

        Nothing more is read then, so the loop does not see the close.
        """
        if self.look is None and self.pipeline:
            self.look = self.loop.call_later(LOOK_SECONDS, self._look)

    def _look(self) -> None:
        self.look = None
        if self.transport.is_closing():
            return
        if self.pipeline and self.has_left():
            self.transport.abort()
            return
        self._watch()

    def _end_unused(self) -> None:
        if not self.has_begun:
            self.transport.close()

    def _wait_for_arrival(self) -> None:
        self.arrival = self.loop.call_later(
            self.bounds.arrival_seconds,
            self._close_late,
        )

    def _end_wait(self) -> None:
        if self.arrival is not None:
            self.arrival.cancel()
            self.arrival = None

    def _close_late(self) -> None:
        self.arrival = None
        self.transport.close()


class Server(uvicorn.Server):
    """A server that leaves signals to the instance.

    The library looks ten times a second whether it is to end; an instance has
    three servers, and these looks were most of what woke it while idle.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        """Takes the configuration of the server."""
        #: Set when the server is to end; None while it does not run.
        self.ending: asyncio.Event | None = None
        self.is_ending = False
        super().__init__(config)

    @property
    def should_exit(self) -> bool:
        """Whether the server is to end."""
        return self.is_ending

    @should_exit.setter
    def should_exit(self, is_ending: bool) -> None:
        """Ends the server at once, or takes that back."""
        self.is_ending = is_ending
        if is_ending and self.ending is not None:
            self.ending.set()

    async def main_loop(self) -> None:
        """Sets the date of answers until the server is to end."""
        self.ending = asyncio.Event()
        while not await self.on_tick(0):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DATE_SECONDS):
                    await self.ending.wait()
            if self.is_ending:
                # The wake of a timer comes after connections that the same
                # turn of the loop accepts; before them, they would be reset.
                await asyncio.sleep(CLOSE_SECONDS)

    @contextlib.contextmanager
    def capture_signals(self) -> abc.Iterator[None]:
        """Captures nothing."""
        yield


def has_left_of(scope: Scope) -> abc.Callable[[], bool]:
    """Returns the function of a request's scope that tells of its caller.

    Of another server's scope nobody is known to have left.
    """
    extensions = scope.get('extensions') or {}
    has_left: abc.Callable[[], bool] = extensions.get(
        HAS_LEFT, request_progress.never
    )
    return has_left


def leaving_of(scope: Scope) -> asyncio.Future[None] | None:
    """Returns what is done once the caller of a request has left.

    None if the server of the scope has no such word.
    """
    extensions = scope.get('extensions') or {}
    wait: abc.Callable[[], asyncio.Future[None]] | None
    wait = extensions.get(LEAVING)
    return None if wait is None else wait()


def closing(
    application: Application,
    is_stopping: abc.Callable[[], bool],
) -> Application:
    """Returns `application`, which ends connections during a planned stop."""

    async def serve(scope: Scope, receive: Receive, send: Send) -> None:  # noqa: WPS430
        async def send_closing(message: Message) -> None:  # noqa: WPS430
            if message['type'] == 'http.response.start' and is_stopping():
                headers = [*message.get('headers', ()), CLOSE_HEADER]
                message = {**message, 'headers': headers}
            await send(message)

        await application(scope, receive, send_closing)

    return serve


def notice_seconds(config: settings.InstanceSettings) -> float:
    """Returns how long callers are still served after readiness went off."""
    notice_ms = config['timings'].get('notice_ms', DEFAULT_NOTICE_MS)
    return notice_ms / MILLISECONDS


def bounds_of(config: settings.InstanceSettings) -> Bounds:
    """Returns the bounds that the settings give."""
    limits = config['limits']
    timings = config['timings']
    request_ms = timings['request_limit_ms']
    stop_ms = timings.get('stop_ms', request_ms)
    return Bounds(
        header_bytes=limits.get('header_bytes', DEFAULT_HEADER_BYTES),
        connections=limits.get('connections', DEFAULT_CONNECTIONS),
        arrival_seconds=request_ms / MILLISECONDS,
        stop_seconds=-(-stop_ms // MILLISECONDS),
    )


def server_for(
    application: Application,
    address: str,
    bounds: Bounds,
) -> Server:
    """Returns a server for `application` at an IP number and port."""
    host, _, port = address.rpartition(':')
    protocol: typing.Any = functools.partial(BoundedProtocol, bounds=bounds)
    config = uvicorn.Config(
        application,
        host=host,
        port=int(port),
        http=protocol,
        ws='none',
        log_level='critical',
        access_log=False,
        # Nothing reads the address of a caller.
        proxy_headers=False,
        lifespan='off',
        limit_concurrency=bounds.connections,
        timeout_graceful_shutdown=bounds.stop_seconds,
    )
    return Server(config)
