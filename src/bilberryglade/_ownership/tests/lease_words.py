"""Registered troubles with what instances are told, and with answers."""

import asyncio

from bilberryglade._ownership.tests import (
    lease_instance,
    lease_troubles,
    lease_world,
)


@lease_troubles.troubles.register('configuration without the service')
async def unconfigured(world: lease_world.World) -> None:
    """The service leaves the configuration, and comes back."""
    world.configure(lease_instance.EMPTY)
    await asyncio.sleep(world.chance.uniform(0.3, 4))
    world.configure(lease_instance.CATALOGUE)


@lease_troubles.troubles.register('configuration not read')
async def unread(world: lease_world.World) -> None:
    """Instances that start read no configuration for seconds."""
    world.unread_seconds = world.chance.uniform(0.5, 4)
    await asyncio.sleep(world.chance.uniform(1, 6))
    world.unread_seconds = 0


@lease_troubles.troubles.register('extra answers of targets')
async def extra_answers(world: lease_world.World) -> None:
    """Answers to requests come where those to orders are due."""
    world.order_troubles.extra_answer_fraction = world.chance.uniform(0.05, 0.3)
    await asyncio.sleep(world.chance.uniform(1, 5))
    world.order_troubles.extra_answer_fraction = 0
