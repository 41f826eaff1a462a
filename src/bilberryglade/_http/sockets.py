"""What has come on a socket that the loop has not read yet."""

import select
import typing


class HasDescriptor(typing.Protocol):
    """A socket, or what stands for one."""

    def fileno(self) -> int:
        """Returns the descriptor."""


def events_on(raw: HasDescriptor, wanted: int) -> int:
    """Returns which of the `wanted` events of `select.poll` hold now.

    Errors and a hang-up are among them, wanted or not.
    """
    poll = select.poll()
    poll.register(raw.fileno(), wanted)
    found = poll.poll(0)
    return found[0][1] if found else 0


def has_ended(raw: HasDescriptor) -> bool:
    """Tells whether the peer has closed, also behind bytes not read yet."""
    return bool(events_on(raw, select.POLLRDHUP))
