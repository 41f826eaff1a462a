"""Grants leases to the targets that this instance leads."""

import asyncio
import time
import typing
from collections import abc

from bilberryglade._ownership import activation, fencing, grants, holder, probes
from bilberryglade._state import state
from bilberryglade._targets import client
from bilberryglade._values import steps

GRANT: typing.Final = steps.declare(
    'ownership.grant_to_target',
    steps.StepKind.check_to_act,
)
TICK_SECONDS: typing.Final = 0.05
MILLISECONDS: typing.Final = 1000
NEVER: typing.Final = float('-inf')
NOT_ANSWERED: typing.Final = float('inf')

#: Returns the slots of the requests that run at a target.
Running: typing.TypeAlias = abc.Callable[[str], frozenset[int]]


class Leases:
    """Renews the grants of led targets and says what may be dispatched."""

    def __init__(
        self,
        keeper: holder.Holder,
        targets: client.TargetClient,
        prober: probes.Prober,
    ) -> None:
        """Grants what `keeper` holds."""
        self.keeper = keeper
        self.targets = targets
        self.prober = prober
        self.timings = keeper.beats.timings
        #: Set by the composition root to the dispatcher's count.
        self.running: Running = _none_running
        #: Newest granted fence by target and slot.
        self.granted: dict[tuple[str, int], int] = {}
        #: Monotonic seconds before which a target took its newest grant.
        self.granted_at: dict[str, float] = {}
        self.revoked: dict[str, frozenset[grants.Revocation]] = {}
        self.due_at: dict[str, float] = {}
        self.given: dict[str, grants.Batch] = {}
        self.at_work: dict[str, asyncio.Task[None]] = {}
        self.fencing = fencing.Fencing(keeper, targets)

    async def renew(self) -> None:
        """Renews until cancelled."""
        while True:
            self.keeper.update()
            self.start_due()
            self.fencing.start_due()
            self.vacate()
            await self._wait_for_news()

    @property
    def has_authority(self) -> bool:
        """Whether the state may be acted on, for roles of no one domain."""
        return self.keeper.has_general_authority()

    def may_dispatch(self, target: str, slot: int) -> int:
        """Returns the fence under which `slot` may be served at `target`.

        0 means that this instance may not send the slot's requests there.
        """
        held = self.keeper.holdings
        known = self.keeper.view.targets.get(target)
        if known is None or target not in held.clear:
            return 0
        holding = held.held.get(activation.Slot(known.service, slot))
        if holding is None or holding.target != target:
            return 0
        if self.granted.get((target, slot)) != holding.fence:
            return 0
        if not self.keeper.has_authority(target):
            return 0
        return holding.fence

    def start_due(self) -> None:
        """Starts to grant where the lease or the set of grants asks for it."""
        now = time.monotonic()
        view = self.keeper.view
        for target in self.keeper.holdings.led - self.at_work.keys():
            if now >= self.due_at.get(target, 0) or self._is_changed(target):
                self._start(view.targets[target])

    def vacate(self) -> None:
        """Releases slots that were left and cannot run here any more."""
        now = time.monotonic()
        targets = self.keeper.view.targets
        for slot, row in self.keeper.holdings.leaving.items():
            if self.keeper.has_released(slot, row.fence):
                continue
            target = targets[row.target]
            if self._is_vacated(target, slot, row.fence, now):
                self.keeper.release_own(slot, row.fence)

    async def grant_once(self, target: state.TargetState) -> None:
        """Probes a target, then gives it what is due.

        The probe goes first so that no grant waits in the buffers of a
        target that froze, to be taken when it thaws.
        """
        if not await self.prober.probe(target):
            return
        batch = self._batch(target.target)
        known = self.revoked.get(target.target, frozenset())
        due = grants.messages_of(batch, known, self.timings['lease_ms'])
        if not due or not self.keeper.has_authority(target.target):
            return
        self.granted_at[target.target] = NOT_ANSWERED
        taken = await self.targets.grant(target.address, due)
        self.granted_at[target.target] = time.monotonic()
        if not taken:
            self.prober.note(target.target, answered=False)
            return
        self.given[target.target] = batch
        self.revoked[target.target] = batch.revocations
        for slot, fence in batch.served.items():
            self.granted[(target.target, slot)] = fence

    def _start(self, target: state.TargetState) -> None:
        interval = self.timings['renew_ms'] / MILLISECONDS
        self.due_at[target.target] = time.monotonic() + interval
        task = asyncio.create_task(self.grant_once(target))
        self.at_work[target.target] = task
        task.add_done_callback(
            lambda _: self._finished(target.target),
        )

    def _finished(self, target: str) -> None:
        self.at_work.pop(target, None)
        if self.prober.is_failing(target):
            self.due_at[target] = time.monotonic() + TICK_SECONDS

    def _batch(self, target: str) -> grants.Batch:
        return grants.batch_for(
            self.keeper.view,
            target,
            self.keeper.holdings,
            self.running(target),
            time.monotonic(),
        )

    def _is_changed(self, target: str) -> bool:
        if self.prober.is_failing(target):
            return False
        given = self.given.get(target)
        if given is None:
            return False
        return given != self._batch(target)

    def _is_vacated(
        self,
        target: state.TargetState,
        slot: activation.Slot,
        fence: int,
        now: float,
    ) -> bool:
        bounds = self.keeper.bounds
        lapses_at = self.granted_at.get(target.target, NEVER)
        lapses_at += bounds.waited(bounds.lease)
        is_idle = slot.number not in self.running(target.target)
        if not target.fenced:
            return is_idle
        if now >= lapses_at:
            return True
        revocation = grants.Revocation(slot.number, fence)
        return revocation in self.revoked.get(target.target, frozenset())

    async def _wait_for_news(self) -> None:
        advanced = self.keeper.reader.advanced
        try:
            await asyncio.wait_for(advanced.wait(), TICK_SECONDS)
        except TimeoutError:
            return


def _none_running(_: str) -> frozenset[int]:
    return frozenset()
