"""Asks of a peer that wait for its answer, for a short time."""

import asyncio
import typing
from collections import abc

Answer = typing.TypeVar('Answer')


class Asks(typing.Generic[Answer]):
    """Asks on their way, each with a number of its own."""

    def __init__(self) -> None:
        """Waits for nothing."""
        self.waiting: dict[int, asyncio.Future[Answer]] = {}

    async def wait(
        self,
        number: int,
        send: abc.Callable[[], bool],
        seconds: float,
    ) -> Answer | None:
        """Sends an ask; returns its answer, or None if none came in time.

        `send` returns False if the ask cannot be sent.
        """
        future: asyncio.Future[Answer] = (
            asyncio.get_running_loop().create_future()
        )
        if not send():
            return None
        self.waiting[number] = future
        try:
            async with asyncio.timeout(seconds):
                return await future
        except TimeoutError:
            # The asker goes on without an answer.
            return None
        finally:
            self.waiting.pop(number, None)

    def answer(self, number: int, answer: Answer) -> bool:
        """Hands over an answer; returns False if nobody waits for it."""
        future = self.waiting.get(number)
        if future is None or future.done():
            return False
        future.set_result(answer)
        return True
