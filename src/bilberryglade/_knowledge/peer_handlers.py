"""Handlers of the messages between instances on the platform."""

import typing

from bilberryglade._era import recall
from bilberryglade._membership import fleet as members
from bilberryglade._ownership import owners
from bilberryglade._peers import handlers
from bilberryglade._values import site
from bilberryglade_schema import fleet

if typing.TYPE_CHECKING:
    from bilberryglade._instance import entry


@handlers.handler_for('hello', fleet.Hello)
def handle_hello(parts: 'entry.Parts', message: fleet.Hello) -> None:
    """Takes in a new instance, and tells it what is known here."""
    name = message['sender']
    if message['is_leaving']:
        parts.fleet.leave(name)
        parts.candidacy.leave(name)
        return
    parts.fleet.take(
        members.Member(
            name=name,
            boot=message['boot'],
            address=message['address'],
            failure_domain=message['failure_domain'],
            offset=parts.fleet.offset_of(name),
            processor=message.get('processor', 1),
            link_mbps=message.get('link_mbps', site.USUAL_LINK_MBPS),
        ),
    )
    parts.announcer.greet(name)


@handlers.handler_for('lead', fleet.Lead)
def handle_lead(parts: 'entry.Parts', message: fleet.Lead) -> None:
    """Takes in the coordinator's sign of life."""
    parts.candidacy.hear(message)
    if message.get('is_over'):
        return
    parts.steward.handle_lead(message)
    parts.operators.hear_lead(message)
    parts.crashes.compare(message)


@handlers.handler_for('report', fleet.Report)
def handle_report(parts: 'entry.Parts', message: fleet.Report) -> None:
    """Takes in the load that an instance counted."""
    parts.load_sum.handle_report(message)
    parts.pools.take_report(message)


@handlers.handler_for('quota_ask', fleet.QuotaAsk)
def handle_quota_ask(parts: 'entry.Parts', message: fleet.QuotaAsk) -> None:
    """Answers an instance that needs tokens of a pool or of an even part."""
    asked = parts.desks if message.get('from_part') else parts.pools
    parts.fleet.send(message['sender'], asked.answer(message))


@handlers.handler_for('quota_grant', fleet.QuotaGrant)
def handle_quota_grant(
    parts: 'entry.Parts',
    message: fleet.QuotaGrant,
) -> None:
    """Takes in tokens of a pool or of an even part."""
    parts.desks.take(message)


@handlers.handler_for('crash', fleet.Crash)
def handle_crash(parts: 'entry.Parts', message: fleet.Crash) -> None:
    """Takes in that a target fell while it ran a request."""
    parts.crashes.handle_crash(message)


@handlers.handler_for('crash_cleared', fleet.CrashCleared)
def handle_crash_cleared(
    parts: 'entry.Parts',
    message: fleet.CrashCleared,
) -> None:
    """Takes in that a request was answered which ran when targets crashed."""
    parts.crashes.handle_cleared(message)


@handlers.handler_for('quarantine', fleet.Quarantine)
def handle_quarantine(parts: 'entry.Parts', message: fleet.Quarantine) -> None:
    """Takes in the requests that another instance refuses."""
    parts.crashes.handle_quarantine(message)


@handlers.handler_for('leaving', fleet.Leaving)
def handle_leaving(parts: 'entry.Parts', message: fleet.Leaving) -> None:
    """Takes in that targets said that they leave."""
    parts.departures.hear(message)


@handlers.handler_for('relay', fleet.Relay)
def handle_relay(parts: 'entry.Parts', message: fleet.Relay) -> None:
    """Takes in records of the store."""
    parts.reader.hear(message)


@handlers.handler_for('relay_ask', fleet.RelayAsk)
def handle_relay_ask(parts: 'entry.Parts', message: fleet.RelayAsk) -> None:
    """Sends the operators' records to an instance that has missed some."""
    parts.operators.answer(message)


@handlers.handler_for('operator_mark', fleet.OperatorMark)
def handle_operator_mark(
    parts: 'entry.Parts',
    message: fleet.OperatorMark,
) -> None:
    """Takes in which of the operators' records an instance knows."""
    parts.operators.hear_mark(message)


@handlers.handler_for('assignment', fleet.Assignment, owners.validate)
def handle_assignment(parts: 'entry.Parts', message: fleet.Assignment) -> None:
    """Takes in the owners of keys."""
    parts.steward.handle_assignment(message)


@handlers.handler_for('assignment_ask', fleet.AssignmentAsk)
def handle_assignment_ask(
    parts: 'entry.Parts',
    message: fleet.AssignmentAsk,
) -> None:
    """Sends the tables to an instance that has missed them."""
    if parts.candidacy.holds:
        parts.fleet.send(message['sender'], parts.steward.assignment_message())


@handlers.handler_for('holdings_ask', fleet.HoldingsAsk)
def handle_holdings_ask(
    parts: 'entry.Parts', message: fleet.HoldingsAsk
) -> None:
    """Tells a coordinator what the store may have lost of the keys' owners."""
    answer = parts.steward.recall.answer(message, parts.steward.tables)
    parts.fleet.send(message['sender'], answer)


@handlers.handler_for('holdings', fleet.Holdings, recall.validate)
def handle_holdings(parts: 'entry.Parts', message: fleet.Holdings) -> None:
    """Takes in what another instance remembers of the keys' owners."""
    parts.steward.recall.take(message)
