"""Explores the division of quotas under registered faults, one run a seed.

To run seeds by hand: `python -m bilberryglade._limits.tests.quota_explorer FIRST
LAST [SIZE]`.
"""

import asyncio
import random
import sys
import typing
from collections import abc

from bilberryglade._limits.tests import quota_simulation
from bilberryglade._ownership.tests import virtual_time
from bilberryglade._routing import catalogue
from bilberryglade._values import registry

#: Virtual seconds with requests, and those at which faults begin and how long
#: each lasts.
RUN_SECONDS: typing.Final = 14.0
FAULT_SECONDS: typing.Final = (1.0, 9.0)
LASTING_SECONDS: typing.Final = (0.5, 5.0)
MOST_FAULTS: typing.Final = 4
SIZES: typing.Final = (3, 6, 12, 24)
#: How many times their usual organisations send.
HOT_TIMES: typing.Final = 7.5
#: Rate and burst of each organisation.
QUOTAS: typing.Final = ((9, 9), (20, 20), (20, 40), (120, 120))

Fault: typing.TypeAlias = abc.Callable[
    [quota_simulation.Simulation], abc.Coroutine[None, None, None]
]
faults: typing.Final = registry.Registry[Fault]('quota fault')


class Explored(typing.NamedTuple):
    """What came of a seed."""

    seed: int
    faults: tuple[str, ...]
    runs: tuple[quota_simulation.Run, ...]
    #: Exceptions that ended a task of an instance.
    errors: tuple[str, ...]

    def findings(self) -> list[str]:
        """Returns what broke the rule, or ended a task."""
        excesses = [
            f'{run.holder.name}: {run.most()} of {run.bound():g}'
            for run in self.runs
            if run.most() > run.bound()
        ]
        return [*excesses, *self.errors]


@faults.register('some killed')
async def kill_some(simulation: quota_simulation.Simulation) -> None:
    """Any number of processes are killed at once."""
    count = simulation.rng.randint(1, len(simulation.names))
    for name in simulation.rng.sample(simulation.names, count):
        simulation.kill(name)


@faults.register('all killed')
async def kill_all(simulation: quota_simulation.Simulation) -> None:
    """All processes are killed at once, some times in a row."""
    for _ in range(simulation.rng.randint(1, 4)):
        for name in simulation.names:
            simulation.kill(name)
        await asyncio.sleep(simulation.rng.uniform(1.1, 2))


@faults.register('partition down')
async def refuse_topic(simulation: quota_simulation.Simulation) -> None:
    """The partition of one of the fleet's topics is down."""
    topic = simulation.rng.choice(('members', 'peer-keys', 'coordinator'))
    refused = simulation.store_faults.refused_topics
    refused.add(f'keyed.{topic}')
    await asyncio.sleep(simulation.rng.uniform(*LASTING_SECONDS))
    refused.discard(f'keyed.{topic}')


@faults.register('list down as processes are killed')
async def refuse_list(simulation: quota_simulation.Simulation) -> None:
    """Processes start while the list of members cannot be read (review/4)."""
    simulation.store_faults.refused_topics.add('keyed.members')
    await kill_some(simulation)
    await asyncio.sleep(4.5)
    simulation.store_faults.refused_topics.discard('keyed.members')


@faults.register('store down')
async def stop_store(simulation: quota_simulation.Simulation) -> None:
    """The store answers nobody."""
    simulation.store_faults.is_unavailable = True
    await asyncio.sleep(simulation.rng.uniform(*LASTING_SECONDS))
    simulation.store_faults.is_unavailable = False


@faults.register('failure domain cut off')
async def cut_domain(simulation: quota_simulation.Simulation) -> None:
    """A failure domain reaches neither the others nor the store."""
    domain = simulation.rng.choice(quota_simulation.DOMAINS)
    inside = [name for name in simulation.names if name[0] == domain]
    outside = {*simulation.names, 'store'} - set(inside)
    await _cut(
        simulation, [(one, other) for one in inside for other in outside]
    )


@faults.register('coordinator cut off')
async def cut_coordinator(simulation: quota_simulation.Simulation) -> None:
    """The coordinator reaches nobody, the store included."""
    for name, instance in list(simulation.instances.items()):
        if instance.is_serving and instance.candidacy.holds:
            others = {*simulation.names, 'store'} - {name}
            await _cut(simulation, [(name, other) for other in others])
            return


async def _cut(
    simulation: quota_simulation.Simulation, links: list[tuple[str, str]]
) -> None:
    for link in links:
        simulation.network.cut(*link)
    await asyncio.sleep(simulation.rng.uniform(*LASTING_SECONDS))
    for link in links:
        simulation.network.heal(*link)


def explore(
    seed: int,
    size: int = 0,
    times: float = HOT_TIMES,
    most_faults: int = MOST_FAULTS,
) -> Explored:
    """Plays one seed; organisations send `times` their usual."""
    loop = virtual_time.VirtualLoop()
    random.seed(seed)
    size = size or random.Random(seed).choice(SIZES)
    simulation = quota_simulation.Simulation(seed, size, loop)
    names = [
        simulation.rng.choice(faults.names())
        for _ in range(simulation.rng.randint(1, MOST_FAULTS))
    ][:most_faults]
    errors: list[str] = []
    virtual_time.run(loop, _play(simulation, names, times), errors)
    return Explored(
        seed, tuple(names), tuple(simulation.runs.values()), tuple(errors)
    )


async def _play(
    simulation: quota_simulation.Simulation, names: list[str], times: float
) -> None:
    for name in simulation.names:
        simulation.call_later(
            simulation.rng.uniform(0, 0.3), simulation.start, name
        )
    offers = [
        simulation.offer(
            catalogue.Organisation(f'o{rate}-{burst}', None, rate, burst),
            times,
            RUN_SECONDS,
        )
        for rate, burst in QUOTAS
    ]
    await asyncio.gather(
        *offers, *(_inject(simulation, name) for name in names)
    )


async def _inject(simulation: quota_simulation.Simulation, name: str) -> None:
    begins = simulation.rng.uniform(*FAULT_SECONDS)
    await asyncio.sleep(quota_simulation.QUIET_SECONDS + begins)
    await faults.entries[name](simulation)


def main() -> None:
    """Plays the seeds that the command line names."""
    first, last = (int(text) for text in sys.argv[1:3])
    size = int(sys.argv[3]) if len(sys.argv) > 3 else 0
    worst: float = 0
    for seed in range(first, last):
        explored = explore(seed, size)
        worst = max(worst, *(run.most() / run.bound() for run in explored.runs))
        for text in explored.findings():
            names = ', '.join(explored.faults)
            sys.stdout.write(f'seed {seed}: {text}: {names}\n')
    sys.stdout.write(
        f'{last - first} seeds, at most {worst:.2f} of the bound\n'
    )


if __name__ == '__main__':
    main()
