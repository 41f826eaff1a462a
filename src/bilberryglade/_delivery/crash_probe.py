"""Detects that a target crashed while it ran requests of this instance.

A crash needs two signs: exchanges that broke, and a target that refuses new
connections afterwards. One that gives no answer may be cut off or frozen.
"""

import asyncio
import typing
from collections import abc

from bilberryglade._targets import directory
from bilberryglade._values import clock

#: Time in which all exchanges with a crashed target break.
GATHER_SECONDS: typing.Final = 0.05
#: Timeout of the connection that tests whether a target has crashed.
PROBE_TIMEOUT_SECONDS: typing.Final = 0.3


class Crash(typing.NamedTuple):
    """A crash of a target while it ran requests of this instance."""

    life: directory.Life
    #: Seconds at which the first exchange broke.
    crashed_at: float
    #: Seconds at which each request was sent there, by its fingerprint.
    runs: dict[str, float]


class CrashProbe:
    """Gathers the requests that broke at a target, and tests it once."""

    def __init__(self, on_crash: abc.Callable[[Crash], None]) -> None:
        """Calls `on_crash` with each crash."""
        self.on_crash = on_crash
        #: Crashes that are being tested, by life.
        self.tested: dict[directory.Life, Crash] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def add(
        self, target: directory.Target, fingerprint: str, sent_at: float
    ) -> None:
        """Adds a request whose exchange with a target broke."""
        life = directory.life_of(target)
        crash = self.tested.get(life)
        if crash is not None:
            earlier = crash.runs.get(fingerprint, sent_at)
            crash.runs[fingerprint] = max(earlier, sent_at)
            return
        crash = Crash(life, clock.now(), {fingerprint: sent_at})
        self.tested[life] = crash
        task = asyncio.create_task(self._test(crash, target.address))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _test(self, crash: Crash, address: str) -> None:
        await asyncio.sleep(GATHER_SECONDS)
        has_crashed = await refuses_connections(address)
        self.tested.pop(crash.life)
        if has_crashed:
            self.on_crash(crash)


async def refuses_connections(address: str) -> bool:
    """Returns whether an address (`host:port`) refuses connections."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        # No answer proves no crash: the target may be cut off by the network.
        return False
    writer.transport.abort()
    return False
