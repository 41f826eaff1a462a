"""Instances that also follow operators' records, in the simulation of leases."""

import asyncio
import typing
from collections import abc

from bilberryglade._knowledge import operators, topics
from bilberryglade._ownership.tests import lease_instance, lease_simulation
from bilberryglade._routing import catalogue
from bilberryglade._values import stored
from bilberryglade.platform.tests import samples
from bilberryglade_schema import fleet as messages

OPERATOR_TOPIC: typing.Final = 'keyed.op'
HOUSEKEEPING_SECONDS: typing.Final = 0.25
#: Seconds between two configurations, and until a lost one is written again.
CHANGE_SECONDS: typing.Final = (1.0, 4.0)
RESTORE_SECONDS: typing.Final = (0.2, 2.0)


class Instance(lease_instance.Instance):
    """An instance whose configuration comes from the store."""

    def __init__(
        self, simulation: lease_simulation.Simulation, name: str, boot: str
    ) -> None:
        """Knows no configuration."""
        super().__init__(simulation, name, boot)
        self.records = operators.Operators(self.reader)
        self.operators = self.records  # type: ignore[assignment]
        #: Versions that were in force, each time that it changed.
        self.versions: list[int] = []
        self.reader.listeners.append(self._note_version)

    def start(self) -> None:
        """Starts the background loops of the instance."""
        super().start()
        for coroutine in (self.records.follow(), self._catch_up()):
            self.simulation.loop.create_task(
                coroutine, context=self.process.context
            )

    def configure(self, _: catalogue.Catalogue) -> None:
        """Does nothing: configurations come from the store."""

    @property
    def version(self) -> int:
        """The version of the configuration in force; 0 if there is none."""
        known = self.reader.known.catalogue
        return 0 if known is None else known.version

    def coordinates(self) -> bool:
        """Tells whether it coordinates, by its own clock."""
        return self.process.context.run(lambda: self.candidacy.holds)

    def _note_version(self) -> None:
        if not self.versions or self.versions[-1] != self.version:
            self.versions.append(self.version)

    def _lead_message(self) -> messages.Lead:
        message = super()._lead_message()
        mark = self.records.mark()
        message['operator_offset'] = mark.newest
        message['operator_total'] = mark.total
        message['operator_age_ms'] = self.records.age_ms()
        return message

    async def _catch_up(self) -> None:
        while True:
            self.records.catch_up()
            await asyncio.sleep(HOUSEKEEPING_SECONDS)


class Simulation(lease_simulation.Simulation):
    """A fleet with an operator who changes the configuration."""

    instance_type = Instance

    def start_all(self) -> None:
        """Starts the fleet and the operator."""
        self.newest_version = 0
        self.loop.create_task(self._operate(), context=self.context)
        super().start_all()

    async def _operate(self) -> None:
        """Writes configurations, and again what the store has lost."""
        written_in = 0
        while True:
            if self.model.era == written_in:
                self.newest_version += 1
            written_in = self.model.era
            self.model.write(
                OPERATOR_TOPIC,
                'config',
                samples.configuration(self.newest_version),
            )
            until = self.now() + self.rng.uniform(*CHANGE_SECONDS)
            while self.now() < until and self.model.era == written_in:
                await asyncio.sleep(HOUSEKEEPING_SECONDS)
            if self.model.era != written_in:
                await asyncio.sleep(self.rng.uniform(*RESTORE_SECONDS))


def agreed(simulation: Simulation) -> list[str]:
    """Returns in what the instances differ, or from what there is."""
    instances = [
        typing.cast(Instance, one) for one in simulation.instances.values()
    ]
    eras = {
        stored.position_of(one.steward.tables.version).era for one in instances
    }
    listed = {
        frozenset(one.reader.known.directory.targets) for one in instances
    }
    found: dict[str, abc.Collection[object]] = {
        'versions': {one.version for one in instances}
        - {simulation.newest_version},
        'eras of the tables': eras - {simulation.model.era},
        'versions of the tables': {
            one.steward.tables.version for one in instances
        },
        'targets': listed,
        'eras of the targets': {
            stored.era_of(one.reader.known.ends[topics.TARGETS])
            for one in instances
        }
        - {simulation.model.era},
        'coordinators': [one for one in instances if one.coordinates()],
    }
    alone = ('versions of the tables', 'targets', 'coordinators')
    return [
        name
        for name, different in found.items()
        if len(different) != int(name in alone)
    ]
