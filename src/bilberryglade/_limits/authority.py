"""Authority of a quota home: from its reads, or from a log that is down for all.

While nobody can read the log nobody else can have become a home, so a home may
go on. How long ago that was certain is decided by `_log/knowledge.py`.
"""

import typing

MILLISECONDS: typing.Final = 1000


class KnowsOthers(typing.Protocol):
    """Tells since when others may have acted on news."""

    def nobody_acted_seconds(self) -> float:
        """Returns how long ago it is certain that nobody had acted on news."""


class ConfirmedAuthority:
    """Authority for a bounded time since nobody had acted on news."""

    def __init__(self, knowledge: KnowsOthers, authority_ms: int) -> None:
        """Holds for `authority_ms` after a moment that is certain."""
        self.knowledge = knowledge
        self.authority_ms = authority_ms

    @property
    def has_authority(self) -> bool:
        """Whether nobody else can hold this instance's roles."""
        age_ms = self.knowledge.nobody_acted_seconds() * MILLISECONDS
        return age_ms < self.authority_ms
