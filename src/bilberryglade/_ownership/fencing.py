"""Tells earlier owners of slots of the newer fence before it is used.

A grant that its sender held back during a pause could otherwise be taken by
the earlier owner after the slot is served elsewhere.
"""

import asyncio
import time
import typing

from bilberryglade._ownership import holdings, holdings_tracker
from bilberryglade._targets import client
from bilberryglade._values import steps
from bilberryglade_schema import platform

FENCE: typing.Final = steps.declare(
    'ownership.fence_off_earlier_owner',
    steps.StepKind.message,
)
RETRY_SECONDS: typing.Final = 0.3


class FenceSender:
    """Sends newer fences to the earlier owners of slots that are waited for."""

    def __init__(
        self,
        tracker: holdings_tracker.HoldingsTracker,
        targets: client.TargetClient,
    ) -> None:
        """Acts on what blocks the holdings of `keeper`."""
        self.tracker = tracker
        self.targets = targets
        self.retry_at: dict[str, float] = {}
        self.accepted: dict[str, holdings.SlotFences] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def start_due_sends(self) -> None:
        """Starts to tell each earlier owner that has not confirmed."""
        now = time.monotonic()
        for target, slot_fences in self.tracker.holdings.blocked.items():
            due = slot_fences - self.accepted.get(target, frozenset())
            if not due or now < self.retry_at.get(target, 0):
                continue
            self.retry_at[target] = now + RETRY_SECONDS
            task = asyncio.create_task(self._send_fences(target, due))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _send_fences(
        self, target: str, slot_fences: holdings.SlotFences
    ) -> None:
        grants: list[platform.Grant] = [
            {'slot': slot.number, 'fence': fence, 'lease_ms': 0}
            for slot, fence in slot_fences
        ]
        target_state = self.tracker.view.targets[target]
        if await self.targets.grant(target_state.address, grants):
            accepted = self.accepted.get(target, frozenset())
            self.accepted[target] = accepted | slot_fences
        self.tracker.mark_fenced_off(slot_fences)
