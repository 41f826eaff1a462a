"""Handlers of the messages by which instances ask for permits."""

import typing

from bilberryglade._peers import handlers
from bilberryglade_schema import fleet

if typing.TYPE_CHECKING:
    from bilberryglade._instance import entry


@handlers.handler_for('ask', fleet.PermitAsk)
def handle_permit_ask(parts: 'entry.Parts', message: fleet.PermitAsk) -> None:
    """Answers an instance that has a request for a target."""
    parts.dispatching.handle_ask(message)


@handlers.handler_for('permit', fleet.PermitAnswer)
def handle_permit_answer(
    parts: 'entry.Parts',
    message: fleet.PermitAnswer,
) -> None:
    """Takes in a dispatcher's answer."""
    parts.dispatching.handle_answer(message)


@handlers.handler_for('end', fleet.PermitEnd)
def handle_permit_end(parts: 'entry.Parts', message: fleet.PermitEnd) -> None:
    """Takes in what came of a request that had a permit."""
    parts.dispatching.handle_end(message)
