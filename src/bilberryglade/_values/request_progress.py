"""How far a caller's request has come."""

from bilberryglade._values import clock


class Progress:
    """Moments of one request, in seconds of `clock.now`."""

    def __init__(self) -> None:
        """Starts with a request that was read and not sent."""
        #: When its caller was seen to have left.
        self.left_at: float | None = None
        #: When its first byte went to the target that has it last.
        self.sent_at: float | None = None

    def note_left(self) -> None:
        """Notes that the caller was seen to have left."""
        if self.left_at is None:
            self.left_at = clock.now()

    def note_sent(self) -> None:
        """Notes that the first byte goes to a target."""
        self.sent_at = clock.now()
