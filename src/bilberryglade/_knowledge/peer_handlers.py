"""Handlers of the messages between instances on the platform."""

import typing

from bilberryglade._membership import fleet as members
from bilberryglade._peers import handlers
from bilberryglade_schema import fleet

if typing.TYPE_CHECKING:
    from bilberryglade._instance import entry


@handlers.handler_for('hello', fleet.Hello)
def handle_hello(parts: 'entry.Parts', message: fleet.Hello) -> None:
    """Takes in a new instance, and tells it what is known here."""
    parts.fleet.hear(message['sender'])
    if message['is_leaving']:
        return
    parts.fleet.take(
        members.Member(
            name=message['sender'],
            boot=message['boot'],
            address=message['address'],
            failure_domain=message['failure_domain'],
            offset=parts.fleet.offset_of(message['sender']),
        ),
    )
    parts.greet(message['sender'])


@handlers.handler_for('lead', fleet.Lead)
def handle_lead(parts: 'entry.Parts', message: fleet.Lead) -> None:
    """Takes in the coordinator's sign of life."""
    parts.fleet.hear(message['sender'])
    parts.candidacy.hear(message)


@handlers.handler_for('report', fleet.Report)
def handle_report(parts: 'entry.Parts', message: fleet.Report) -> None:
    """Takes in what an instance needs, and answers with its shares."""
    parts.fleet.hear(message['sender'])
    parts.dividing.take(message)


@handlers.handler_for('shares', fleet.Shares)
def handle_shares(parts: 'entry.Parts', message: fleet.Shares) -> None:
    """Takes in the shares of this instance."""
    parts.fleet.hear(message['sender'])
    parts.reporting.take(message)


@handlers.handler_for('relay', fleet.Relay)
def handle_relay(parts: 'entry.Parts', message: fleet.Relay) -> None:
    """Takes in records of the store."""
    parts.fleet.hear(message['sender'])
    parts.reader.hear(message)


@handlers.handler_for('assignment', fleet.Assignment)
def handle_assignment(parts: 'entry.Parts', message: fleet.Assignment) -> None:
    """Takes in the owners of keys."""
    parts.fleet.hear(message['sender'])
    parts.steward.hear(message)
