"""Handlers of heartbeats and their answers."""

import typing

from bilberryglade._membership import heartbeats
from bilberryglade._peers import handlers
from bilberryglade_schema import peer


class HasHeartbeats(typing.Protocol):
    """The part of an instance that these handlers act on."""

    heartbeats: heartbeats.Heartbeats


@handlers.handler_for('heartbeat', peer.Heartbeat)
def handle_heartbeat(node: HasHeartbeats, message: peer.Heartbeat) -> None:
    """Answers a heartbeat."""
    node.heartbeats.answer(message)


@handlers.handler_for('heartbeat_answer', peer.HeartbeatAnswer)
def handle_heartbeat_answer(
    node: HasHeartbeats,
    message: peer.HeartbeatAnswer,
) -> None:
    """Keeps what a peer answered."""
    node.heartbeats.take_answer(message)
