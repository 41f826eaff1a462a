"""Tells earlier owners of slots of the newer fence before it is used.

A grant that its sender held back during a pause could otherwise be taken by
the earlier owner after the slot is served elsewhere.
"""

import asyncio
import time
import typing

from bilberryglade._ownership import holder, holdings
from bilberryglade._targets import client
from bilberryglade._values import steps
from bilberryglade_schema import platform

FENCE: typing.Final = steps.declare(
    'ownership.fence_off_earlier_owner',
    steps.StepKind.message,
)
RETRY_SECONDS: typing.Final = 0.3


class Fencing:
    """Sends newer fences to the earlier owners of slots that are waited for."""

    def __init__(
        self,
        keeper: holder.Holder,
        targets: client.TargetClient,
    ) -> None:
        """Acts on what blocks the holdings of `keeper`."""
        self.keeper = keeper
        self.targets = targets
        self.due_at: dict[str, float] = {}
        self.taken: dict[str, holdings.Changes] = {}
        self.at_work: set[asyncio.Task[None]] = set()

    def start_due(self) -> None:
        """Starts to tell each earlier owner that has not confirmed."""
        now = time.monotonic()
        for target, subjects in self.keeper.holdings.blocked.items():
            due = subjects - self.taken.get(target, frozenset())
            if not due or now < self.due_at.get(target, 0):
                continue
            self.due_at[target] = now + RETRY_SECONDS
            task = asyncio.create_task(self._tell(target, due))
            self.at_work.add(task)
            task.add_done_callback(self.at_work.discard)

    async def _tell(self, target: str, subjects: holdings.Changes) -> None:
        grants: list[platform.Grant] = [
            {'slot': slot.number, 'fence': fence, 'lease_ms': 0}
            for slot, fence in subjects
        ]
        known_target = self.keeper.view.targets[target]
        if await self.targets.grant(known_target.address, grants):
            known = self.taken.get(target, frozenset())
            self.taken[target] = known | subjects
        self.keeper.note_fenced_off(subjects)
