"""Plays seeds of the world of leases.

A seed draws which troubles come when, in series and overlapping. By hand:
`python -m bilberryglade._ownership.tests.lease_explorer FIRST LAST`; one seed
alone is played with the lines of its instances.
"""

import asyncio
import functools
import gc
import random
import sys
import typing
from collections import abc
from unittest import mock

import loguru

from bilberryglade._ownership import lessor
from bilberryglade._ownership.tests import (
    lease_store_troubles,
    lease_troubles,
    lease_words,
    lease_world,
    owner_rules,
    virtual_time,
)
from bilberryglade._values import clock

#: Modules whose import registers troubles.
REGISTERED: typing.Final = (
    lease_troubles,
    lease_store_troubles,
    lease_words,
)
#: Virtual seconds of one play, and those before the first trouble.
PLAY_SECONDS: typing.Final = 22.0
SETTLE_SECONDS: typing.Final = 2.5
LAST_TROUBLE_SECONDS: typing.Final = 15.0
#: Seconds around a moment in which troubles overlap.
SERIES_SECONDS: typing.Final = 1.5


class Play(typing.NamedTuple):
    """What came of one seed."""

    seed: int
    #: Grants that the rules looked at.
    looks: int
    violations: tuple[owner_rules.Violation, ...]
    #: Names of the troubles with their seconds, in order.
    troubles: tuple[tuple[float, str], ...]
    #: Faults of the program that ended a task.
    faults: tuple[str, ...] = ()
    #: Lines of the instances, if they were asked for.
    lines: tuple[str, ...] = ()


def play(seed: int, *, with_lines: bool = False) -> Play:
    """Plays one seed to its end."""
    loop = virtual_time.VirtualLoop()
    lines: list[str] = []
    faults: list[str] = []
    random.seed(seed)
    if with_lines:
        loguru.logger.enable('bilberryglade')
        loguru.logger.remove()
        loguru.logger.add(
            lambda text: lines.append(f'{loop.time():8.3f} {text}'),
            format='{extra} {message}',
        )
    else:
        loguru.logger.disable('bilberryglade')
    # Tasks of processes that were killed are dropped where they stand.
    with (
        mock.patch.object(clock, 'now', loop.clock),
        mock.patch.object(sys, 'unraisablehook', lambda _: None),
    ):
        loop.set_exception_handler(functools.partial(_take_fault, faults))
        try:
            found = loop.run_until_complete(_play(seed, loop))
        finally:
            _close(loop)
    return found._replace(lines=tuple(lines), faults=tuple(faults))


async def _play(seed: int, loop: virtual_time.VirtualLoop) -> Play:
    world = lease_world.World(seed, loop)
    chance = world.chance
    planned = _planned(chance)
    sizes = (chance.choice((2, 24)), chance.choice((2, 64)))
    with (
        mock.patch.object(lessor, 'MOST_GRANTS', sizes[0]),
        mock.patch.object(lessor, 'MOST_RELEASES', sizes[1]),
    ):
        world.begin()
        for at, name in planned:
            await asyncio.sleep(max(at - world.now(), 0))
            trouble = lease_troubles.troubles.entries[name]
            loop.create_task(trouble(world), context=world.context)
        await asyncio.sleep(PLAY_SECONDS - world.now())
    return Play(
        seed,
        world.rules.checked_grants,
        tuple(world.rules.violations),
        tuple(planned),
    )


def _planned(chance: random.Random) -> list[tuple[float, str]]:
    """Draws a few kinds of trouble, which come close together."""
    names = lease_troubles.troubles.names()
    kinds = chance.sample(names, chance.randint(2, 6))
    moments = [
        chance.uniform(SETTLE_SECONDS, LAST_TROUBLE_SECONDS)
        for _ in range(chance.randint(1, 4))
    ]
    planned = [
        (
            chance.choice(moments) + chance.uniform(0, SERIES_SECONDS),
            chance.choice(kinds),
        )
        for _ in range(chance.randint(3, 12))
    ]
    return sorted((round(at, 3), name) for at, name in planned)


def explore(seeds: abc.Iterable[int]) -> abc.Iterator[Play]:
    """Plays seeds, and yields those that broke a rule or ended a task."""
    return (
        found for found in map(play, seeds) if found.violations or found.faults
    )


def _close(loop: virtual_time.VirtualLoop) -> None:
    """Ends a play with all that was left of its tasks."""
    loop.close()
    gc.collect()
    loguru.logger.enable('bilberryglade')


def _take_fault(
    faults: list[str],
    _: asyncio.AbstractEventLoop,
    context: dict[str, typing.Any],
) -> None:
    """Keeps faults, and leaves out what asyncio says of dropped tasks."""
    error = context.get('exception')
    if error is not None:
        faults.append(repr(error))


def main(arguments: abc.Sequence[str]) -> int:
    """Plays the seeds from the first to the last one named."""
    first, last = int(arguments[0]), int(arguments[-1])
    if first == last:
        found = play(first, with_lines=True)
        sys.stdout.write(''.join(found.lines))
        sys.stdout.write(f'{found._replace(lines=())}\n')
        return 1 if found.violations or found.faults else 0
    broken = 0
    for found in explore(range(first, last + 1)):
        broken += 1
        sys.stdout.write(f'{found}\n')
        sys.stdout.flush()
    sys.stdout.write(f'{last + 1 - first} seeds, {broken} with a finding\n')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
