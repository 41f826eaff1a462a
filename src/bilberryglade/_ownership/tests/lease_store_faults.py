"""Registered faults of the store in the simulation of leases."""

import asyncio

from bilberryglade._ownership.tests import lease_faults, lease_simulation


@lease_faults.faults.register('store not answering')
async def stop_store(simulation: lease_simulation.Simulation) -> None:
    """The store answers no call for seconds."""
    simulation.store_faults.is_away = True
    await asyncio.sleep(simulation.rng.uniform(0.5, 5))
    simulation.store_faults.is_away = False


@lease_faults.faults.register('store slow')
async def slow_store(simulation: lease_simulation.Simulation) -> None:
    """Calls to the store take up to seconds."""
    simulation.store_faults.delay = simulation.rng.choice((0.3, 0.8, 2))
    await asyncio.sleep(simulation.rng.uniform(1, 5))
    simulation.store_faults.delay = 0


@lease_faults.faults.register('answers of the store lost')
async def lose_store_answers(simulation: lease_simulation.Simulation) -> None:
    """Some appends are not answered, and may be carried out late."""
    simulation.store_faults.lost_part = simulation.rng.uniform(0.2, 0.6)
    simulation.store_faults.late = simulation.rng.choice((0, 3, 6))
    await asyncio.sleep(simulation.rng.uniform(1, 5))
    simulation.store_faults.lost_part = 0
    simulation.store_faults.late = 0
