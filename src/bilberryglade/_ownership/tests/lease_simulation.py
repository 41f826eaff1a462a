"""Simulates instances with the real coordinator, a model store and targets.

Everything runs on one virtual clock and is determined by a seed. Injected faults
affect the network, the store, the targets and the processes.
"""

import asyncio
import contextvars
import random
import typing
from collections import abc

from bilberryglade._knowledge import knowledge
from bilberryglade._ownership.tests import (
    lease_instance,
    modelled_network,
    modelled_targets,
    owner_rules,
    virtual_time,
)
from bilberryglade._routing import catalogue
from bilberryglade.platform.tests import samples
from bilberryglade_schema import fleet as messages
from bilberryglade_stand_ins import store_model

DOMAINS: typing.Final = ('a', 'b')
TARGETS_TOPIC: typing.Final = 'keyed.servers'
#: Interval at which a target refreshes its entry in the store, and the age at
#: which the store drops an entry that is not refreshed.
ENTRY_REFRESH_SECONDS: typing.Final = 0.87
ENTRY_EXPIRY_SECONDS: typing.Final = 2.61


class Loads:
    """Load on keys and speed of targets, set by faults.

    Stands in for the coordinator's sum of the instances' reports.
    """

    def __init__(self) -> None:
        """Starts without load."""
        self.by_block: dict[int, float] = {}
        #: Seconds of work per request, by target.
        self.work_seconds: dict[str, float] = {}

    def loads(self, _: str) -> dict[int, float]:
        """Returns requests per second by block of keys."""
        return self.by_block

    def handle_report(self, _: messages.Report) -> None:
        """Ignores reports of load."""


class Simulation:
    """The simulated fleet: instances, network, store and targets."""

    instance_type = lease_instance.Instance

    def __init__(self, seed: int, loop: virtual_time.VirtualLoop) -> None:
        """Draws the properties of the fleet from `seed`; starts nothing."""
        self.rng = random.Random(seed)
        self.loop = loop
        self.context = contextvars.copy_context()
        self.rules = owner_rules.OwnerRules()
        self.network = modelled_network.Network(self.rng, loop)
        self.store_faults = modelled_network.StoreFaults()
        self.order_faults = modelled_network.OrderFaults()
        self.model = store_model.StoreModel(self.now)
        self.loads = Loads()
        #: Name of the instance whose order a target executed last.
        self.last_order_sender = ''
        #: Virtual seconds at which each instance was last thawed.
        self.thawed_at: dict[str, float] = {}
        self.keeps_newer = self.rng.choice((True, False))
        self.targets: list[modelled_targets.Target] = []
        self.domains: dict[str, knowledge.Domain] = {}
        self.operator_offset = 0
        self.configuration = lease_instance.CATALOGUE
        #: Time from the start of an instance until it has a configuration.
        self.configuration_delay_seconds: float = 0
        self.instances: dict[str, lease_instance.Instance] = {}
        self.killed_instances: list[lease_instance.Instance] = []
        self.boot_count = 0

    def now(self) -> float:
        """Returns the virtual seconds since the start."""
        return self.loop.time()

    def call_later(
        self,
        seconds: float,
        callback: abc.Callable[..., object],
        *arguments: object,
    ) -> None:
        """Schedules a callback that runs outside all simulated processes."""
        self.loop.call_later(
            seconds, callback, *arguments, context=self.context
        )

    def start_all(self) -> None:
        """Starts the initial targets and instances."""
        for _ in range(self.rng.randint(3, 4)):
            self.add_target()
        for number in range(self.rng.randint(2, 3)):
            self.start(f'e{number}')

    def set_domain_out(self, domain: str, *, is_out: bool) -> None:
        """Takes a failure domain out, or restores it, as operators do."""
        self.operator_offset += 1
        state = knowledge.Domain(self.operator_offset, is_out, self.now())
        self.domains[domain] = state
        for instance in self.instances.values():
            self.call_later(
                self.rng.uniform(0.001, 0.5), instance.set_domain, domain, state
            )

    def configure(self, configuration: catalogue.Catalogue) -> None:
        """Puts a configuration in force at all instances, after a short delay."""
        self.configuration = configuration
        for instance in self.instances.values():
            self.call_later(
                self.rng.uniform(0.001, 0.5),
                instance.configure,
                configuration,
            )

    def start(self, name: str) -> None:
        """Starts an instance, unless one with this name is running."""
        if name in self.instances:
            return
        self.boot_count += 1
        instance = self.instance_type(self, name, f'boot-{self.boot_count}')
        self.instances[name] = instance
        for receiver in self.instances.values():
            for member in self.instances.values():
                receiver.fleet.take(member.fleet.own)
        self.call_later(
            self.configuration_delay_seconds,
            lambda: instance.configure(self.configuration),
        )
        instance.start()

    def kill(self, name: str) -> None:
        """Kills the process of an instance without any notice."""
        instance = self.instances.pop(name, None)
        if instance is None:
            return
        instance.process.is_dead = True
        self.killed_instances.append(instance)

    def coordinators(self) -> list[str]:
        """Returns the instances that now hold the coordinator's lease."""
        return [
            name
            for name, instance in self.instances.items()
            if instance.candidacy.holds
        ]

    def is_excused(self, name: str, target: str, arrived_at: float) -> bool:
        """Returns whether an order is exempt from the rules of ownership.

        That is so just after its sender was thawed or its link has healed.
        """
        since_thaw = arrived_at - self.thawed_at.get(name, -1)
        is_just_thawed = 0 <= since_thaw < modelled_network.LATE_GRACE_SECONDS
        return is_just_thawed or self.network.has_just_healed(
            name, target, arrived_at
        )

    def add_target(self) -> modelled_targets.Target:
        """Starts a new target."""
        number = len(self.targets)
        target = modelled_targets.Target(
            f't{number}',
            f'10.0.0.{number}:80',
            DOMAINS[number % len(DOMAINS)],
            self.rng.uniform(0, modelled_targets.MAX_CLOCK_SLOWDOWN),
            keeps_newer_leases=self.keeps_newer,
        )
        self.targets.append(target)
        self.loads.work_seconds[target.name] = self.rng.uniform(0.05, 0.15)
        self.loop.create_task(self._refresh_entry(target), context=self.context)
        return target

    async def _refresh_entry(self, target: modelled_targets.Target) -> None:
        """Keeps a target's entry in the store; drops it when it has expired."""
        stored_entry: tuple[int, bytes] = (0, b'')
        silent_seconds: float = 0
        while True:
            reaches_store = not self.network.is_cut(target.name, 'store')
            if (
                target.is_up
                and reaches_store
                and not self.store_faults.is_unavailable
            ):
                silent_seconds = 0
                # What the store has lost is written again.
                entry = (self.model.era, self._entry(target))
                if entry != stored_entry:
                    self.model.write(TARGETS_TOPIC, target.name, entry[1])
                    stored_entry = entry
            else:
                silent_seconds += ENTRY_REFRESH_SECONDS
                if silent_seconds > ENTRY_EXPIRY_SECONDS and stored_entry[1]:
                    self.model.write(TARGETS_TOPIC, target.name, b'')
                    stored_entry = (self.model.era, b'')
            await asyncio.sleep(
                ENTRY_REFRESH_SECONDS * self.rng.uniform(0.9, 1.1)
            )

    def _entry(self, target: modelled_targets.Target) -> bytes:
        return samples.entry(
            service=lease_instance.SERVICE,
            address=target.address,
            state='draining' if target.is_draining else 'ready',
            zone=target.domain,
            seq=4,
            born=target.born,
        )
