"""Handlers of the messages about releases."""

import typing

from bilberryglade._ownership import releases
from bilberryglade._peers import handlers
from bilberryglade_schema import peer


class HasReleases(typing.Protocol):
    """The part of an instance that these handlers act on."""

    releases: releases.ReleaseExchange


@handlers.handler_for('release_ask', peer.ReleaseAsk)
def handle_release_ask(instance: HasReleases, message: peer.ReleaseAsk) -> None:
    """Answers what this instance has released."""
    instance.releases.handle_ask(message)


@handlers.handler_for('release_answer', peer.ReleaseAnswer)
def handle_release_answer(
    instance: HasReleases,
    message: peer.ReleaseAnswer,
) -> None:
    """Keeps what a peer has released."""
    instance.releases.handle_answer(message)
