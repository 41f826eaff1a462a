"""Handlers of asks for tokens and of their answers."""

import typing

from bilberryglade._limits import quotas
from bilberryglade._peers import handlers
from bilberryglade_schema import peer


class HasQuotas(typing.Protocol):
    """The part of an instance that these handlers act on."""

    quotas: quotas.Quotas


@handlers.handler_for('token_ask', peer.TokenAsk)
def handle_token_ask(node: HasQuotas, message: peer.TokenAsk) -> None:
    """Answers an entry that asks for tokens."""
    node.quotas.take_ask(message)


@handlers.handler_for('token_grant', peer.TokenGrant)
def handle_token_grant(node: HasQuotas, message: peer.TokenGrant) -> None:
    """Takes the tokens that a home gave."""
    node.quotas.take_grant(message)


@handlers.handler_for('quota_handover', peer.QuotaHandover)
def handle_quota_handover(
    node: HasQuotas,
    message: peer.QuotaHandover,
) -> None:
    """Takes what an old home hands over."""
    node.quotas.take_handover(message)
