"""Lines that an instance writes from time to time."""

import typing
from collections import abc


class Source(typing.Protocol):
    """Writes its line when one is due."""

    def tell(self, now: float) -> None:
        """Writes a line at `now`, in seconds, if one is due."""


class PeriodicLines:
    """All sources of lines that are due after a time."""

    def __init__(self, sources: abc.Iterable[Source]) -> None:
        """Asks `sources` in order."""
        self.sources = tuple(sources)

    def tell(self, now: float) -> None:
        """Writes the lines that are due at `now`, in seconds."""
        for source in self.sources:
            source.tell(now)
