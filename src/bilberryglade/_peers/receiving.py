"""The socket on which messages of peers arrive, watched by the event loop.

The library's own socket for `asyncio` asks for the state of the socket up to
nine times for each message; a try to receive tells the same.
"""

import asyncio
import typing

import zmq

Arrived: typing.TypeAlias = asyncio.Future[list[bytes]]


class ReceivingSocket(zmq.Socket[bytes]):
    """A socket of which one task awaits the messages."""

    #: What the message that comes next is handed to.
    arriving: Arrived | None
    #: Loop that watches the descriptor; None while nobody waits.
    loop: asyncio.AbstractEventLoop | None

    def __init__(self, context: zmq.Context[typing.Any], kind: int) -> None:
        """Makes a socket of a kind of which nothing is awaited."""
        super().__init__(context, kind)
        self.arriving = None
        self.loop = None

    def recv_multipart(self) -> Arrived:  # type: ignore[override]
        """Returns the next message, or what it is handed to."""
        loop = asyncio.get_running_loop()
        self.arriving = loop.create_future()
        self._take()
        if not self.arriving.done() and self.loop is None:
            self.loop = loop
            loop.add_reader(self.fileno(), self._take)
        return self.arriving

    def close(self, linger: int | None = None) -> None:
        """Closes the socket, of which the loop knows nothing any more."""
        self._unwatch()
        super().close(linger)

    def _take(self) -> None:
        """Hands over a message if one has come.

        A descriptor of ZeroMQ stays readable until there is nothing left to
        take, so it isn't watched while nobody waits.
        """
        if self.arriving is None or self.arriving.done():
            self._unwatch()
            return
        try:
            frames = zmq.Socket.recv_multipart(self, zmq.NOBLOCK)
        except zmq.Again:
            return
        self.arriving.set_result(frames)

    def _unwatch(self) -> None:
        if self.loop is not None and not self.loop.is_closed():
            self.loop.remove_reader(self.fileno())
        self.loop = None
