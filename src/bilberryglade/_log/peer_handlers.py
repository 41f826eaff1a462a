"""Handlers of the messages that relay records and states."""

import typing

from bilberryglade._log import relay
from bilberryglade._peers import handlers
from bilberryglade_schema import peer


class HasRelay(typing.Protocol):
    """The part of an instance that these handlers act on."""

    relay: relay.Relay


@handlers.handler_for('records_asked', peer.RecordsAsked)
def handle_records_asked(node: HasRelay, message: peer.RecordsAsked) -> None:
    """Gives records to a peer."""
    node.relay.give_records(message)


@handlers.handler_for('records_given', peer.RecordsGiven)
def handle_records_given(node: HasRelay, message: peer.RecordsGiven) -> None:
    """Takes records from a peer."""
    node.relay.take_records(message)


@handlers.handler_for('state_asked', peer.StateAsked)
def handle_state_asked(node: HasRelay, message: peer.StateAsked) -> None:
    """Gives the whole state to a peer."""
    node.relay.give_state(message)


@handlers.handler_for('state_given', peer.StateGiven)
def handle_state_given(node: HasRelay, message: peer.StateGiven) -> None:
    """Takes a part of a whole state from a peer."""
    node.relay.take_state(message)
