"""Runs simulations of leases with injected faults, one per seed.

The seed determines which faults occur and when; they may overlap. To run seeds
by hand: `python -m bilberryglade._ownership.tests.lease_explorer FIRST LAST`. A
single seed also prints the log lines of its instances.
"""

import asyncio
import random
import sys
import typing
from collections import abc
from unittest import mock

import loguru

from bilberryglade._ownership import lease_manager
from bilberryglade._ownership.tests import (
    lease_faults,
    lease_input_faults,
    lease_simulation,
    lease_store_faults,
    owner_rules,
    virtual_time,
)

#: Modules whose import registers faults.
REGISTERING_MODULES: typing.Final = (
    lease_faults,
    lease_store_faults,
    lease_input_faults,
)
#: Virtual duration of a simulation, and the earliest and latest time at which a
#: group of faults starts.
RUN_SECONDS: typing.Final = 22.0
FIRST_FAULT_SECONDS: typing.Final = 2.5
LAST_FAULT_SECONDS: typing.Final = 15.0
#: Time within which the faults of one group start.
FAULT_SPREAD_SECONDS: typing.Final = 1.5


class SimulationRun(typing.NamedTuple):
    """Outcome of the simulation of one seed."""

    seed: int
    #: Number of grants checked against the rules of ownership.
    checked_grants: int
    violations: tuple[owner_rules.Violation, ...]
    #: Start time (virtual seconds) and name of each fault, in order.
    faults: tuple[tuple[float, str], ...]
    #: Exceptions that ended a task of the tested program.
    errors: tuple[str, ...] = ()
    #: Log lines of the instances, if requested.
    log_lines: tuple[str, ...] = ()


def run_seed(seed: int, *, with_log_lines: bool = False) -> SimulationRun:
    """Runs the simulation of one seed to its end."""
    loop = virtual_time.VirtualLoop()
    log_lines: list[str] = []
    errors: list[str] = []
    random.seed(seed)
    run = virtual_time.run(
        loop, _run_seed(seed, loop, log_lines, with_log_lines), errors
    )
    return run._replace(log_lines=tuple(log_lines), errors=tuple(errors))


def _keep_lines(loop: virtual_time.VirtualLoop, log_lines: list[str]) -> None:
    """Adds the lines of the instances to `log_lines` from now on."""
    loguru.logger.enable('bilberryglade')
    loguru.logger.remove()
    loguru.logger.add(
        lambda text: log_lines.append(f'{loop.time():8.3f} {text}'),
        format='{extra} {message}',
    )


async def _run_seed(
    seed: int,
    loop: virtual_time.VirtualLoop,
    log_lines: list[str],
    with_log_lines: bool,
) -> SimulationRun:
    if with_log_lines:
        _keep_lines(loop, log_lines)
    simulation = lease_simulation.Simulation(seed, loop)
    rng = simulation.rng
    planned = _plan_faults(rng)
    limits = (rng.choice((2, 24)), rng.choice((2, 64)))
    with (
        mock.patch.object(lease_manager, 'MAX_CONCURRENT_GRANTS', limits[0]),
        mock.patch.object(lease_manager, 'MAX_CONCURRENT_RELEASES', limits[1]),
    ):
        simulation.start_all()
        for start_at, name in planned:
            await asyncio.sleep(max(start_at - simulation.now(), 0))
            start_fault = lease_faults.faults.entries[name]
            loop.create_task(
                start_fault(simulation), context=simulation.context
            )
        await asyncio.sleep(RUN_SECONDS - simulation.now())
    return SimulationRun(
        seed,
        simulation.rules.checked_grants,
        tuple(simulation.rules.violations),
        tuple(planned),
    )


def _plan_faults(rng: random.Random) -> list[tuple[float, str]]:
    """Returns the start times and names of faults, in groups close together."""
    names = lease_faults.faults.names()
    drawn_names = rng.sample(names, rng.randint(2, 6))
    times = [
        rng.uniform(FIRST_FAULT_SECONDS, LAST_FAULT_SECONDS)
        for _ in range(rng.randint(1, 4))
    ]
    planned = [
        (
            rng.choice(times) + rng.uniform(0, FAULT_SPREAD_SECONDS),
            rng.choice(drawn_names),
        )
        for _ in range(rng.randint(3, 12))
    ]
    return sorted((round(start_at, 3), name) for start_at, name in planned)


def explore(seeds: abc.Iterable[int]) -> abc.Iterator[SimulationRun]:
    """Yields the runs that broke a rule of ownership or ended a task."""
    return (run for run in map(run_seed, seeds) if run.violations or run.errors)


def main(arguments: abc.Sequence[str]) -> int:
    """Runs the seeds from the first to the last argument; returns the status."""
    first, last = int(arguments[0]), int(arguments[-1])
    if first == last:
        run = run_seed(first, with_log_lines=True)
        sys.stdout.write(''.join(run.log_lines))
        sys.stdout.write(f'{run._replace(log_lines=())}\n')
        return 1 if run.violations or run.errors else 0
    failing_count = 0
    for run in explore(range(first, last + 1)):
        failing_count += 1
        sys.stdout.write(f'{run}\n')
        sys.stdout.flush()
    sys.stdout.write(
        f'{last + 1 - first} seeds, {failing_count} with a finding\n'
    )
    return 1 if failing_count else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
