"""An instance in the simulation of leases, with the real code for ownership."""

import asyncio
import typing
from collections import abc

import immutables

from bilberryglade._knowledge import (
    knowledge,
    peer_handlers,
    reading,
    topics,
)
from bilberryglade._membership import candidacy, fleet
from bilberryglade._ownership import lease_manager, table_manager
from bilberryglade._ownership.tests import lease_links, virtual_time
from bilberryglade._peers import handlers
from bilberryglade._routing import catalogue
from bilberryglade.platform import folds, orders, store
from bilberryglade_schema import fleet as messages

if typing.TYPE_CHECKING:
    from bilberryglade._ownership.tests import lease_simulation

#: Modules whose import registers folds and handlers.
REGISTERING_MODULES: typing.Final = (peer_handlers, folds)
SERVICE: typing.Final = 'ledger'
CATALOGUE: typing.Final = catalogue.Catalogue(
    version=1,
    routes={},
    services={SERVICE: catalogue.Service(SERVICE, True, 0, 0, '/health')},
    organisations={},
    api_keys={},
)
CATALOGUE_WITHOUT_SERVICE: typing.Final = CATALOGUE._replace(
    version=2, services={}
)
#: Longest lease that targets accept.
MAX_LEASE_SECONDS: typing.Final = 10.0
#: Range of the clock rates of instances: their seconds per virtual second.
CLOCK_RATES: typing.Final = (0.99, 1.01)
#: Interval of the `lead` messages in which the coordinator announces itself.
LEAD_INTERVAL_SECONDS: typing.Final = 0.5
#: Time in which a leaving target gets its last work.
DRAIN_SECONDS: typing.Final = 2.0
#: Interval of the checks for expired entries of targets.
EXPIRY_INTERVAL_SECONDS: typing.Final = 0.25
#: Time from the announcement of a planned stop to the end of the process.
STOP_DELAY_SECONDS: typing.Final = 2.6


class Instance:
    """One instance with the parts that decide on the owners of keys."""

    def __init__(
        self, simulation: 'lease_simulation.Simulation', name: str, boot: str
    ) -> None:
        """Connects the parts as the composition root does."""
        self.simulation = simulation
        self.name = name
        self.process = virtual_time.Process(name)
        self.process.clock_rate = simulation.rng.uniform(*CLOCK_RATES)
        own_member = fleet.Member(name, boot, name, 'a')
        self.fleet = fleet.Fleet(
            own_member,
            lease_links.PeerLink(simulation, name),  # type: ignore[arg-type]
        )
        client = store.StoreClient(
            'store',
            lease_links.StoreLink(simulation, name),  # type: ignore[arg-type]
        )
        self.candidacy = candidacy.Candidacy(self.fleet, client)
        self.reader = reading.Reader(
            self.fleet, client, self.candidacy, DRAIN_SECONDS
        )
        self.reader.known = knowledge.Knowledge(
            catalogue=None, domains=immutables.Map(simulation.domains)
        )
        self.lease_manager = lease_manager.LeaseManager(
            self.candidacy,
            orders.Orders(
                lease_links.TargetLink(simulation, name)  # type: ignore[arg-type]
            ),
            self.reader,
            MAX_LEASE_SECONDS,
        )
        self.steward = table_manager.TableManager(
            self.fleet,
            self.candidacy,
            client,
            self.reader,
            self.lease_manager,
            simulation.loads,  # type: ignore[arg-type]
        )
        self.operators = self
        self.crashes = self
        self.candidacy.on_claim.append(self.announce_lead)
        self.candidacy.on_end.append(self.announce_end)

    def start(self) -> None:
        """Starts the background loops of the instance."""
        loops = (
            self.candidacy.keep(),
            self.reader.follow_targets(),
            self.steward.run(),
            self._announce_repeatedly(),
            self._expire_repeatedly(),
        )
        for coroutine in loops:
            self.simulation.loop.create_task(
                coroutine, context=self.process.context
            )

    def set_domain(self, domain: str, state: knowledge.Domain) -> None:
        """Applies an operator's change of a failure domain, unless it is outdated."""
        known = self.reader.known
        current = known.domains.get(domain)
        if current is not None and current.offset >= state.offset:
            return
        domains = known.domains.set(domain, state)
        self.reader.known = known._replace(domains=domains)

    def configure(self, configuration: catalogue.Catalogue) -> None:
        """Puts a configuration in force at this instance."""
        self.reader.known = self.reader.known._replace(catalogue=configuration)

    def hear_lead(self, _: messages.Lead) -> None:
        """Does nothing: operators' records are not simulated."""

    def compare(self, _: messages.Lead) -> None:
        """Does nothing: crashes of targets are not simulated."""

    def receive(self, message: abc.Mapping[str, typing.Any]) -> None:
        """Dispatches a message of another instance to its registered handler."""
        handler = handlers.handlers.entries[message['kind']]
        self.fleet.hear(message['sender'])
        handler.handle(self, message)

    def announce_lead(self) -> None:
        """Sends a `lead` message to all other instances, if this one coordinates."""
        if self.candidacy.holds:
            self.fleet.send_all(self._lead_message())

    def announce_end(self) -> None:
        """Announces to all others that this instance is no longer coordinator."""
        message = self._lead_message()
        message['is_over'] = True
        self.fleet.send_all(message)

    def greet(self, name: str) -> None:
        """Sends targets and tables to a new instance, if this one coordinates."""
        if not self.candidacy.holds:
            return
        self.announce_lead()
        full_state = self.reader.whole(topics.TARGETS)
        if full_state is not None:
            self.fleet.send(name, full_state)
        self.fleet.send(name, self.steward.assignment_message())

    async def stop(self) -> None:
        """Stops as planned: announces it and resigns the lease first."""
        self.fleet.send_all(self.fleet.hello(is_leaving=True))
        await self.candidacy.resign()
        await asyncio.sleep(STOP_DELAY_SECONDS)
        self.simulation.kill(self.name)

    def _lead_message(self) -> messages.Lead:
        return {
            'kind': 'lead',
            'sender': self.name,
            'term': self.candidacy.term,
            'claim': self.candidacy.state.newest,
            'tables_version': self.steward.tables.version,
            'tables_change': self.steward.tables.change,
            'operator_offset': -1,
            'operator_total': 0,
            'operator_age_ms': 0,
        }

    async def _announce_repeatedly(self) -> None:
        while True:
            self.announce_lead()
            await asyncio.sleep(LEAD_INTERVAL_SECONDS)

    async def _expire_repeatedly(self) -> None:
        while True:
            self.reader.expire()
            await asyncio.sleep(EXPIRY_INTERVAL_SECONDS)
