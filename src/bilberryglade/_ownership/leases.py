"""Grants leases to the targets that this instance leads."""

import asyncio
import time
import typing
from collections import abc

from bilberryglade._ownership import (
    activation,
    fencing,
    grants,
    holdings_tracker,
    probes,
)
from bilberryglade._state import state
from bilberryglade._targets import client
from bilberryglade._values import steps

GRANT: typing.Final = steps.declare(
    'ownership.grant_to_target',
    steps.StepKind.check_to_act,
)
#: Longest time between two checks for grants that are due.
TICK_SECONDS: typing.Final = 0.05
MS_PER_SECOND: typing.Final = 1000
#: Grant time of a target that was never granted anything.
NEVER_GRANTED: typing.Final = float('-inf')
#: Grant time while a grant is unanswered, because it may still arrive.
NOT_ANSWERED: typing.Final = float('inf')

#: Function that returns the slots with requests in flight at a target.
RunningSlots: typing.TypeAlias = abc.Callable[[str], frozenset[int]]


class LeaseGranter:
    """Renews the leases of led targets and decides what may be dispatched."""

    def __init__(
        self,
        tracker: holdings_tracker.HoldingsTracker,
        targets: client.TargetClient,
        prober: probes.Prober,
    ) -> None:
        """Grants leases on the slots that `tracker` reports as held."""
        self.tracker = tracker
        self.targets = targets
        self.prober = prober
        self.timings = tracker.heartbeats.timings
        #: Set by the composition root to the dispatcher's method.
        self.running_slots: RunningSlots = _no_running_slots
        #: Newest granted fence by target and slot.
        self.granted_fences: dict[tuple[str, int], int] = {}
        #: Monotonic seconds by which each target had its newest grant.
        self.granted_before: dict[str, float] = {}
        #: Revocations that each target has accepted.
        self.revoked: dict[str, frozenset[grants.Revocation]] = {}
        #: Monotonic seconds of the next renewal of each target.
        self.renew_at: dict[str, float] = {}
        #: Newest batch of grants that each target has accepted.
        self.granted_batches: dict[str, grants.Batch] = {}
        #: Running grants by target.
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.fence_sender = fencing.FenceSender(tracker, targets)

    async def run(self) -> None:
        """Renews leases and releases slots until cancelled."""
        while True:
            self.tracker.update()
            self.start_due_grants()
            self.fence_sender.start_due_sends()
            self.release_vacated_slots()
            await self._wait_for_state_change()

    @property
    def has_authority(self) -> bool:
        """Whether this instance may act in cluster-wide roles now."""
        return self.tracker.has_general_authority()

    def dispatch_fence(self, target: str, slot: int) -> int:
        """Returns the fence for dispatching requests of `slot` to `target`.

        0 means that this instance must not send the slot's requests there.
        """
        own_holdings = self.tracker.holdings
        target_state = self.tracker.view.targets.get(target)
        if target_state is None or target not in own_holdings.active:
            return 0
        held_slot = own_holdings.held.get(
            activation.Slot(target_state.service, slot)
        )
        if held_slot is None or held_slot.target != target:
            return 0
        if self.granted_fences.get((target, slot)) != held_slot.fence:
            return 0
        if not self.tracker.has_authority(target):
            return 0
        return held_slot.fence

    def start_due_grants(self) -> None:
        """Starts grants to targets whose renewal is due or batch has changed."""
        now = time.monotonic()
        view = self.tracker.view
        for target in self.tracker.holdings.led - self.tasks.keys():
            if now >= self.renew_at.get(target, 0) or self._has_changed(target):
                self._start_grant(view.targets[target])

    def release_vacated_slots(self) -> None:
        """Releases leaving slots that can no longer run at their old target."""
        now = time.monotonic()
        targets = self.tracker.view.targets
        for slot, leaving_slot in self.tracker.holdings.leaving.items():
            if self.tracker.has_released(slot, leaving_slot.fence):
                continue
            target = targets[leaving_slot.target]
            if self._is_vacated(target, slot, leaving_slot.fence, now):
                self.tracker.record_own_release(slot, leaving_slot.fence)

    async def probe_and_grant(self, target: state.TargetState) -> None:
        """Probes a target, then sends it the grants that are due.

        The probe goes first so that no grant waits in the buffers of a frozen
        target, which would accept the grant late, when it resumes.
        """
        if not await self.prober.probe(target):
            return
        batch = self._due_batch(target.target)
        revoked = self.revoked.get(target.target, frozenset())
        due = grants.grants_to_send(batch, revoked, self.timings['lease_ms'])
        if not due or not self.tracker.has_authority(target.target):
            return
        self.granted_before[target.target] = NOT_ANSWERED
        accepted = await self.targets.grant(target.address, due)
        self.granted_before[target.target] = time.monotonic()
        if not accepted:
            self.prober.record_attempt(target.target, answered=False)
            return
        self.granted_batches[target.target] = batch
        self.revoked[target.target] = batch.revocations
        for slot, fence in batch.served.items():
            self.granted_fences[(target.target, slot)] = fence

    def _start_grant(self, target: state.TargetState) -> None:
        interval = self.timings['renew_ms'] / MS_PER_SECOND
        self.renew_at[target.target] = time.monotonic() + interval
        task = asyncio.create_task(self.probe_and_grant(target))
        self.tasks[target.target] = task
        task.add_done_callback(
            lambda _: self._on_grant_done(target.target),
        )

    def _on_grant_done(self, target: str) -> None:
        """Schedules the next grant soon if the target does not answer."""
        self.tasks.pop(target, None)
        if self.prober.is_failing(target):
            self.renew_at[target] = time.monotonic() + TICK_SECONDS

    def _due_batch(self, target: str) -> grants.Batch:
        return grants.batch_for(
            self.tracker.view,
            target,
            self.tracker.holdings,
            self.running_slots(target),
            time.monotonic(),
        )

    def _has_changed(self, target: str) -> bool:
        """Returns whether the due grants differ from the accepted ones."""
        if self.prober.is_failing(target):
            return False
        granted_batch = self.granted_batches.get(target)
        if granted_batch is None:
            return False
        return granted_batch != self._due_batch(target)

    def _is_vacated(
        self,
        target: state.TargetState,
        slot: activation.Slot,
        fence: int,
        now: float,
    ) -> bool:
        """Returns whether no request of the slot can run at `target` any more.

        A fenced target stops them when its grant expires or a newer fence
        arrives; at others, the requests in flight have to end.
        """
        bounds = self.tracker.bounds
        expires_at = self.granted_before.get(target.target, NEVER_GRANTED)
        expires_at += bounds.waited(bounds.lease)
        is_idle = slot.number not in self.running_slots(target.target)
        if not target.fenced:
            return is_idle
        if now >= expires_at:
            return True
        revocation = grants.Revocation(slot.number, fence)
        return revocation in self.revoked.get(target.target, frozenset())

    async def _wait_for_state_change(self) -> None:
        advanced = self.tracker.reader.advanced
        try:
            await asyncio.wait_for(advanced.wait(), TICK_SECONDS)
        except TimeoutError:
            return


def _no_running_slots(_: str) -> frozenset[int]:
    return frozenset()
