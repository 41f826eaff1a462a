"""A planned stop on the first signal, an end at once on the second."""

import asyncio
import os
import signal
import time
import typing
from collections import abc

from bilberryglade._state import folding, state

SIGNALS: typing.Final = (signal.SIGTERM, signal.SIGINT)
LOOK_SECONDS: typing.Final = 0.05


class Stopper:
    """Knows whether a planned stop was asked for."""

    def __init__(self) -> None:
        """Nothing was asked for."""
        self.requested = asyncio.Event()

    @property
    def is_requested(self) -> bool:
        """Whether the instance is to stop."""
        return self.requested.is_set()

    def install(self) -> None:
        """Takes the signals of the process."""
        loop = asyncio.get_running_loop()
        for number in SIGNALS:
            loop.add_signal_handler(number, self.take_signal, number)

    def take_signal(self, number: int) -> None:
        """Asks for a planned stop; a second signal ends the process."""
        if not self.is_requested:
            self.requested.set()
            return
        asyncio.get_running_loop().remove_signal_handler(number)
        os.kill(os.getpid(), number)


def leave_record(member: state.Member) -> folding.Record:
    """Returns the record of a planned leave."""
    return {
        'id': f'left-{member.joined_at}',
        'kind': 'instance_left',
        'instance': member.instance,
        'joined_at': member.joined_at,
        'reason': 'planned',
    }


async def wait_until(
    condition: abc.Callable[[], bool],
    seconds: float,
) -> bool:
    """Waits until `condition` holds; returns False after `seconds`."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() >= deadline:
            return False
        await asyncio.sleep(LOOK_SECONDS)
    return True
