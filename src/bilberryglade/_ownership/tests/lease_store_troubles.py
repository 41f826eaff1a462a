"""Registered troubles of the store in the exploration of leases."""

import asyncio

from bilberryglade._ownership.tests import lease_troubles, lease_world


@lease_troubles.troubles.register('store away')
async def store_away(world: lease_world.World) -> None:
    """The store answers nobody."""
    world.store_troubles.is_unavailable = True
    await asyncio.sleep(world.chance.uniform(0.5, 5))
    world.store_troubles.is_unavailable = False


@lease_troubles.troubles.register('store slow')
async def store_slow(world: lease_world.World) -> None:
    """Calls of the store take up to seconds."""
    world.store_troubles.max_delay_seconds = world.chance.choice((0.3, 0.8, 2))
    await asyncio.sleep(world.chance.uniform(1, 5))
    world.store_troubles.max_delay_seconds = 0


@lease_troubles.troubles.register('answers of the store lost')
async def store_lost(world: lease_world.World) -> None:
    """Appends are carried out, at times late, and not answered."""
    world.store_troubles.lost_fraction = world.chance.uniform(0.2, 0.6)
    world.store_troubles.max_late_seconds = world.chance.choice((0, 3, 6))
    await asyncio.sleep(world.chance.uniform(1, 5))
    world.store_troubles.lost_fraction = 0
    world.store_troubles.max_late_seconds = 0
