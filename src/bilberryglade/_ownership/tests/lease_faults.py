"""Registered faults that the simulation of leases injects and then removes."""

import asyncio
import typing
from collections import abc

from bilberryglade._ownership.tests import lease_simulation
from bilberryglade._values import registry

Fault: typing.TypeAlias = abc.Callable[
    [lease_simulation.Simulation],
    abc.Coroutine[None, None, None],
]

faults: typing.Final = registry.Registry[Fault]('lease fault')

#: Interval of the checks whether the condition for a fault has occurred.
POLL_SECONDS: typing.Final = 0.001
#: Longest wait for that condition; the fault is then injected anyway.
POLL_TIMEOUT_SECONDS: typing.Final = 3.0


@faults.register('quick restart of a target')
async def restart_quickly(simulation: lease_simulation.Simulation) -> None:
    """A target restarts between two renewals, maybe at another address."""
    await _restart_target(simulation, simulation.rng.uniform(0.01, 0.6))


@faults.register('slow restart of a target')
async def restart_slowly(simulation: lease_simulation.Simulation) -> None:
    """A target restarts after seconds, maybe at another address."""
    await _restart_target(simulation, simulation.rng.uniform(0.6, 4))


@faults.register('restart behind a cut from the store')
async def restart_behind_cut(simulation: lease_simulation.Simulation) -> None:
    """A target restarts while it is cut off from the store."""
    target = simulation.rng.choice(simulation.targets)
    simulation.network.cut(target.name, 'store')
    await asyncio.sleep(simulation.rng.uniform(0.1, 2))
    target.end()
    await asyncio.sleep(simulation.rng.uniform(0.01, 2))
    target.begin(target.address)
    await asyncio.sleep(simulation.rng.uniform(0.5, 5))
    simulation.network.heal(target.name, 'store')


@faults.register('target gone')
async def remove_target(simulation: lease_simulation.Simulation) -> None:
    """A target ends and stays down; a new one may get its address."""
    target = simulation.rng.choice(simulation.targets)
    target.end()
    await asyncio.sleep(simulation.rng.uniform(2, 4))
    if simulation.rng.choice((True, False)):
        simulation.add_target().address = target.address


@faults.register('target leaves')
async def drain_target(simulation: lease_simulation.Simulation) -> None:
    """A target drains, then ends seconds later."""
    target = simulation.rng.choice(simulation.targets)
    target.is_draining = True
    await asyncio.sleep(simulation.rng.uniform(2, 5))
    target.end()


@faults.register('target restarts and leaves')
async def restart_and_drain(simulation: lease_simulation.Simulation) -> None:
    """A target restarts, drains at once, then ends seconds later."""
    target = simulation.rng.choice(simulation.targets)
    target.end()
    await asyncio.sleep(simulation.rng.uniform(0.01, 0.8))
    target.begin(target.address)
    target.is_draining = True
    await asyncio.sleep(simulation.rng.uniform(2, 5))
    target.end()


@faults.register('targets come and go')
async def toggle_draining(simulation: lease_simulation.Simulation) -> None:
    """Targets start and stop draining in quick succession."""
    for _ in range(simulation.rng.randint(2, 5)):
        target = simulation.rng.choice(simulation.targets)
        target.is_draining = not target.is_draining
        await asyncio.sleep(simulation.rng.uniform(0.05, 1))
    for each in simulation.targets:
        each.is_draining = False


@faults.register('failure domain taken out')
async def take_domain_out(simulation: lease_simulation.Simulation) -> None:
    """Operators take a failure domain out for seconds."""
    domain = simulation.rng.choice(lease_simulation.DOMAINS)
    simulation.set_domain_out(domain, is_out=True)
    await asyncio.sleep(simulation.rng.uniform(0.5, 5))
    simulation.set_domain_out(domain, is_out=False)


@faults.register('failure domain restarted and taken out')
async def restart_and_take_domain_out(
    simulation: lease_simulation.Simulation,
) -> None:
    """All targets of a failure domain restart just before it is taken out."""
    domain = simulation.rng.choice(lease_simulation.DOMAINS)
    restarted = [
        candidate
        for candidate in simulation.targets
        if candidate.domain == domain
    ]
    for target in restarted:
        target.end()
    await asyncio.sleep(simulation.rng.uniform(0.01, 0.8))
    for target in restarted:
        target.begin(target.address)
    await asyncio.sleep(simulation.rng.uniform(0, 1))
    await take_domain_out(simulation)


@faults.register('target joins')
async def add_target(simulation: lease_simulation.Simulation) -> None:
    """A new target starts."""
    simulation.add_target()


@faults.register('target cut from the store')
async def cut_target_from_store(
    simulation: lease_simulation.Simulation,
) -> None:
    """A target's entry in the store may expire while the target still runs."""
    target = simulation.rng.choice(simulation.targets)
    await _cut_pairs(
        simulation, [(target.name, 'store')], simulation.rng.uniform(2, 7)
    )


@faults.register('target cut from instances')
async def cut_target_from_instances(
    simulation: lease_simulation.Simulation,
) -> None:
    """Orders from some instances to a target are held up."""
    target = simulation.rng.choice(simulation.targets)
    pairs = [(target.name, name) for name in simulation.instances]
    cut_pairs = pairs[: simulation.rng.randint(1, len(pairs))] if pairs else []
    await _cut_pairs(simulation, cut_pairs, simulation.rng.uniform(0.1, 5))


@faults.register('orders carried out late')
async def execute_orders_late(simulation: lease_simulation.Simulation) -> None:
    """Some orders are carried out seconds later, without an answer."""
    simulation.order_faults.lost_part = simulation.rng.uniform(0.1, 0.6)
    simulation.order_faults.late = (2, 12)
    await asyncio.sleep(simulation.rng.uniform(1, 5))
    simulation.order_faults.lost_part = 0


@faults.register('answers to orders lost')
async def lose_order_answers(simulation: lease_simulation.Simulation) -> None:
    """Some orders are carried out at once, without an answer."""
    simulation.order_faults.lost_part = simulation.rng.uniform(0.1, 0.6)
    simulation.order_faults.late = None
    await asyncio.sleep(simulation.rng.uniform(1, 5))
    simulation.order_faults.lost_part = 0


@faults.register('slow orders')
async def delay_orders(simulation: lease_simulation.Simulation) -> None:
    """Orders take up to most of their timeout to arrive."""
    simulation.network.order_delay = simulation.rng.uniform(0.05, 0.48)
    await asyncio.sleep(simulation.rng.uniform(1, 6))
    simulation.network.order_delay = 0


@faults.register('coordinator killed')
async def kill_coordinator(simulation: lease_simulation.Simulation) -> None:
    """The coordinator is killed, then started again."""
    await _kill_and_restart(simulation, simulation.coordinators())


@faults.register('coordinator killed after a write')
async def kill_coordinator_after_write(
    simulation: lease_simulation.Simulation,
) -> None:
    """The coordinator is killed just after it has stored new tables."""
    partition = simulation.model.partition({'topic': 'keyed.assignment'})
    end = partition.end
    await _wait_until(simulation, lambda: partition.end > end)
    await asyncio.sleep(simulation.rng.uniform(0, 0.02))
    await _kill_and_restart(simulation, simulation.coordinators())


@faults.register('instance that sent the last order killed')
async def kill_order_sender(simulation: lease_simulation.Simulation) -> None:
    """The instance whose order a target received last is killed."""
    simulation.last_order_sender = ''
    await _wait_until(simulation, lambda: bool(simulation.last_order_sender))
    await _kill_and_restart(simulation, [simulation.last_order_sender])


@faults.register('coordinator stops as planned')
async def stop_coordinator(simulation: lease_simulation.Simulation) -> None:
    """The coordinator resigns and stops, then starts again."""
    for name in simulation.coordinators():
        instance = simulation.instances[name]
        simulation.loop.create_task(
            instance.stop(), context=instance.process.context
        )
        await asyncio.sleep(simulation.rng.uniform(3, 5))
        simulation.start(name)


@faults.register('coordinator stops after a write')
async def stop_coordinator_after_write(
    simulation: lease_simulation.Simulation,
) -> None:
    """The coordinator stops as planned just after it has stored new tables."""
    partition = simulation.model.partition({'topic': 'keyed.assignment'})
    end = partition.end
    await _wait_until(simulation, lambda: partition.end > end)
    await stop_coordinator(simulation)


@faults.register('all instances killed')
async def kill_all_instances(simulation: lease_simulation.Simulation) -> None:
    """All instances are killed at once, then started again."""
    await _kill_and_restart(simulation, list(simulation.instances))


@faults.register('coordinator frozen')
async def freeze_coordinator(simulation: lease_simulation.Simulation) -> None:
    """The coordinator's process is frozen for a while; late effects are excused."""
    seconds = simulation.rng.uniform(0.2, 5)
    coordinators = [
        simulation.instances[name] for name in simulation.coordinators()
    ]
    for instance in coordinators:
        simulation.loop.freeze(instance.process)
    await asyncio.sleep(seconds)
    for instance in coordinators:
        simulation.thawed_at[instance.name] = simulation.now()
        simulation.loop.thaw(instance.process)


@faults.register('coordinator slow')
async def slow_coordinator(simulation: lease_simulation.Simulation) -> None:
    """Each callback of the coordinator takes milliseconds."""
    coordinators = [
        simulation.instances[name] for name in simulation.coordinators()
    ]
    for instance in coordinators:
        instance.process.callback_seconds = simulation.rng.uniform(0.002, 0.03)
    await asyncio.sleep(simulation.rng.uniform(1, 6))
    for instance in coordinators:
        instance.process.callback_seconds = 0


@faults.register('coordinator stalls')
async def stall_coordinator(simulation: lease_simulation.Simulation) -> None:
    """The coordinator's event loop stalls several times.

    Unlike a freeze of the process, a stall excuses no late orders.
    """
    for _ in range(simulation.rng.randint(1, 6)):
        coordinators = [
            simulation.instances[name] for name in simulation.coordinators()
        ]
        for instance in coordinators:
            simulation.loop.freeze(instance.process)
        await asyncio.sleep(simulation.rng.uniform(0.2, 1.5))
        for instance in coordinators:
            simulation.loop.thaw(instance.process)
        await asyncio.sleep(simulation.rng.uniform(0.05, 0.5))


@faults.register('coordinator cut from the store')
async def cut_coordinator_from_store(
    simulation: lease_simulation.Simulation,
) -> None:
    """The coordinator cannot renew its lease."""
    pairs = [(name, 'store') for name in simulation.coordinators()]
    await _cut_pairs(simulation, pairs, simulation.rng.uniform(0.5, 6))


@faults.register('coordinator cut from instances')
async def cut_coordinator_from_instances(
    simulation: lease_simulation.Simulation,
) -> None:
    """No other instance gets messages from the coordinator, or sends it any."""
    pairs = [
        (name, other)
        for name in simulation.coordinators()
        for other in simulation.instances
        if other != name
    ]
    await _cut_pairs(simulation, pairs, simulation.rng.uniform(0.5, 6))


@faults.register('coordinator refused by the store')
async def refuse_coordinator(simulation: lease_simulation.Simulation) -> None:
    """The store refuses calls of the coordinator only."""
    names = set(simulation.coordinators())
    simulation.store_faults.refused |= names
    await asyncio.sleep(simulation.rng.uniform(1, 6))
    simulation.store_faults.refused -= names


@faults.register('load shifts')
async def shift_load(simulation: lease_simulation.Simulation) -> None:
    """The load on keys and the speed of targets change several times."""
    for _ in range(simulation.rng.randint(1, 5)):
        begin = simulation.rng.randrange(4000)
        simulation.loads.by_block = {
            block: simulation.rng.uniform(0, 20)
            for block in range(begin, begin + simulation.rng.randint(1, 60))
        }
        for name in simulation.loads.seconds:
            simulation.loads.seconds[name] = simulation.rng.uniform(0.02, 0.3)
        await asyncio.sleep(simulation.rng.uniform(0.3, 2))


async def _wait_until(
    simulation: lease_simulation.Simulation,
    is_due: abc.Callable[[], bool],
) -> None:
    deadline = simulation.now() + POLL_TIMEOUT_SECONDS
    while not is_due() and simulation.now() < deadline:
        await asyncio.sleep(POLL_SECONDS)


async def _restart_target(
    simulation: lease_simulation.Simulation, seconds: float
) -> None:
    target = simulation.rng.choice(simulation.targets)
    target.end()
    await asyncio.sleep(seconds)
    address = target.address
    if simulation.rng.choice((True, False, False)):
        address = f'10.1.{target.born}.{len(simulation.targets)}:80'
    target.begin(address)


async def _cut_pairs(
    simulation: lease_simulation.Simulation,
    pairs: list[tuple[str, str]],
    seconds: float,
) -> None:
    for first, second in pairs:
        simulation.network.cut(first, second)
    await asyncio.sleep(seconds)
    for first, second in pairs:
        simulation.network.heal(first, second)


async def _kill_and_restart(
    simulation: lease_simulation.Simulation, names: list[str]
) -> None:
    for name in names:
        simulation.kill(name)
    await asyncio.sleep(simulation.rng.uniform(0.2, 3))
    for name in names:
        simulation.start(name)
