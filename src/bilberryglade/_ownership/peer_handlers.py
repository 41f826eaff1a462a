"""Handlers of the messages about releases."""

import typing

from bilberryglade._ownership import releases
from bilberryglade._peers import handlers
from bilberryglade_schema import peer


class HasReleases(typing.Protocol):
    """The part of an instance that these handlers act on."""

    releases: releases.Releases


@handlers.handler_for('release_ask', peer.ReleaseAsk)
def handle_release_ask(node: HasReleases, message: peer.ReleaseAsk) -> None:
    """Answers what this instance has released."""
    node.releases.answer(message)


@handlers.handler_for('release_answer', peer.ReleaseAnswer)
def handle_release_answer(
    node: HasReleases,
    message: peer.ReleaseAnswer,
) -> None:
    """Keeps what a peer has released."""
    node.releases.take_answer(message)
