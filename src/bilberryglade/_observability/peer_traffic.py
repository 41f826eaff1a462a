"""What an instance sends to others, as a line for each interval."""

import typing

import loguru

from bilberryglade._peers import network

#: Seconds between two lines.
LINE_SECONDS: typing.Final = 5.0


class PeerTraffic:
    """Tells what was sent since the last line, by kind of message."""

    def __init__(self, peers: network.PeerNetwork) -> None:
        """Reads the counts of `peers`."""
        self.peers = peers
        self.told: dict[str, network.Sent] = {}
        self.told_at = float('-inf')

    def tell(self, now: float) -> None:
        """Writes a line at `now`, in seconds, if one is due."""
        if now - self.told_at < LINE_SECONDS:
            return
        self.told_at = now
        counts = dict(self.peers.sent_kinds)
        sizes = {
            kind: sent.size - self.told.get(kind, network.Sent()).size
            for kind, sent in counts.items()
        }
        self.told = counts
        loguru.logger.bind(
            bytes={kind: size for kind, size in sizes.items() if size},
        ).info('sent to other instances')
