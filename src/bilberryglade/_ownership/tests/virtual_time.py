"""An event loop on virtual time, on which processes freeze, crawl and die."""

import asyncio
import collections
import contextvars
import typing
from collections import abc

#: The process whose code runs; None for the world around all processes.
running_process: typing.Final[contextvars.ContextVar['Process | None']] = (
    contextvars.ContextVar('running', default=None)
)


class HeldCallback:
    """A callback that waits until its process may run."""

    def __init__(
        self,
        callback: abc.Callable[..., object],
        arguments: tuple[object, ...],
        context: contextvars.Context,
    ) -> None:
        """Is not scheduled yet."""
        self.callback = callback
        self.arguments = arguments
        self.context = context
        #: Tells whether it was cancelled meanwhile.
        self.handle: asyncio.Handle | None = None

    def is_cancelled(self) -> bool:
        """Tells whether nobody waits for it any more."""
        return self.handle is not None and self.handle.cancelled()


class Process:
    """One process on the loop: its callbacks run in order, or not at all."""

    def __init__(self, name: str) -> None:
        """Runs at full speed."""
        self.name = name
        self.is_dead = False
        self.is_frozen = False
        #: Seconds that each callback takes.
        self.callback_seconds: float = 0
        self.busy_until: float = 0
        #: Seconds that its clock counts in a second.
        self.clock_rate: float = 1
        self.held_callbacks: collections.deque[HeldCallback] = (
            collections.deque()
        )
        self.is_run_scheduled = False
        self.context = contextvars.copy_context()
        self.context.run(running_process.set, self)

    def may_run(self, now: float) -> bool:
        """Tells whether its next callback may run now."""
        return not self.is_frozen and now >= self.busy_until


class VirtualSelector:
    """Stands for the selector: instead of waiting, time goes on."""

    def __init__(self) -> None:
        """Starts at zero."""
        self.now: float = 0

    def select(self, timeout: float | None) -> list[object]:
        """Lets `timeout` seconds pass; there are no sockets."""
        if timeout is None:
            raise RuntimeError('nothing is scheduled any more')
        self.now += max(timeout, 0)
        return []

    def close(self) -> None:
        """Holds nothing."""


class VirtualLoop(asyncio.BaseEventLoop):
    """Runs what is due, and moves its clock to what is due next."""

    def __init__(self) -> None:
        """Starts at zero seconds."""
        super().__init__()
        self._selector = VirtualSelector()
        self._clock_resolution = 1e-9

    def time(self) -> float:
        """Returns virtual seconds since the start."""
        return self._selector.now

    def clock(self) -> float:
        """Returns what the clock of the running process shows."""
        process = running_process.get()
        if process is None:
            return self.time()
        return self.time() * process.clock_rate

    def call_soon(
        self,
        callback: abc.Callable[..., object],
        *arguments: object,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Schedules a callback in the process of its context."""
        context = contextvars.copy_context() if context is None else context
        process = context.get(running_process)
        if process is None:
            return super().call_soon(callback, *arguments, context=context)
        held = HeldCallback(callback, arguments, context)
        handle = super().call_soon(self._enter, process, held, context=context)
        held.handle = handle
        return handle

    def call_at(
        self,
        when: float,
        callback: abc.Callable[..., object],
        *arguments: object,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedules a callback at virtual seconds in its process."""
        context = contextvars.copy_context() if context is None else context
        process = context.get(running_process)
        if process is None:
            return super().call_at(when, callback, *arguments, context=context)
        held = HeldCallback(callback, arguments, context)
        handle = super().call_at(
            when, self._enter, process, held, context=context
        )
        held.handle = handle
        return handle

    def freeze(self, process: Process) -> None:
        """Stops a process; its clock goes on."""
        process.is_frozen = True

    def thaw(self, process: Process) -> None:
        """Lets a process go on with what came meanwhile."""
        process.is_frozen = False
        self._schedule_held_callbacks(process, self.time())

    def _enter(self, process: Process, held: HeldCallback) -> None:
        if process.is_dead:
            return
        if process.held_callbacks or not process.may_run(self.time()):
            process.held_callbacks.append(held)
            self._schedule_held_callbacks(process, process.busy_until)
            return
        process.busy_until = self.time() + process.callback_seconds
        held.callback(*held.arguments)

    def _schedule_held_callbacks(self, process: Process, when: float) -> None:
        if process.is_run_scheduled or process.is_frozen:
            return
        process.is_run_scheduled = True
        self.call_at(
            max(when, self.time()),
            self._run_held_callbacks,
            process,
            context=contextvars.Context(),
        )

    def _run_held_callbacks(self, process: Process) -> None:
        process.is_run_scheduled = False
        while process.held_callbacks and not process.is_dead:
            if not process.may_run(self.time()):
                self._schedule_held_callbacks(process, process.busy_until)
                return
            held = process.held_callbacks.popleft()
            if held.is_cancelled():
                continue
            process.busy_until = self.time() + process.callback_seconds
            held.context.run(held.callback, *held.arguments)

    def _process_events(self, event_list: list[object]) -> None:
        """Has no events."""

    def _write_to_self(self) -> None:
        """Needs no waking: there are no threads."""
