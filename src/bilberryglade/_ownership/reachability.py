"""Tracks which owners of keys accept orders, and probes those that did not.

The store cannot show this: it keeps the entry of a running target unchanged
while the coordinator's network path to that target is cut.
"""

import asyncio
import typing
from collections import abc

import loguru

from bilberryglade._ownership import ranges
from bilberryglade._targets import directory
from bilberryglade._values import clock, leases
from bilberryglade.platform import orders

#: Time without a confirmed order after which a target cannot own keys.
UNREACHABLE_AFTER_SECONDS: typing.Final = 1.5
#: Shortest and longest interval between two probes of a failing target.
MIN_PROBE_INTERVAL_SECONDS: typing.Final = 0.3
MAX_PROBE_INTERVAL_SECONDS: typing.Final = 1.0
#: Probe interval as a fraction of the time since the first failed order.
PROBE_INTERVAL_FRACTION: typing.Final = 0.25


class FailingTarget(typing.NamedTuple):
    """Failure state of a target that has not confirmed its latest orders."""

    #: Monotonic seconds of the first failed order.
    failing_since: float
    #: Monotonic seconds at which the next probe is due.
    next_probe_at: float


class Reachability:
    """The owners whose last order failed, and the probes of them."""

    def __init__(
        self,
        target_orders: orders.Orders,
        on_recovery: abc.Callable[[ranges.Owner], None],
    ) -> None:
        """`on_recovery` is called when a target answers again."""
        self.orders = target_orders
        self.on_recovery = on_recovery
        self.failing: dict[ranges.Owner, FailingTarget] = {}
        self.probes: dict[ranges.Owner, asyncio.Task[None]] = {}

    def reset(self) -> None:
        """Treats all targets as reachable and cancels all probes."""
        for task in self.probes.values():
            task.cancel()
        self.probes.clear()
        self.failing.clear()

    def record_failure(self, owner: ranges.Owner) -> None:
        """Records that an order to the owner was not confirmed."""
        now = clock.now()
        self.failing.setdefault(
            owner, FailingTarget(now, now + MIN_PROBE_INTERVAL_SECONDS)
        )

    def is_failing(self, owner: ranges.Owner) -> bool:
        """Returns whether the owner's last order failed.

        The target may have started again since then.
        """
        return owner in self.failing

    def is_unreachable(self, owner: ranges.Owner, now: float) -> bool:
        """Returns whether orders have failed for `UNREACHABLE_AFTER_SECONDS`."""
        failing = self.failing.get(owner)
        return (
            failing is not None
            and now - failing.failing_since > UNREACHABLE_AFTER_SECONDS
        )

    def start_due_probes(
        self,
        find_target: abc.Callable[[ranges.Owner], directory.Target | None],
        health_path: abc.Callable[[str], str],
    ) -> None:
        """Starts the probes that are due.

        `find_target` returns the listed target of an incarnation, or None;
        `health_path` returns the path of a service's health checks.
        """
        now = clock.now()
        for owner, failing in list(self.failing.items()):
            target = find_target(owner)
            if target is None:
                self.failing.pop(owner)
            elif failing.next_probe_at <= now and owner not in self.probes:
                self.failing[owner] = failing._replace(
                    next_probe_at=_next_probe_at(failing, now)
                )
                self._start_probe(owner, target, health_path(target.service))

    def _start_probe(
        self,
        owner: ranges.Owner,
        target: directory.Target,
        path: str,
    ) -> None:
        task = asyncio.create_task(self._probe(owner, target, path))
        self.probes[owner] = task
        task.add_done_callback(lambda _: self._remove_probe(owner, task))

    def _remove_probe(
        self, owner: ranges.Owner, task: asyncio.Task[None]
    ) -> None:
        if self.probes.get(owner) is task:
            self.probes.pop(owner)
        if not task.cancelled():
            task.result()

    async def _probe(
        self,
        owner: ranges.Owner,
        target: directory.Target,
        path: str,
    ) -> None:
        holder = leases.Holder(target.name, target.address)
        if not await self.orders.reach(holder, path):
            return
        if self.failing.pop(owner, None) is not None:
            loguru.logger.info('target {} answers again', target.name)
            self.on_recovery(owner)


def _next_probe_at(failing: FailingTarget, now: float) -> float:
    interval = max(
        (now - failing.failing_since) * PROBE_INTERVAL_FRACTION,
        MIN_PROBE_INTERVAL_SECONDS,
    )
    return now + min(interval, MAX_PROBE_INTERVAL_SECONDS)
