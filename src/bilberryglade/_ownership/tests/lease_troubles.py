"""Registered troubles of the exploration: each happens to a world, and ends."""

import asyncio
import typing
from collections import abc

from bilberryglade._ownership.tests import lease_world
from bilberryglade._values import registry

Trouble: typing.TypeAlias = abc.Callable[
    [lease_world.World],
    abc.Coroutine[None, None, None],
]

troubles: typing.Final = registry.Registry[Trouble]('trouble of leases')

#: Seconds between two looks for the moment at which a trouble strikes.
LOOK_SECONDS: typing.Final = 0.001
#: Seconds for which such a moment is waited for.
LONGEST_LOOK: typing.Final = 3.0


@troubles.register('quick rebirth of a target')
async def rebirth(world: lease_world.World) -> None:
    """A target starts again between two renewals, at times elsewhere."""
    await _reborn(world, world.chance.uniform(0.01, 0.6))


@troubles.register('slow rebirth of a target')
async def slow_rebirth(world: lease_world.World) -> None:
    """A target is down for seconds."""
    await _reborn(world, world.chance.uniform(0.6, 4))


@troubles.register('rebirth behind a cut from the store')
async def rebirth_behind_cut(world: lease_world.World) -> None:
    """A target that the store does not see starts again."""
    target = world.chance.choice(world.targets)
    world.network.cut(target.name, 'store')
    await asyncio.sleep(world.chance.uniform(0.1, 2))
    target.end()
    await asyncio.sleep(world.chance.uniform(0.01, 2))
    target.begin(target.address)
    await asyncio.sleep(world.chance.uniform(0.5, 5))
    world.network.heal(target.name, 'store')


@troubles.register('target gone')
async def gone(world: lease_world.World) -> None:
    """A target ends for good; another may get its address."""
    target = world.chance.choice(world.targets)
    target.end()
    await asyncio.sleep(world.chance.uniform(2, 4))
    if world.chance.choice((True, False)):
        world.add_target().address = target.address


@troubles.register('target leaves')
async def leaves(world: lease_world.World) -> None:
    """A target drains, and ends seconds later."""
    target = world.chance.choice(world.targets)
    target.is_draining = True
    await asyncio.sleep(world.chance.uniform(2, 5))
    target.end()


@troubles.register('target reborn and leaving')
async def reborn_and_leaving(world: lease_world.World) -> None:
    """A target starts again and drains at once."""
    target = world.chance.choice(world.targets)
    target.end()
    await asyncio.sleep(world.chance.uniform(0.01, 0.8))
    target.begin(target.address)
    target.is_draining = True
    await asyncio.sleep(world.chance.uniform(2, 5))
    target.end()


@troubles.register('targets come and go')
async def come_and_go(world: lease_world.World) -> None:
    """Targets drain and return to service in quick series."""
    for _ in range(world.chance.randint(2, 5)):
        target = world.chance.choice(world.targets)
        target.is_draining = not target.is_draining
        await asyncio.sleep(world.chance.uniform(0.05, 1))
    for each in world.targets:
        each.is_draining = False


@troubles.register('failure domain taken out')
async def taken_out(world: lease_world.World) -> None:
    """Nothing more is to be sent to some targets for seconds."""
    domain = world.chance.choice(lease_world.DOMAINS)
    world.take_out(domain, is_out=True)
    await asyncio.sleep(world.chance.uniform(0.5, 5))
    world.take_out(domain, is_out=False)


@troubles.register('failure domain reborn and taken out')
async def reborn_and_out(world: lease_world.World) -> None:
    """The targets of a failure domain start again just before."""
    domain = world.chance.choice(lease_world.DOMAINS)
    reborn = [one for one in world.targets if one.domain == domain]
    for target in reborn:
        target.end()
    await asyncio.sleep(world.chance.uniform(0.01, 0.8))
    for target in reborn:
        target.begin(target.address)
    await asyncio.sleep(world.chance.uniform(0, 1))
    await taken_out(world)


@troubles.register('target joins')
async def joins(world: lease_world.World) -> None:
    """A target is added."""
    world.add_target()


@troubles.register('target cut from the store')
async def cut_from_store(world: lease_world.World) -> None:
    """A target's entry lapses while it serves on."""
    target = world.chance.choice(world.targets)
    await _cut(world, [(target.name, 'store')], world.chance.uniform(2, 7))


@troubles.register('target cut from instances')
async def cut_from_instances(world: lease_world.World) -> None:
    """Orders to a target are held up."""
    target = world.chance.choice(world.targets)
    pairs = [(target.name, name) for name in world.instances]
    kept = pairs[: world.chance.randint(1, len(pairs))] if pairs else []
    await _cut(world, kept, world.chance.uniform(0.1, 5))


@troubles.register('orders carried out late')
async def orders_late(world: lease_world.World) -> None:
    """Some orders are not answered, and carried out seconds later."""
    world.order_troubles.lost_part = world.chance.uniform(0.1, 0.6)
    world.order_troubles.late = (2, 12)
    await asyncio.sleep(world.chance.uniform(1, 5))
    world.order_troubles.lost_part = 0


@troubles.register('answers to orders lost')
async def answers_lost(world: lease_world.World) -> None:
    """Some orders are carried out and not answered."""
    world.order_troubles.lost_part = world.chance.uniform(0.1, 0.6)
    world.order_troubles.late = None
    await asyncio.sleep(world.chance.uniform(1, 5))
    world.order_troubles.lost_part = 0


@troubles.register('slow orders')
async def slow_orders(world: lease_world.World) -> None:
    """Orders take up to most of the time that they have."""
    world.network.order_delay = world.chance.uniform(0.05, 0.48)
    await asyncio.sleep(world.chance.uniform(1, 6))
    world.network.order_delay = 0


@troubles.register('coordinator killed')
async def killed(world: lease_world.World) -> None:
    """The coordinator ends at some moment, and starts again."""
    await _lost(world, world.coordinators())


@troubles.register('coordinator killed after a write')
async def killed_after_write(world: lease_world.World) -> None:
    """The coordinator ends just after new tables stand in the store."""
    partition = world.model.partition({'topic': 'keyed.assignment'})
    end = partition.end
    await _until(world, lambda: partition.end > end)
    await asyncio.sleep(world.chance.uniform(0, 0.02))
    await _lost(world, world.coordinators())


@troubles.register('giver of an order killed')
async def giver_killed(world: lease_world.World) -> None:
    """Whoever gave the last order ends."""
    world.giver = ''
    await _until(world, lambda: bool(world.giver))
    await _lost(world, [world.giver])


@troubles.register('coordinator stops as planned')
async def stops(world: lease_world.World) -> None:
    """The coordinator gives up its lease, and starts again later."""
    for name in world.coordinators():
        instance = world.instances[name]
        world.loop.create_task(
            instance.stop(), context=instance.process.context
        )
        await asyncio.sleep(world.chance.uniform(3, 5))
        world.start(name)


@troubles.register('coordinator stops after a write')
async def stops_after_write(world: lease_world.World) -> None:
    """The coordinator gives up its lease just after new tables."""
    partition = world.model.partition({'topic': 'keyed.assignment'})
    end = partition.end
    await _until(world, lambda: partition.end > end)
    await stops(world)


@troubles.register('all instances killed')
async def all_killed(world: lease_world.World) -> None:
    """Every instance ends at once."""
    await _lost(world, list(world.instances))


@troubles.register('coordinator frozen')
async def frozen(world: lease_world.World) -> None:
    """The coordinator stands still, and goes on later."""
    seconds = world.chance.uniform(0.2, 5)
    held = [world.instances[name] for name in world.coordinators()]
    for instance in held:
        world.loop.freeze(instance.process)
    await asyncio.sleep(seconds)
    for instance in held:
        world.thawed_at[instance.name] = world.now()
        world.loop.thaw(instance.process)


@troubles.register('coordinator slow')
async def slow(world: lease_world.World) -> None:
    """The coordinator takes milliseconds for each step."""
    held = [world.instances[name] for name in world.coordinators()]
    for instance in held:
        instance.process.cost = world.chance.uniform(0.002, 0.03)
    await asyncio.sleep(world.chance.uniform(1, 6))
    for instance in held:
        instance.process.cost = 0


@troubles.register('coordinator stalls')
async def stalls(world: lease_world.World) -> None:
    """The coordinator's loop stands still for a moment, several times.

    Nobody has frozen it, so that nothing is excused.
    """
    for _ in range(world.chance.randint(1, 6)):
        held = [world.instances[name] for name in world.coordinators()]
        for instance in held:
            world.loop.freeze(instance.process)
        await asyncio.sleep(world.chance.uniform(0.2, 1.5))
        for instance in held:
            world.loop.thaw(instance.process)
        await asyncio.sleep(world.chance.uniform(0.05, 0.5))


@troubles.register('coordinator cut from the store')
async def coordinator_cut(world: lease_world.World) -> None:
    """The coordinator cannot renew its lease."""
    pairs = [(name, 'store') for name in world.coordinators()]
    await _cut(world, pairs, world.chance.uniform(0.5, 6))


@troubles.register('coordinator cut from instances')
async def coordinator_alone(world: lease_world.World) -> None:
    """Nobody hears the coordinator."""
    pairs = [
        (name, other)
        for name in world.coordinators()
        for other in world.instances
        if other != name
    ]
    await _cut(world, pairs, world.chance.uniform(0.5, 6))


@troubles.register('coordinator refused by the store')
async def refused(world: lease_world.World) -> None:
    """The store serves all but the coordinator."""
    names = set(world.coordinators())
    world.store_troubles.refused |= names
    await asyncio.sleep(world.chance.uniform(1, 6))
    world.store_troubles.refused -= names


@troubles.register('load shifts')
async def load_shifts(world: lease_world.World) -> None:
    """Other keys become busy, and targets faster or slower, several times."""
    for _ in range(world.chance.randint(1, 5)):
        begin = world.chance.randrange(4000)
        world.loads.by_block = {
            block: world.chance.uniform(0, 20)
            for block in range(begin, begin + world.chance.randint(1, 60))
        }
        for name in world.loads.work_seconds:
            world.loads.work_seconds[name] = world.chance.uniform(0.02, 0.3)
        await asyncio.sleep(world.chance.uniform(0.3, 2))


async def _until(
    world: lease_world.World,
    happened: abc.Callable[[], bool],
) -> None:
    until = world.now() + LONGEST_LOOK
    while not happened() and world.now() < until:
        await asyncio.sleep(LOOK_SECONDS)


async def _reborn(world: lease_world.World, seconds: float) -> None:
    target = world.chance.choice(world.targets)
    target.end()
    await asyncio.sleep(seconds)
    address = target.address
    if world.chance.choice((True, False, False)):
        address = f'10.1.{target.born}.{len(world.targets)}:80'
    target.begin(address)


async def _cut(
    world: lease_world.World,
    pairs: list[tuple[str, str]],
    seconds: float,
) -> None:
    for one, other in pairs:
        world.network.cut(one, other)
    await asyncio.sleep(seconds)
    for one, other in pairs:
        world.network.heal(one, other)


async def _lost(world: lease_world.World, names: list[str]) -> None:
    for name in names:
        world.kill(name)
    await asyncio.sleep(world.chance.uniform(0.2, 3))
    for name in names:
        world.start(name)
