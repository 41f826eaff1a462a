"""Handlers of the messages between instances on rollouts."""

import typing

from bilberryglade._peers import handlers
from bilberryglade_schema import fleet

if typing.TYPE_CHECKING:
    from bilberryglade._instance import entry


@handlers.handler_for('rollout_counts', fleet.RolloutCounts)
def handle_counts(parts: 'entry.Parts', message: fleet.RolloutCounts) -> None:
    """Takes in what an instance counted of a rollout."""
    parts.rollouts.handle_counts(message)


@handlers.handler_for('rollout_stages', fleet.RolloutStages)
def handle_stages(parts: 'entry.Parts', message: fleet.RolloutStages) -> None:
    """Takes in how far the rollouts are."""
    parts.rollouts.reporter.handle_stages(message)
