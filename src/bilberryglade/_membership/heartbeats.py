"""Heartbeats: who is alive, what they have folded, how old their news is."""

import asyncio
import time
import typing
from collections import abc

from bilberryglade._log import follower
from bilberryglade._peers import handlers, network
from bilberryglade_schema import peer, settings

MILLISECONDS: typing.Final = 1000
#: Age that stands for "never read", in milliseconds.
MAX_AGE_MS: typing.Final = 3_600_000


class Sign(typing.NamedTuple):
    """The newest facts heard from a peer."""

    instance: str
    boot: str
    joined_at: int
    #: Offset that the peer had folded.
    offset: int
    #: Age of the peer's newest complete read of the log when it wrote.
    age_seconds: float
    #: Monotonic seconds at which the heartbeat that it answered was sent.
    asked_at: float
    #: Monotonic seconds at which the answer came.
    heard_at: float


class Heartbeats:
    """Sends heartbeats to every member and keeps the answers."""

    def __init__(
        self,
        instance: str,
        boot: str,
        reader: follower.Follower,
        peers: network.PeerNetwork,
        timings: settings.TimingSettings,
    ) -> None:
        """Acts as `instance` in its process `boot`."""
        self.instance = instance
        self.boot = boot
        self.reader = reader
        self.peers = peers
        self.timings = timings
        self.signs: dict[str, Sign] = {}
        #: Told of each sign of life that is kept.
        self.listeners: list[abc.Callable[[Sign], None]] = []
        self.sequence = 0
        #: Monotonic seconds at which each recent heartbeat was sent.
        self.sent_at: dict[int, float] = {}

    async def beat(self) -> None:
        """Sends heartbeats until cancelled."""
        while True:
            self.beat_once()
            await asyncio.sleep(self.timings['heartbeat_ms'] / MILLISECONDS)

    def beat_once(self) -> None:
        """Sends one heartbeat to every other member."""
        self.sequence += 1
        now = time.monotonic()
        oldest = now - self.timings['suspect_ms'] / MILLISECONDS
        self.sent_at[self.sequence] = now
        self.sent_at = {
            sequence: sent
            for sequence, sent in self.sent_at.items()
            if sent >= oldest
        }
        for member in self.reader.view.members.values():
            if member.instance != self.instance:
                self.peers.send(member.peer_address, self._heartbeat())

    def answer(self, message: peer.Heartbeat) -> None:
        """Answers a peer's heartbeat with this instance's own facts."""
        member = self.reader.view.members.get(message['instance'])
        if member is None:
            return
        reply: peer.HeartbeatAnswer = {
            **self._heartbeat(),
            'kind': 'heartbeat_answer',
            'sequence': message['sequence'],
        }
        self.peers.send(member.peer_address, reply)

    def take_answer(self, message: peer.HeartbeatAnswer) -> None:
        """Keeps the facts in an answer to a recent heartbeat."""
        asked_at = self.sent_at.get(message['sequence'])
        if asked_at is None:
            return
        sign = Sign(
            instance=message['instance'],
            boot=message['boot'],
            joined_at=message['joined_at'],
            offset=message['offset'],
            age_seconds=message['age_ms'] / MILLISECONDS,
            asked_at=asked_at,
            heard_at=time.monotonic(),
        )
        self.signs[sign.instance] = sign
        for listener in self.listeners:
            listener(sign)

    def _heartbeat(self) -> peer.Heartbeat:
        view = self.reader.view
        member = view.members.get(self.instance)
        age_ms = min(self.reader.age_seconds * MILLISECONDS, MAX_AGE_MS)
        return {
            'kind': 'heartbeat',
            'version': handlers.VERSION,
            'instance': self.instance,
            'boot': self.boot,
            'joined_at': member.joined_at if member else 0,
            'sequence': self.sequence,
            'offset': view.offset,
            'age_ms': int(age_ms),
        }
