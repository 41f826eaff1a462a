"""Program `measure-control`: what control costs at several sizes.

Idle deployments of growing size run for some seconds each; processor time and
memory come from the operating system, messages and bytes from the instances'
own counters.
"""

import asyncio
import statistics
import typing
from collections import abc

import cappa
import psutil
from prometheus_client import parser
from rich import console as consoles, table as tables

from bilberryglade_lab import deployment, programs, shapes

SETTLE_SECONDS: typing.Final = 5.0
MEASURED_SECONDS: typing.Final = 10.0
MEGABYTE: typing.Final = 1_000_000
KILOBYTE: typing.Final = 1_000
PERCENT: typing.Final = 100
TABLE_COLUMNS: typing.Final = 110
FAILURE_DOMAINS: typing.Final = tuple(f'domain-{number}' for number in range(6))


class Usage(typing.NamedTuple):
    """Running totals of one instance."""

    processor_seconds: float
    sent_messages: float
    sent_bytes: float


class ControlCost(typing.NamedTuple):
    """What control costs an instance, as the median over all instances."""

    instances: int
    core_percent: float
    resident_megabytes: float
    messages_a_second: float
    kilobytes_a_second: float


async def measure(instances: int) -> ControlCost:
    """Runs an idle deployment with so many instances and measures it."""
    shape = shapes.SMALL._replace(
        instances=instances,
        failure_domains=FAILURE_DOMAINS,
    )
    running = deployment.Deployment(shape)
    try:
        await running.start()
        await asyncio.sleep(SETTLE_SECONDS)
        before = await _usages(running)
        await asyncio.sleep(MEASURED_SECONDS)
        after = await _usages(running)
        return _cost(running, before, after)
    finally:
        await running.stop()


async def _usages(running: deployment.Deployment) -> list[Usage]:
    return [await _usage(running, name) for name in sorted(running.instances)]


async def _usage(running: deployment.Deployment, name: str) -> Usage:
    port = running.instances[name].admin_port
    response = await running.http.get(f'http://127.0.0.1:{port}/metrics')
    text = (await response.content()).decode()
    samples = {
        sample.name.removeprefix('bilberryglade_'): sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    }
    times = psutil.Process(running.running[name].handle.pid).cpu_times()
    return Usage(
        processor_seconds=times.user + times.system,
        sent_messages=samples['sent_messages_total'],
        sent_bytes=samples['sent_bytes_total'],
    )


def _cost(
    running: deployment.Deployment,
    before: abc.Sequence[Usage],
    after: abc.Sequence[Usage],
) -> ControlCost:
    resident = [
        psutil.Process(running.running[name].handle.pid).memory_info().rss
        for name in running.instances
    ]
    pairs = list(zip(before, after, strict=True))
    return ControlCost(
        instances=len(before),
        core_percent=PERCENT
        * _rate(
            [
                late.processor_seconds - early.processor_seconds
                for early, late in pairs
            ],
        ),
        resident_megabytes=statistics.median(resident) / MEGABYTE,
        messages_a_second=_rate(
            [late.sent_messages - early.sent_messages for early, late in pairs],
        ),
        kilobytes_a_second=_rate(
            [late.sent_bytes - early.sent_bytes for early, late in pairs],
        )
        / KILOBYTE,
    )


def _rate(used: abc.Sequence[float]) -> float:
    return statistics.median(used) / MEASURED_SECONDS


@programs.programs.register('measure-control')
async def run(
    sizes: typing.Annotated[
        list[int],
        cappa.Arg(help='numbers of instances'),
    ],
) -> None:
    """Measures idle instances at several sizes and prints a table."""
    table = tables.Table(title='Control of an idle instance (real processes)')
    for title in ('instances', '% of a core', 'MB', 'messages/s', 'KB/s'):
        table.add_column(title, justify='right')
    for size in sizes:
        cost = await measure(size)
        table.add_row(
            str(cost.instances),
            f'{cost.core_percent:.1f}',
            f'{cost.resident_megabytes:.0f}',
            f'{cost.messages_a_second:.1f}',
            f'{cost.kilobytes_a_second:.2f}',
        )
    consoles.Console(width=TABLE_COLUMNS).print(table)
