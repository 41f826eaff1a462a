"""Handlers of the messages that carry requests between instances."""

import typing

from bilberryglade._delivery import delivery
from bilberryglade._peers import handlers
from bilberryglade_schema import peer


class HasDelivery(typing.Protocol):
    """The part of an instance that these handlers act on."""

    delivery: delivery.Delivery


@handlers.handler_for('forward', peer.Forward)
def handle_forward(node: HasDelivery, message: peer.Forward) -> None:
    """Runs a request that a peer forwarded."""
    node.delivery.take_forward(message)


@handlers.handler_for('answer', peer.Answer)
def handle_answer(node: HasDelivery, message: peer.Answer) -> None:
    """Wakes the request that the answer belongs to."""
    node.delivery.take_answer(message)
