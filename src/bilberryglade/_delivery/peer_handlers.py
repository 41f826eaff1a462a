"""Handlers of peer messages about forwarded requests and target crashes."""

import typing

from bilberryglade._delivery import delivery
from bilberryglade._peers import handlers
from bilberryglade_schema import peer


class HasDelivery(typing.Protocol):
    """The part of an instance that these handlers act on."""

    delivery: delivery.Delivery


@handlers.handler_for('forward', peer.Forward)
def handle_forward(node: HasDelivery, message: peer.Forward) -> None:
    """Accepts a request that a peer forwarded."""
    node.delivery.forwarder.handle_forward(message)


@handlers.handler_for('answer', peer.Answer)
def handle_answer(node: HasDelivery, message: peer.Answer) -> None:
    """Passes an answer to the forward that waits for it."""
    node.delivery.forwarder.handle_answer(message)


@handlers.handler_for('forward_accepted', peer.ForwardAccepted)
def handle_accepted(node: HasDelivery, message: peer.ForwardAccepted) -> None:
    """Lets the leader run a request if its sender still waits for it."""
    node.delivery.forwarder.handle_accepted(message)


@handlers.handler_for('forward_proceed', peer.ForwardProceed)
def handle_proceed(node: HasDelivery, message: peer.ForwardProceed) -> None:
    """Runs an accepted request after its sender let it proceed."""
    node.delivery.forwarder.handle_proceed(message)


@handlers.handler_for('forward_cancel', peer.ForwardCancel)
def handle_cancel(node: HasDelivery, message: peer.ForwardCancel) -> None:
    """Ends a forwarded request whose sender gave up, where possible."""
    node.delivery.forwarder.handle_cancel(message)


@handlers.handler_for('target_died', peer.TargetDied)
def handle_target_died(node: HasDelivery, message: peer.TargetDied) -> None:
    """Records a target crash that a peer reported."""
    node.delivery.crash_watch.handle_crash(message)
