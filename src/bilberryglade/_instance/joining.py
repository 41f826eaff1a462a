"""Writes to a caller that go out together.

The server writes the head of an answer and its body one after the other. Each
write that reaches the socket costs a system call, and wakes the caller.
"""

import asyncio
import typing

#: Longest write that is copied to be joined; a system call costs less than a
#: copy of more.
MOST_JOINED_BYTES: typing.Final = 16_384


class JoiningTransport:
    """A transport that puts the first write of a turn before the second.

    What no second write follows goes out at the end of the loop's turn.
    """

    def __init__(
        self, transport: asyncio.Transport, loop: asyncio.AbstractEventLoop
    ) -> None:
        """Writes to `transport`."""
        self.transport = transport
        self.loop = loop
        self.held = b''

    def __getattr__(self, name: str) -> typing.Any:
        """Returns whatever else the transport has."""
        return getattr(self.transport, name)

    def write(self, data: bytes) -> None:  # noqa: WPS110
        """Writes with what was held, or holds until the end of the turn."""
        if len(data) > MOST_JOINED_BYTES:
            self.flush()
            self.transport.write(data)
        elif self.held:
            joined = self.held + data
            self.held = b''
            self.transport.write(joined)
        else:
            self.held = data
            self.loop.call_soon(self.flush)

    def flush(self) -> None:
        """Writes what is held."""
        if self.held:
            held = self.held
            self.held = b''
            self.transport.write(held)

    def close(self) -> None:
        """Closes after everything was written."""
        self.flush()
        self.transport.close()
