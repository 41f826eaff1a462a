"""Event loop on virtual time with processes that freeze, slow down or end."""

import asyncio
import collections
import contextvars
import functools
import gc
import sys
import typing
from collections import abc
from unittest import mock

import loguru

from bilberryglade._values import clock

Outcome = typing.TypeVar('Outcome')

#: Simulated process whose code is running; None outside all of them.
running_process: typing.Final[contextvars.ContextVar['Process | None']] = (
    contextvars.ContextVar('running', default=None)
)


class HeldCallback:
    """A callback that is held back until its process may run."""

    def __init__(
        self,
        callback: abc.Callable[..., object],
        arguments: tuple[object, ...],
        context: contextvars.Context,
    ) -> None:
        """Stores the call; the loop sets `handle` when it schedules it."""
        self.callback = callback
        self.arguments = arguments
        self.context = context
        #: Handle by which the caller can cancel the callback.
        self.handle: asyncio.Handle | None = None

    def is_cancelled(self) -> bool:
        """Returns whether the callback was cancelled while it was held back."""
        return self.handle is not None and self.handle.cancelled()


class Process:
    """A simulated process; its callbacks run in order, none once it is dead."""

    def __init__(self, name: str) -> None:
        """Starts a process that is not frozen, at full speed."""
        self.name = name
        self.is_dead = False
        self.is_frozen = False
        #: Virtual seconds that each callback takes.
        self.callback_seconds: float = 0
        self.busy_until: float = 0
        #: Seconds that its clock advances per virtual second.
        self.clock_rate: float = 1
        self.held_callbacks: collections.deque[HeldCallback] = (
            collections.deque()
        )
        self.is_run_scheduled = False
        self.context = contextvars.copy_context()
        self.context.run(running_process.set, self)

    def may_run(self, now: float) -> bool:
        """Returns whether the next callback may run at `now`."""
        return not self.is_frozen and now >= self.busy_until


class VirtualSelector:
    """Replaces the selector: advances virtual time instead of waiting."""

    def __init__(self) -> None:
        """Starts the virtual clock at 0 seconds."""
        self.now: float = 0

    def select(self, timeout: float | None) -> list[object]:
        """Advances the clock by `timeout`; returns no events.

        Raises:
            RuntimeError: nothing is scheduled, so the loop would wait forever.
        """
        if timeout is None:
            raise RuntimeError('event loop has no scheduled callbacks left')
        self.now += max(timeout, 0)
        return []

    def close(self) -> None:
        """Does nothing: there are no resources to release."""


class VirtualLoop(asyncio.BaseEventLoop):
    """Runs due callbacks, then moves virtual time to the next scheduled one."""

    def __init__(self) -> None:
        """Creates the loop; virtual time starts at 0 seconds."""
        super().__init__()
        self._selector = VirtualSelector()
        self._clock_resolution = 1e-9

    def time(self) -> float:
        """Returns virtual seconds since the start."""
        return self._selector.now

    def clock(self) -> float:
        """Returns the time of the running process, whose clock may run fast or slow."""
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
        """Schedules a callback in the simulated process of its context."""
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
        """Schedules a callback at virtual time `when` in the process of its context."""
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
        """Suspends a process; its clock continues."""
        process.is_frozen = True

    def thaw(self, process: Process) -> None:
        """Resumes a process, beginning with the callbacks held back."""
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
        """Does nothing: the selector returns no events."""

    def _write_to_self(self) -> None:
        """Does nothing: no other thread wakes the loop."""


def run(
    loop: VirtualLoop,
    coroutine: abc.Coroutine[typing.Any, typing.Any, Outcome],
    errors: list[str] | None = None,
) -> Outcome:
    """Runs a coroutine on virtual time and without log lines; closes the loop.

    Exceptions that end other tasks are added to `errors`. Tasks that are left,
    as those of killed processes, are dropped unfinished.
    """
    loguru.logger.disable('bilberryglade')
    loop.set_exception_handler(
        functools.partial(_record_error, [] if errors is None else errors)
    )
    with (
        mock.patch.object(clock, 'now', loop.clock),
        mock.patch.object(sys, 'unraisablehook', lambda _: None),
    ):
        try:
            return loop.run_until_complete(coroutine)
        finally:
            _close(loop)


def _close(loop: VirtualLoop) -> None:
    """Closes the loop and deletes the tasks that are left."""
    loop.close()
    gc.collect()
    loguru.logger.enable('bilberryglade')


def _record_error(
    errors: list[str],
    _: asyncio.AbstractEventLoop,
    context: dict[str, typing.Any],
) -> None:
    """Records exceptions; ignores asyncio's messages on dropped tasks."""
    error = context.get('exception')
    if error is not None:
        errors.append(repr(error))
