"""Explores by seed what a store that comes back older does to a fleet.

To run seeds by hand: `python -m bilberryglade._era.tests.era_explorer FIRST LAST`.
"""

import asyncio
import random
import sys
import typing
from collections import abc

from bilberryglade._era.tests import era_instance
from bilberryglade._ownership.tests import (
    lease_faults,
    lease_store_faults,
    owner_rules,
    virtual_time,
)

#: Modules whose import registers faults.
REGISTERING_MODULES: typing.Final = (lease_store_faults,)
#: Faults that give instances different pasts, beside those of the store.
OTHER_FAULTS: typing.Final = (
    'coordinator killed',
    'coordinator killed after a write',
    'coordinator stops as planned',
    'coordinator frozen',
    'coordinator cut from the store',
    'coordinator cut from instances',
    'instance that sent the last order killed',
    'all instances killed',
    'store not answering',
    'answers of the store lost',
    'target leaves',
    'target joins',
    'quick restart of a target',
    'targets come and go',
    'load shifts',
)
GOING_BACK: typing.Final = 'store back older'
#: Virtual seconds between which faults start, and after which all are over.
FAULT_SECONDS: typing.Final = (4.0, 13.0)
OVER_SECONDS: typing.Final = 20.0
#: Virtual seconds within which all agree then: the longest lease that may have
#: to be waited out, a change of coordinator, and the reading of all topics.
AGREE_SECONDS: typing.Final = 17.0
CHECK_SECONDS: typing.Final = 0.05


class Exploration(typing.NamedTuple):
    """Outcome of one seed."""

    seed: int
    #: Grants and versions of configurations that were checked.
    checked: int
    violations: tuple[owner_rules.Violation, ...]
    #: Pairs of instances that coordinated at the same time.
    rivals: tuple[tuple[str, ...], ...]
    #: Versions in force of each instance with one that fell.
    fallen: tuple[tuple[int, ...], ...]
    #: In what the instances differ at the end.
    differing: tuple[str, ...]
    faults: tuple[tuple[float, str], ...]
    errors: tuple[str, ...] = ()

    @property
    def is_sound(self) -> bool:
        """Whether nothing was found."""
        found = (self.violations, self.rivals, self.fallen, self.differing)
        return not any(found) and not self.errors


def run_seed(seed: int) -> Exploration:
    """Explores one seed."""
    loop = virtual_time.VirtualLoop()
    errors: list[str] = []
    random.seed(seed)
    explored = virtual_time.run(loop, _run(seed, loop), errors)
    return explored._replace(errors=tuple(errors))


def explore(seeds: abc.Iterable[int]) -> abc.Iterator[Exploration]:
    """Yields the seeds with findings."""
    return (one for one in map(run_seed, seeds) if not one.is_sound)


def plan(rng: random.Random) -> list[tuple[float, str]]:
    """Returns faults and when they start; the store goes back once or twice."""
    names = rng.choices((GOING_BACK,), k=rng.randint(1, 2))
    names += rng.choices(OTHER_FAULTS, k=rng.randint(1, 6))
    planned = ((round(rng.uniform(*FAULT_SECONDS), 3), name) for name in names)
    return sorted(planned)


async def _run(seed: int, loop: virtual_time.VirtualLoop) -> Exploration:
    simulation = era_instance.Simulation(seed, loop)
    planned = plan(simulation.rng)
    simulation.start_all()
    rivals: set[tuple[str, ...]] = set()
    due = list(planned)
    while simulation.now() < OVER_SECONDS:
        while due and due[0][0] <= simulation.now():
            start_fault = lease_faults.faults.entries[due.pop(0)[1]]
            loop.create_task(
                start_fault(simulation), context=simulation.context
            )
        rivals.add(_coordinators(simulation))
        await asyncio.sleep(CHECK_SECONDS)
    differing = era_instance.agreed(simulation)
    while differing and simulation.now() < OVER_SECONDS + AGREE_SECONDS:
        await asyncio.sleep(CHECK_SECONDS)
        differing = era_instance.agreed(simulation)
    versions = _versions(simulation)
    return Exploration(
        seed,
        simulation.rules.checked_grants + sum(map(len, versions)),
        tuple(simulation.rules.violations),
        tuple(sorted(names for names in rivals if len(names) > 1)),
        tuple(one for one in versions if list(one) != sorted(one)),
        tuple(differing),
        tuple(planned),
    )


def _coordinators(simulation: era_instance.Simulation) -> tuple[str, ...]:
    instances = simulation.instances.values()
    return tuple(
        one.name
        for one in instances
        if typing.cast(era_instance.Instance, one).coordinates()
    )


def _versions(simulation: era_instance.Simulation) -> list[tuple[int, ...]]:
    """Returns the versions that were in force at each process, in order."""
    instances = (*simulation.instances.values(), *simulation.killed_instances)
    return [
        tuple(typing.cast(era_instance.Instance, one).versions)
        for one in instances
    ]


def main(arguments: abc.Sequence[str]) -> int:
    """Runs the seeds from the first to the last argument; returns the status."""
    first, last = int(arguments[0]), int(arguments[-1])
    count = 0
    for found in explore(range(first, last + 1)):
        count += 1
        sys.stdout.write(f'{found}\n')
        sys.stdout.flush()
    sys.stdout.write(f'{last + 1 - first} seeds, {count} with a finding\n')
    return 1 if count else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
