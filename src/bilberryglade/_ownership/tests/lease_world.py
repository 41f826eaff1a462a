"""Instances with their real coordinator, over a modelled store and targets.

All of it runs on one virtual clock and follows from a seed. Troubles change
the network, the store, the targets and the processes while it runs.
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
#: Seconds between two signs of life of a target, and of silence after which
#: the store drops its entry.
BEAT_SECONDS: typing.Final = 0.87
LAPSE_SECONDS: typing.Final = 2.61


class Loads:
    """Load on keys and speed of targets, as a test sets them."""

    def __init__(self) -> None:
        """Knows of none."""
        self.by_block: dict[int, float] = {}
        #: Seconds of work by target.
        self.work_seconds: dict[str, float] = {}

    def loads(self, _: str) -> dict[int, float]:
        """Returns requests a second by block of keys."""
        return self.by_block

    def handle_report(self, _: messages.Report) -> None:
        """Counts nothing."""


class World:
    """Everything there is."""

    def __init__(self, seed: int, loop: virtual_time.VirtualLoop) -> None:
        """Draws sizes from `seed`; nothing runs yet."""
        self.chance = random.Random(seed)
        self.loop = loop
        self.context = contextvars.copy_context()
        self.rules = owner_rules.OwnerRules()
        self.network = modelled_network.Network(self.chance, loop)
        self.store_troubles = modelled_network.StoreTroubles()
        self.order_troubles = modelled_network.OrderTroubles()
        self.model = store_model.StoreModel()
        self.loads = Loads()
        #: Name of the instance whose order arrived last.
        self.giver = ''
        #: Seconds at which each instance went on after a freeze.
        self.thawed_at: dict[str, float] = {}
        self.keeps_newer = self.chance.choice((True, False))
        self.targets: list[modelled_targets.Target] = []
        self.domains: dict[str, knowledge.Domain] = {}
        self.operator_offset = 0
        self.configuration = lease_instance.CATALOGUE
        #: Seconds for which instances that start read no configuration.
        self.unread_seconds: float = 0
        self.instances: dict[str, lease_instance.Instance] = {}
        self.graveyard: list[lease_instance.Instance] = []
        self.boots = 0

    def now(self) -> float:
        """Returns virtual seconds."""
        return self.loop.time()

    def later(
        self,
        seconds: float,
        callback: abc.Callable[..., object],
        *arguments: object,
    ) -> None:
        """Schedules something that no process does."""
        self.loop.call_later(
            seconds, callback, *arguments, context=self.context
        )

    def begin(self) -> None:
        """Starts targets and instances."""
        for _ in range(self.chance.randint(3, 4)):
            self.add_target()
        for number in range(self.chance.randint(2, 3)):
            self.start(f'e{number}')

    def take_out(self, domain: str, *, is_out: bool) -> None:
        """Lets operators take a failure domain out, or restore it."""
        self.operator_offset += 1
        word = knowledge.Domain(self.operator_offset, is_out, self.now())
        self.domains[domain] = word
        for instance in self.instances.values():
            self.later(
                self.chance.uniform(0.001, 0.5), instance.learn, domain, word
            )

    def configure(self, configuration: catalogue.Catalogue) -> None:
        """Puts a configuration in force."""
        self.configuration = configuration
        for instance in self.instances.values():
            self.later(
                self.chance.uniform(0.001, 0.5),
                instance.configure,
                configuration,
            )

    def start(self, name: str) -> None:
        """Starts an instance, also one that has ended."""
        if name in self.instances:
            return
        self.boots += 1
        instance = lease_instance.Instance(self, name, f'boot-{self.boots}')
        self.instances[name] = instance
        for other in self.instances.values():
            for known in self.instances.values():
                other.fleet.take(known.fleet.own)
        self.later(
            self.unread_seconds,
            lambda: instance.configure(self.configuration),
        )
        instance.start()

    def kill(self, name: str) -> None:
        """Ends a process at once."""
        instance = self.instances.pop(name, None)
        if instance is None:
            return
        instance.process.is_dead = True
        self.graveyard.append(instance)

    def coordinators(self) -> list[str]:
        """Returns who holds the lease now."""
        return [
            name
            for name, instance in self.instances.items()
            if instance.candidacy.holds
        ]

    def is_excused(self, name: str, target: str, arrived: float) -> bool:
        """Tells whether an order that arrived then does not count."""
        thawed = arrived - self.thawed_at.get(name, -1)
        is_late = 0 <= thawed < modelled_network.THAW_SECONDS
        return is_late or self.network.is_fresh(name, target, arrived)

    def add_target(self) -> modelled_targets.Target:
        """Starts one more target."""
        number = len(self.targets)
        target = modelled_targets.Target(
            f't{number}',
            f'10.0.0.{number}:80',
            DOMAINS[number % len(DOMAINS)],
            self.chance.uniform(0, modelled_targets.SLOWEST_CLOCK),
            keeps_newer=self.keeps_newer,
        )
        self.targets.append(target)
        self.loads.work_seconds[target.name] = self.chance.uniform(0.05, 0.15)
        self.loop.create_task(self._beat(target), context=self.context)
        return target

    async def _beat(self, target: modelled_targets.Target) -> None:
        """Writes a target's entry as the store keeps it."""
        written = b''
        silent: float = 0
        while True:
            reaches = not self.network.is_cut(target.name, 'store')
            if target.is_up and reaches and not self.store_troubles.is_away:
                silent = 0
                entry = self._entry(target)
                if entry != written:
                    self.model.write(TARGETS_TOPIC, target.name, entry)
                    written = entry
            else:
                silent += BEAT_SECONDS
                if silent > LAPSE_SECONDS and written:
                    self.model.write(TARGETS_TOPIC, target.name, b'')
                    written = b''
            await asyncio.sleep(BEAT_SECONDS * self.chance.uniform(0.9, 1.1))

    def _entry(self, target: modelled_targets.Target) -> bytes:
        return samples.entry(
            service=lease_instance.SERVICE,
            address=target.address,
            state='draining' if target.is_draining else 'ready',
            zone=target.domain,
            seq=4,
            born=target.born,
        )
