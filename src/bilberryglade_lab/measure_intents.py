"""Measures durable intents: added latency and appends a second.

`python -m bilberryglade_lab.measure_intents` runs each gathering policy over
the stand-in log at stated delays and rates of requests, from one instance.
"""

import asyncio
import itertools
import sys
import time
import typing
import uuid

import aiosonic
import cappa
import msgspec
from hdrh import histogram
from rich import console, table

from bilberryglade._delivery import batching, intent_log
from bilberryglade._log import log_client
from bilberryglade_lab import processes, programs

DELAYS_MS: typing.Final = (0, 5, 20)
RATES: typing.Final = (10, 100, 1000)
INSTANCES: typing.Final = 12
MICROSECONDS: typing.Final = 1_000_000
HIGHEST_MICROSECONDS: typing.Final = 60_000_000
MILLISECOND_MICROSECONDS: typing.Final = 1000
START_SECONDS: typing.Final = 10.0
P50: typing.Final = 50
P99: typing.Final = 99


class Row(typing.NamedTuple):
    """One run."""

    policy: str
    delay_ms: int
    #: Requests a second that were sent.
    rate: int
    recorded: int
    unrecorded: int
    appends_per_second: float
    p50_ms: float
    p99_ms: float


class Run:
    """Intents of one policy at one rate."""

    def __init__(self, policy: str, url: str) -> None:
        """Records through a client of its own."""
        self.http = aiosonic.HTTPClient()
        pacer = batching.Pacer(policy)
        pacer.rate = batching.append_rate(INSTANCES)
        self.log = intent_log.IntentLog(
            'entry-0',
            f'run-{uuid.uuid4().hex}',
            log_client.LogClient(url, self.http),
            pacer,
        )
        self.latencies = histogram.HdrHistogram(1, HIGHEST_MICROSECONDS, 3)
        self.recorded = 0
        self.unrecorded = 0

    async def one(self) -> None:
        """Records one intent and notes how long it took."""
        began = time.monotonic()
        committed = await self.log.record(uuid.uuid4().hex, 'office')
        taken = (time.monotonic() - began) * MICROSECONDS
        if not committed.is_durable:
            self.unrecorded += 1
            return
        self.recorded += 1
        self.latencies.record_value(max(int(taken), 1))

    async def all(self, rate: int, seconds: float) -> float:
        """Sends `rate` intents a second; returns the seconds it took."""
        began = time.monotonic()
        tasks: list[asyncio.Task[None]] = []
        for number in range(int(rate * seconds)):
            due = began + number / rate
            await asyncio.sleep(max(due - time.monotonic(), 0))
            tasks.append(asyncio.create_task(self.one()))
        await asyncio.gather(*tasks)
        return time.monotonic() - began


async def measure(
    policy: str,
    delay_ms: int,
    rate: int,
    seconds: float,
    url: str,
) -> Row:
    """Runs one policy at one delay and rate."""
    run = Run(policy, url)
    faults = msgspec.json.encode({'delay_seconds': delay_ms / 1000})
    await run.http.put(f'{url}/faults', data=faults)
    taken = await run.all(rate, seconds)
    await run.http.aclose()
    return Row(
        policy=policy,
        delay_ms=delay_ms,
        rate=rate,
        recorded=run.recorded,
        unrecorded=run.unrecorded,
        appends_per_second=run.log.appends / taken,
        p50_ms=_quantile_ms(run.latencies, P50),
        p99_ms=_quantile_ms(run.latencies, P99),
    )


@programs.programs.register('measure-intents')
async def measure_intents(
    seconds: typing.Annotated[
        float,
        cappa.Arg(long=True, help='length of each run'),
    ] = 3.0,
) -> None:
    """Prints added latency and appends a second of each gathering policy."""
    port = processes.free_ports(1)[0]
    url = f'http://127.0.0.1:{port}'
    arguments = ['bilberryglade_stand_ins', 'log', '--port', str(port)]
    service = await processes.start('log', arguments)
    try:
        await _wait_for(url)
        rows = [
            await measure(policy, delay_ms, rate, seconds, url)
            for policy, delay_ms, rate in itertools.product(
                batching.policies.names(),
                DELAYS_MS,
                RATES,
            )
        ]
    finally:
        await processes.stop(service)
    _print(rows)


async def _wait_for(url: str) -> None:
    deadline = time.monotonic() + START_SECONDS
    while time.monotonic() < deadline:
        try:
            await aiosonic.HTTPClient().get(f'{url}/report')
        except OSError:
            await asyncio.sleep(0.1)
            continue
        return
    raise TimeoutError('the log does not answer')


def _quantile_ms(latencies: histogram.HdrHistogram, percent: int) -> float:
    value = latencies.get_value_at_percentile(percent)
    return float(value) / MILLISECOND_MICROSECONDS


def _print(rows: list[Row]) -> None:
    figures = table.Table()
    for name in Row._fields:
        figures.add_column(name, justify='right')
    for row in rows:
        figures.add_row(*(_text(cell) for cell in row))
    console.Console(width=120).print(figures)


def _text(cell: str | int | float) -> str:
    return f'{cell:.1f}' if isinstance(cell, float) else str(cell)


if __name__ == '__main__':
    command = cappa.Command.get(measure_intents)
    asyncio.run(cappa.invoke_async(command, argv=sys.argv[1:]))
