"""Sends the newer fence of a slot to its earlier owner before it is used.

Without it, the earlier owner could accept a grant that was delayed while its
sender was paused, after the slot is already served elsewhere.
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
    """Sends newer fences to the earlier owners of blocked slots."""

    def __init__(
        self,
        tracker: holdings_tracker.HoldingsTracker,
        targets: client.TargetClient,
    ) -> None:
        """Sends the fences of the blocked slots that `tracker` reports."""
        self.tracker = tracker
        self.targets = targets
        #: Monotonic seconds before which no fence is sent again, by target.
        self.retry_at: dict[str, float] = {}
        #: Fences that each target has accepted.
        self.accepted: dict[str, holdings.SlotFences] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def start_due_sends(self) -> None:
        """Starts sending fences to earlier owners that have not accepted them."""
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
