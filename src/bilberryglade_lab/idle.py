"""Measures what idle instances cost: `python -m bilberryglade_lab.idle`."""

import asyncio
import sys
import typing

import psutil

from bilberryglade_lab import deployment, shapes

SECONDS: typing.Final = 10.0
SETTLE_SECONDS: typing.Final = 3.0
INSTANCES: typing.Final = 12
MEGABYTE: typing.Final = 1_000_000


class Cost(typing.NamedTuple):
    """What one idle instance used."""

    instance: str
    #: Percent of one core.
    core_percent: float
    resident_megabytes: float
    threads: int
    descriptors: int


async def measure(shape: shapes.DeploymentShape) -> list[Cost]:
    """Returns the cost of each instance of an idle deployment."""
    running = deployment.Deployment(shape)
    try:
        await running.start()
        await asyncio.sleep(SETTLE_SECONDS)
        processes = {
            name: psutil.Process(running.running[name].handle.pid)
            for name in running.instances
        }
        before = {name: _used(found) for name, found in processes.items()}
        await asyncio.sleep(SECONDS)
        return [
            _cost(name, found, before[name])
            for name, found in processes.items()
        ]
    finally:
        await running.stop()


def _used(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _cost(name: str, process: psutil.Process, before: float) -> Cost:
    return Cost(
        instance=name,
        core_percent=100 * (_used(process) - before) / SECONDS,
        resident_megabytes=process.memory_info().rss / MEGABYTE,
        threads=process.num_threads(),
        descriptors=process.num_fds(),
    )


def main() -> None:
    """Prints one line an instance."""
    shape = shapes.SMALL._replace(instances=INSTANCES)
    for cost in asyncio.run(measure(shape)):
        sys.stdout.write(
            f'{cost.instance}: {cost.core_percent:.1f} % of a core, '
            f'{cost.resident_megabytes:.0f} MB, {cost.threads} threads, '
            f'{cost.descriptors} descriptors\n',
        )


if __name__ == '__main__':
    main()
