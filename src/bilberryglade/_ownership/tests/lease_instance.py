"""One instance in the world of leases: the real parts that decide on owners."""

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
from bilberryglade._ownership import lessor, table_manager
from bilberryglade._ownership.tests import lease_links, virtual_time
from bilberryglade._peers import handlers
from bilberryglade._routing import catalogue
from bilberryglade.platform import folds, orders, store
from bilberryglade_schema import fleet as messages

if typing.TYPE_CHECKING:
    from bilberryglade._ownership.tests import lease_world

#: Modules whose import registers folds and handlers.
REGISTERED: typing.Final = (peer_handlers, folds)
SERVICE: typing.Final = 'ledger'
CATALOGUE: typing.Final = catalogue.Catalogue(
    version=1,
    routes={},
    services={SERVICE: catalogue.Service(SERVICE, True, 0, 0, '/health')},
    organisations={},
    api_keys={},
)
EMPTY: typing.Final = CATALOGUE._replace(version=2, services={})
#: Seconds of the longest lease that targets take.
LONGEST_LEASE: typing.Final = 10.0
#: Seconds that clocks of instances count in a second.
PACE: typing.Final = (0.99, 1.01)
#: Seconds between two signs of life of a coordinator, between two looks for
#: entries that have lapsed, and of a planned stop.
LEAD_SECONDS: typing.Final = 0.5
EXPIRE_SECONDS: typing.Final = 0.25
STOP_SECONDS: typing.Final = 2.6


class Instance:
    """One entry instance with the parts that decide who owns keys."""

    def __init__(
        self, world: 'lease_world.World', name: str, boot: str
    ) -> None:
        """Wires the parts as the composition root does."""
        self.world = world
        self.name = name
        self.process = virtual_time.Process(name)
        self.process.pace = world.chance.uniform(*PACE)
        own = fleet.Member(name, boot, name, 'a')
        self.fleet = fleet.Fleet(
            own,
            lease_links.PeerLink(world, name),  # type: ignore[arg-type]
        )
        client = store.StoreClient(
            'store',
            lease_links.StoreLink(world, name),  # type: ignore[arg-type]
        )
        self.candidacy = candidacy.Candidacy(self.fleet, client)
        self.reader = reading.Reader(self.fleet, client, self.candidacy)
        self.reader.known = knowledge.Knowledge(
            catalogue=None, domains=immutables.Map(world.domains)
        )
        self.lessor = lessor.Lessor(
            self.candidacy,
            orders.Orders(
                lease_links.TargetLink(world, name)  # type: ignore[arg-type]
            ),
            self.reader,
            LONGEST_LEASE,
        )
        self.steward = table_manager.TableManager(
            self.fleet,
            self.candidacy,
            client,
            self.reader,
            self.lessor,
            world.loads,  # type: ignore[arg-type]
        )
        self.operators = self
        self.candidacy.on_start.append(self.lead)
        self.candidacy.on_end.append(self.tell_end)

    def start(self) -> None:
        """Starts the loops of this instance."""
        loops = (
            self.candidacy.keep(),
            self.reader.follow_targets(),
            self.steward.run(),
            self._lead(),
            self._expire(),
        )
        for coroutine in loops:
            self.world.loop.create_task(coroutine, context=self.process.context)

    def learn(self, domain: str, word: knowledge.Domain) -> None:
        """Takes in a word of operators on a failure domain."""
        known = self.reader.known
        before = known.domains.get(domain)
        if before is not None and before.offset >= word.offset:
            return
        domains = known.domains.set(domain, word)
        self.reader.known = known._replace(domains=domains)

    def configure(self, configuration: catalogue.Catalogue) -> None:
        """Takes in a configuration."""
        self.reader.known = self.reader.known._replace(catalogue=configuration)

    def hear_lead(self, _: messages.Lead) -> None:
        """Stands for the operators' records, which are not modelled."""

    def receive(self, message: abc.Mapping[str, typing.Any]) -> None:
        """Takes in a message of another instance."""
        handler = handlers.handlers.entries[message['kind']]
        self.fleet.hear(message['sender'])
        handler.handle(self, message)

    def lead(self) -> None:
        """Tells all others that this instance coordinates."""
        if self.candidacy.holds:
            self.fleet.send_all(self._sign_of_life())

    def tell_end(self) -> None:
        """Tells all others that this instance coordinates no more."""
        message = self._sign_of_life()
        message['is_over'] = True
        self.fleet.send_all(message)

    def greet(self, name: str) -> None:
        """Tells a new instance what is known here."""
        if not self.candidacy.holds:
            return
        self.lead()
        whole = self.reader.whole(topics.TARGETS)
        if whole is not None:
            self.fleet.send(name, whole)
        self.fleet.send(name, self.steward.assignment_message())

    async def stop(self) -> None:
        """Ends as planned: says so and gives up the lease."""
        self.fleet.send_all(self.fleet.hello(is_leaving=True))
        await self.candidacy.resign()
        await asyncio.sleep(STOP_SECONDS)
        self.world.kill(self.name)

    def _sign_of_life(self) -> messages.Lead:
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

    async def _lead(self) -> None:
        while True:
            self.lead()
            await asyncio.sleep(LEAD_SECONDS)

    async def _expire(self) -> None:
        while True:
            self.reader.expire()
            await asyncio.sleep(EXPIRE_SECONDS)
