"""Registered faults of the store in the simulation of leases."""

import asyncio

from bilberryglade._ownership.tests import lease_faults, lease_simulation


@lease_faults.faults.register('store not answering')
async def stop_store(simulation: lease_simulation.Simulation) -> None:
    """The store answers no call for seconds."""
    simulation.store_faults.is_unavailable = True
    await asyncio.sleep(simulation.rng.uniform(0.5, 5))
    simulation.store_faults.is_unavailable = False


@lease_faults.faults.register('store back older')
async def go_back(simulation: lease_simulation.Simulation) -> None:
    """The store is away for a while, and comes back some seconds older."""
    simulation.store_faults.is_unavailable = True
    await asyncio.sleep(simulation.rng.choice((0.05, 0.5, 1.5, 3)))
    simulation.model.go_back(simulation.rng.uniform(0.2, 6))
    simulation.store_faults.is_unavailable = False


@lease_faults.faults.register('store slow')
async def slow_store(simulation: lease_simulation.Simulation) -> None:
    """Calls to the store take up to seconds."""
    simulation.store_faults.max_delay_seconds = simulation.rng.choice(
        (0.3, 0.8, 2)
    )
    await asyncio.sleep(simulation.rng.uniform(1, 5))
    simulation.store_faults.max_delay_seconds = 0


@lease_faults.faults.register('answers of the store lost')
async def lose_store_answers(simulation: lease_simulation.Simulation) -> None:
    """Some appends are not answered, and may be carried out late."""
    simulation.store_faults.lost_fraction = simulation.rng.uniform(0.2, 0.6)
    simulation.store_faults.max_late_seconds = simulation.rng.choice((0, 3, 6))
    await asyncio.sleep(simulation.rng.uniform(1, 5))
    simulation.store_faults.lost_fraction = 0
    simulation.store_faults.max_late_seconds = 0
