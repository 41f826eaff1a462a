"""Handlers of peer messages about releases."""

import typing

from bilberryglade._ownership import releases
from bilberryglade._peers import handlers
from bilberryglade_schema import peer


class HasReleases(typing.Protocol):
    """The part of an instance that the release handlers use."""

    releases: releases.ReleaseExchange


@handlers.handler_for('release_ask', peer.ReleaseAsk)
def handle_release_ask(instance: HasReleases, message: peer.ReleaseAsk) -> None:
    """Answers a peer with the releases of this instance."""
    instance.releases.handle_ask(message)


@handlers.handler_for('release_answer', peer.ReleaseAnswer)
def handle_release_answer(
    instance: HasReleases,
    message: peer.ReleaseAnswer,
) -> None:
    """Records the releases that a peer reports."""
    instance.releases.handle_answer(message)
