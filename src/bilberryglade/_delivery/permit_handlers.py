"""Handlers of the messages with which instances request and end permits."""

import typing

from bilberryglade._peers import handlers
from bilberryglade_schema import fleet

if typing.TYPE_CHECKING:
    from bilberryglade._instance import entry


@handlers.handler_for('ask', fleet.PermitAsk)
def handle_permit_ask(parts: 'entry.Parts', message: fleet.PermitAsk) -> None:
    """Answers another instance's permit request."""
    parts.dispatching.handle_ask(message)


@handlers.handler_for('permit', fleet.PermitAnswer)
def handle_permit_answer(
    parts: 'entry.Parts',
    message: fleet.PermitAnswer,
) -> None:
    """Processes a dispatcher's answer to a permit request."""
    parts.dispatching.handle_answer(message)


@handlers.handler_for('end', fleet.PermitEnd)
def handle_permit_end(parts: 'entry.Parts', message: fleet.PermitEnd) -> None:
    """Ends a permit of another instance and records how its send went."""
    parts.dispatching.handle_end(message)
