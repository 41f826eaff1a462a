"""Decides when an instance asks another one for records that it lacks.

An own read of the store usually brings them first, so that a change costs a
message with the records only where the store is not read. Who is asked is spread
over the fleet: the coordinator alone could not serve all that are refused.
"""

import random
import typing
from collections import abc

#: Seconds that the own read of the store gets before another one is asked.
FIRST_ASK_SECONDS: typing.Final = 0.25
#: Seconds until the next one is asked, at first and at most; they double, since
#: an answer may be on its way over a full link.
NEXT_ASK_SECONDS: typing.Final = 0.5
LONGEST_ASK_SECONDS: typing.Final = 2.0


class Mark(typing.NamedTuple):
    """Tells what one instance knows of operators from what another does."""

    #: Offset of the newest record.
    newest: int
    #: Sum of the offsets of all keys that were not dropped.
    total: int


class CatchingUp:
    """What an instance has heard of records that it lacks."""

    def __init__(self) -> None:
        """Lacks nothing."""
        #: Name of the instance that told of such records last; '' if none did.
        self.teller = ''
        #: What that one knows.
        self.missed = Mark(-1, 0)
        #: Seconds at which to ask next.
        self.ask_at: float = 0
        self.asks = 0

    def hear(self, teller: str, told: Mark, now: float) -> None:
        """Takes in, at `now` in seconds, that `teller` knows such records."""
        if not self.teller:
            self.ask_at = now + FIRST_ASK_SECONDS
            self.asks = 0
        if told.newest >= self.missed.newest:
            self.teller = teller
            self.missed = told

    def next_to_ask(
        self, own: Mark, near: abc.Sequence[str], now: float
    ) -> str:
        """Returns the name of the instance to ask at `now`, '' if none is due.

        `own` is what this instance knows. One of those `near` and who told of
        the records take turns.
        """
        if own == self.missed or own.newest > self.missed.newest:
            self.teller = ''
        if not self.teller or now < self.ask_at:
            return ''
        seconds = NEXT_ASK_SECONDS * 2**self.asks
        self.ask_at = now + min(seconds, LONGEST_ASK_SECONDS)
        self.asks += 1
        is_near_ones_turn = self.asks % 2 == 1
        return (
            random.choice(near) if near and is_near_ones_turn else self.teller
        )
