"""What one instance measures and logs about itself."""

import asyncio
import typing

from bilberryglade._observability import (
    exchanges,
    lines,
    measurements,
    readings,
)

WATCH_SECONDS: typing.Final = 0.5

MESSAGES: typing.Final = measurements.declare_counter(
    'peer_messages',
    'Messages from peers by kind.',
    'kind',
)
REJECTED: typing.Final = measurements.declare_counter(
    'peer_messages_rejected',
    'Messages from the network that were skipped, by cause.',
    'cause',
)


class Observation:
    """The measurements and the change log of one instance."""

    def __init__(self, parts: readings.Parts) -> None:
        """Measures `parts` and listens to the fold."""
        self.parts = parts
        self.metrics = measurements.Metrics(parts)
        self.meter = exchanges.ExchangeMeter(self.metrics)
        self.changes = lines.ChangeLog(parts.instance)
        parts.reader.listeners.append(self.changes.take_view)

    def take_message(self, kind: str) -> None:
        """Counts a message from a peer."""
        self.metrics.count(MESSAGES, kind)

    def take_rejected(self, cause: str) -> None:
        """Counts a message that was skipped."""
        self.metrics.count(REJECTED, cause)

    async def watch(self) -> None:
        """Looks at the log's case again and again until cancelled."""
        while True:
            self.changes.take_log_case(self.parts.log_case())
            await asyncio.sleep(WATCH_SECONDS)
