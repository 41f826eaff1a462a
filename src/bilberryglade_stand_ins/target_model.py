"""How a stand-in target behaves: grants, cold start, shedding, faults."""

import asyncio
import time
import typing

from bilberryglade_schema import platform


class TargetFaults(typing.NamedTuple):
    """Faults in force at a target."""

    #: Multiplies the service time.
    slowdown: float = 1
    #: Whether the process stops answering without closing connections.
    frozen: bool = False
    #: Milliseconds by which the load report lags.
    report_lag_ms: int = 0
    #: Requests whose key is in this list crash the target.
    poison_keys: tuple[str, ...] = ()


class TargetShape(typing.NamedTuple):
    """What a target is, apart from its state."""

    name: str
    service: str
    failure_domain: str
    port: int
    concurrency: int
    fenced: bool
    #: Seconds of work of one request on a warm target.
    work_seconds: float
    #: Requests that warm the target up.
    warm_after: int
    #: Requests at once that a cold target bears; one more makes it fall over.
    cold_limit: int


class GrantHeld(typing.NamedTuple):
    """A grant that the target has been given."""

    fence: int
    #: Monotonic seconds at which the lease lapses.
    until: float


class TargetModel:
    """State of one stand-in target."""

    def __init__(self, shape: TargetShape) -> None:
        """Starts cold, with no grant."""
        self.shape = shape
        self.faults = TargetFaults()
        self.grants: dict[int, GrantHeld] = {}
        self.journal: list[platform.JournalEntry] = []
        self.running = 0
        self.completed = 0
        self.draining = False
        self.down_until = float('-inf')
        self.falls = 0
        self.most_running_cold = 0
        self.load_history: list[tuple[float, int]] = []

    @property
    def is_cold(self) -> bool:
        """Whether the target has not completed enough work."""
        return self.completed < self.shape.warm_after

    @property
    def is_down(self) -> bool:
        """Whether the target has fallen over and is restarting."""
        return time.monotonic() < self.down_until

    def take_grant(self, slot: int, fence: int, lease_seconds: float) -> bool:
        """Takes a grant unless a higher fence was seen for the slot."""
        held = self.grants.get(slot)
        if held is not None and held.fence > fence:
            return False
        until = time.monotonic() + lease_seconds
        self.grants[slot] = GrantHeld(fence, until)
        return True

    def holds(self, slot: int, fence: int) -> bool:
        """Tells whether `fence` is the valid grant of `slot`."""
        held = self.grants.get(slot)
        if held is None:
            return False
        return held.fence == fence and time.monotonic() < held.until

    def fall_over(self, seconds: float) -> None:
        """Loses all grants and warmth and stays down for `seconds`."""
        self.falls += 1
        self.down_until = time.monotonic() + seconds
        self.completed = 0
        self.grants.clear()

    def note_load(self) -> None:
        """Records the load for reports that lag."""
        self.load_history.append((time.monotonic(), self.running))
        del self.load_history[:-1000]  # noqa: WPS420

    def reported_running(self) -> int:
        """Returns the running requests as of `report_lag_ms` ago."""
        moment = time.monotonic() - self.faults.report_lag_ms / 1000
        shown = 0
        for at, running in self.load_history:
            if at <= moment:
                shown = running
        return shown

    async def work(self) -> None:
        """Takes the time of one request."""
        seconds = self.shape.work_seconds * self.faults.slowdown
        if self.is_cold:
            seconds *= 2
        await asyncio.sleep(seconds)
