"""How far a caller's request has come."""

from collections import abc

from bilberryglade._values import clock


def never() -> bool:
    """Tells that a caller has not left, where nothing is known of that."""
    return False


class Progress:
    """Moments of one request, in seconds of `clock.now`."""

    def __init__(self, has_left: abc.Callable[[], bool] = never) -> None:
        """Starts with a request that was read and not sent.

        `has_left` tells whether its caller has closed its connection, also
        while the loop has not read that yet.
        """
        self.has_left = has_left
        #: When its caller was seen to have left.
        self.left_at: float | None = None
        #: When its first byte went to the target that has it last.
        self.sent_at: float | None = None

    def note_left(self) -> None:
        """Notes that the caller was seen to have left."""
        if self.left_at is None:
            self.left_at = clock.now()

    def begin_send(self) -> None:
        """Notes that a target was chosen; nothing has gone to it yet."""
        self.sent_at = None

    def note_sent(self) -> None:
        """Notes that the first byte goes to a target."""
        self.sent_at = clock.now()
