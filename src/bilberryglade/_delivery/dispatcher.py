"""Dispatches requests to led targets within their concurrency."""

import asyncio
import time
import typing

from bilberryglade._state import state
from bilberryglade._targets import client
from bilberryglade._values import outcomes, requests


class Channel:
    """The queue in front of one target; its leader has the only one."""

    def __init__(self, concurrency: int) -> None:
        """Lets `concurrency` requests run at the same time."""
        self.places = asyncio.Semaphore(concurrency)
        self.waiting = 0


class Dispatch(typing.NamedTuple):
    """A request with the target and grant it is to run under."""

    request: requests.RoutedRequest
    target: state.TargetState
    grant: client.GrantHeaders


class Dispatcher:
    """Holds a channel for each target that this instance leads."""

    def __init__(self, targets: client.TargetClient, queue_length: int) -> None:
        """Lets up to `queue_length` requests wait for each target."""
        self.targets = targets
        self.queue_length = queue_length
        self.channels: dict[str, Channel] = {}

    async def run(self, dispatch: Dispatch) -> outcomes.Outcome:
        """Waits for a place, then sends the request once."""
        target = dispatch.target
        channel = self.channels.get(target.target)
        if channel is None:
            channel = Channel(target.concurrency)
            self.channels[target.target] = channel
        if channel.waiting >= self.queue_length:
            return outcomes.NotRun(outcomes.Reason.queue_full)
        channel.waiting += 1
        try:
            await asyncio.wait_for(
                channel.places.acquire(),
                dispatch.request.deadline - time.monotonic(),
            )
        except TimeoutError:
            return outcomes.NotRun(outcomes.Reason.deadline)
        finally:
            channel.waiting -= 1
        try:
            return await self._send(dispatch)
        finally:
            channel.places.release()

    async def _send(self, dispatch: Dispatch) -> outcomes.Outcome:
        left = dispatch.request.deadline - time.monotonic()
        if left <= 0:
            return outcomes.NotRun(outcomes.Reason.deadline)
        return await self.targets.run(
            dispatch.target.address,
            dispatch.request,
            dispatch.grant,
            left,
        )
