"""Registered faults in the configuration and in the answers of targets."""

import asyncio

from bilberryglade._ownership.tests import (
    lease_faults,
    lease_instance,
    lease_simulation,
)


@lease_faults.faults.register('configuration without the service')
async def remove_service(simulation: lease_simulation.Simulation) -> None:
    """The service is removed from the configuration, and added again."""
    simulation.configure(lease_instance.CATALOGUE_WITHOUT_SERVICE)
    await asyncio.sleep(simulation.rng.uniform(0.3, 4))
    simulation.configure(lease_instance.CATALOGUE)


@lease_faults.faults.register('configuration not read')
async def delay_configuration(simulation: lease_simulation.Simulation) -> None:
    """Instances that start have no configuration for seconds."""
    simulation.configuration_delay_seconds = simulation.rng.uniform(0.5, 4)
    await asyncio.sleep(simulation.rng.uniform(1, 6))
    simulation.configuration_delay_seconds = 0


@lease_faults.faults.register('extra answers of targets')
async def send_extra_answers(simulation: lease_simulation.Simulation) -> None:
    """Stray answers to requests arrive where answers to orders are due."""
    simulation.order_faults.extra_part = simulation.rng.uniform(0.05, 0.3)
    await asyncio.sleep(simulation.rng.uniform(1, 5))
    simulation.order_faults.extra_part = 0
