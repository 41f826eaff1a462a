"""Program `measure-router`: what the router adds to a direct call.

One target that checks no fence answers direct calls and calls through its
leader and through an instance that forwards to the leader, one at a time.
Then many callers at once show what one core of an instance carries.
"""

import asyncio
import time
import typing
from collections import abc

import numpy
import psutil
from rich import console as consoles, table as tables

from bilberryglade_lab import deployment, programs, shapes

WARM_CALLS: typing.Final = 120
CALLS: typing.Final = 600
FLOOD_SECONDS: typing.Final = 5.0
FLOOD_CALLERS: typing.Final = 16
MILLISECONDS: typing.Final = 1000
WORK_SECONDS: typing.Final = 0.001
RULES: typing.Final = """
service ledger path /ledger key path 2 isolation yield # asked for by operations
allow minders to ledger rate 100000/s burst 100000     # asked for by accounts
"""
SHAPE: typing.Final = shapes.SMALL._replace(
    name='router',
    failure_domains=('north',),
    instances=2,
    services=(
        shapes.ServiceShape(
            'ledger',
            targets=1,
            concurrency=16,
            work_seconds=WORK_SECONDS,
            fenced=False,
            cold_limit=16,
        ),
    ),
    rules=RULES,
    organisations=('minders',),
)

Call: typing.TypeAlias = abc.Callable[[], abc.Awaitable[object]]


class Latency(typing.NamedTuple):
    """Latency of calls made one at a time."""

    way: str
    p50_ms: float
    p99_ms: float


class Load(typing.NamedTuple):
    """What an instance did under many callers."""

    requests_a_second: float
    core_share: float


async def latency(way: str, call: Call) -> Latency:
    """Returns the latency of `call`, one at a time."""
    for _ in range(WARM_CALLS):
        await call()
    seconds: list[float] = []
    for _ in range(CALLS):
        began = time.monotonic()
        await call()
        seconds.append(time.monotonic() - began)
    quantiles = numpy.quantile(seconds, (0.5, 0.99)) * MILLISECONDS
    return Latency(way, float(quantiles[0]), float(quantiles[1]))


async def load(call: Call, process: psutil.Process) -> Load:
    """Returns what `process` carried under many callers."""
    before = sum(process.cpu_times()[:2])
    began = time.monotonic()
    counts = await asyncio.gather(
        *(
            _call_until(call, began + FLOOD_SECONDS)
            for _ in range(FLOOD_CALLERS)
        ),
    )
    seconds = time.monotonic() - began
    used = sum(process.cpu_times()[:2]) - before
    return Load(sum(counts) / seconds, used / seconds)


async def _call_until(call: Call, ends_at: float) -> int:
    count = 0
    while time.monotonic() < ends_at:
        await call()
        count += 1
    return count


async def _leader(running: deployment.Deployment) -> str:
    """Returns the instance that led the calls so far, by processor time."""
    before = _used(running)
    for _ in range(CALLS):
        await running.call('entry-0', 'minders', '/ledger/child')
        await running.call('entry-1', 'minders', '/ledger/child')
    after = _used(running)
    return max(after, key=lambda name: after[name] - before[name])


def _used(running: deployment.Deployment) -> dict[str, float]:
    return {
        name: sum(
            psutil.Process(running.running[name].handle.pid).cpu_times()[:2]
        )
        for name in running.instances
    }


class Ways:
    """The three ways of one call."""

    def __init__(self, running: deployment.Deployment, leader: str) -> None:
        """Calls through `leader`, through the other instance, and directly."""
        self.running = running
        self.leader = leader
        self.other = next(name for name in running.instances if name != leader)
        self.port = next(iter(running.targets.values())).port

    async def direct(self) -> None:
        """Calls the target itself."""
        response = await self.running.http.get(
            f'http://127.0.0.1:{self.port}/ledger/child',
        )
        await response.content()

    async def led(self) -> None:
        """Calls through the target's leader."""
        await self.running.call(self.leader, 'minders', '/ledger/child')

    async def forwarded(self) -> None:
        """Calls through an instance that forwards to the leader."""
        await self.running.call(self.other, 'minders', '/ledger/child')


@programs.programs.register('measure-router')
async def run() -> None:
    """Measures the cost of the router and prints it."""
    running = deployment.Deployment(SHAPE)
    try:
        await running.start()
        await _print_costs(running)
    finally:
        await running.stop()


async def _print_costs(running: deployment.Deployment) -> None:
    ways = Ways(running, await _leader(running))
    rows = (
        await latency('direct', ways.direct),
        await latency('through the leader', ways.led),
        await latency('through a peer', ways.forwarded),
    )
    process = psutil.Process(running.running[ways.leader].handle.pid)
    carried = await load(ways.led, process)
    table = tables.Table(title='Latency of one call at a time')
    for title in ('way', 'p50 ms', 'p99 ms'):
        table.add_column(title, justify='right')
    for row in rows:
        table.add_row(row.way, f'{row.p50_ms:.2f}', f'{row.p99_ms:.2f}')
    console = consoles.Console()
    console.print(table)
    console.print(
        f'{FLOOD_CALLERS} callers at once through the leader: '
        f'{carried.requests_a_second:.0f} requests/s at '
        f'{carried.core_share:.2f} of a core',
    )
