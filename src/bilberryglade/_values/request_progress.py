"""How far a caller's request has come, and what each send of it met."""

import typing
from collections import abc

from bilberryglade._values import clock

MILLISECONDS: typing.Final = 1000


class Carrier(typing.NamedTuple):
    """The connection that carries a send."""

    #: Number of the connection within this process, from 1.
    connection: int = 0
    #: Exchanges that it carried before.
    earlier_uses: int = 0


UNKNOWN_CARRIER: typing.Final = Carrier()


class Send(typing.NamedTuple):
    """One send of a request to a target."""

    #: Name and life of the target.
    target: str
    #: Seconds of `clock.now`.
    began_at: float
    carrier: Carrier = UNKNOWN_CARRIER
    #: Status of the answer that was read; 0 if none was.
    status: int = 0
    #: What became of the request by this send alone.
    outcome: str = ''
    #: What that rests on.
    evidence: str = ''
    milliseconds: int = 0


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
        #: In order; the last one may be under way.
        self.sends: list[Send] = []

    def note_left(self) -> None:
        """Notes that the caller was seen to have left."""
        if self.left_at is None:
            self.left_at = clock.now()

    def begin_send(self, target: str) -> None:
        """Notes that a target was chosen; nothing has gone to it yet."""
        self.sent_at = None
        self.sends.append(Send(target, clock.now()))

    def note_sent(self, carrier: Carrier = UNKNOWN_CARRIER) -> None:
        """Notes that the first byte goes to a target."""
        self.sent_at = clock.now()
        self._update(carrier=carrier)

    def note_answer(self, status: int, evidence: str) -> None:
        """Notes the answer to the current send and what decided its meaning."""
        self._update(status=status, evidence=evidence)

    def end_send(self, outcome: str) -> None:
        """Notes what became of the request by the current send."""
        if self.sends:
            seconds = clock.now() - self.sends[-1].began_at
            self._update(
                outcome=outcome, milliseconds=int(seconds * MILLISECONDS)
            )

    def _update(self, **changes: typing.Any) -> None:
        if self.sends:
            self.sends[-1] = self.sends[-1]._replace(**changes)
