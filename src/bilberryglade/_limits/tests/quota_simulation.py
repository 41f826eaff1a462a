"""Simulates instances that divide quotas, on one virtual clock, from a seed.

Instances run the real code of membership, the coordinator's lease and quotas, over
the modelled store and network. What is admitted is noted for the rules to check.
"""

import asyncio
import contextvars
import random
import types
import typing
from collections import abc

from bilberryglade._instance import announcing
from bilberryglade._knowledge import catching_up, peer_handlers
from bilberryglade._limits import desks, pools
from bilberryglade._membership import candidacy, enrolment, fleet
from bilberryglade._ownership import key_loads
from bilberryglade._ownership.tests import (
    lease_links,
    modelled_network,
    virtual_time,
)
from bilberryglade._peers import handlers
from bilberryglade._routing import catalogue
from bilberryglade.platform import store
from bilberryglade_stand_ins import store_model

REGISTERED: typing.Final = (peer_handlers,)
DOMAINS: typing.Final = ('a', 'b', 'c')
#: `quota_window`, `quota_overshoot` and `quota_slack` of the platform's settings.
WINDOW_SECONDS: typing.Final = 5.0
OVERSHOOT: typing.Final = 0.1
SLACK: typing.Final = 20
#: An organisation's usual requests are its rate divided by this.
USUAL_DIVISOR: typing.Final = 1.6
#: Seconds from the start of the instances to the first request.
QUIET_SECONDS: typing.Final = 3.0
#: Seconds from the end of a process to the start of the next one.
RESTART_SECONDS: typing.Final = (0.5, 1.0)


class Run(typing.NamedTuple):
    """What became of one organisation's requests."""

    holder: catalogue.Organisation
    #: Seconds of those that were admitted, in order.
    admitted: list[float]
    #: Seconds of those that were refused.
    refused: list[float]

    def most(self) -> int:
        """Returns the most that were admitted in any window."""
        best = 0
        first = 0
        for last, at in enumerate(self.admitted):
            while at - self.admitted[first] >= WINDOW_SECONDS:
                first += 1
            best = max(best, last - first + 1)
        return best

    def bound(self) -> float:
        """Returns the most that the rule allows in a window."""
        quota = self.holder.rate * WINDOW_SECONDS + self.holder.burst
        return quota * (1 + OVERSHOOT) + SLACK


class Instance:
    """One process of an instance, as far as quotas are concerned."""

    def __init__(self, simulation: 'Simulation', member: fleet.Member) -> None:
        """Knows nothing; `run` reads what a process reads at its start."""
        self.simulation = simulation
        self.own = member
        self.process = virtual_time.Process(member.name)
        self.is_serving = False
        self.client = store.StoreClient(
            'store',
            lease_links.StoreLink(
                simulation,  # type: ignore[arg-type]
                member.name,
            ),
        )

    async def run(self) -> None:
        """Starts the parts, wired as the composition root does."""
        known = await enrolment.read_fleet(self.client)
        link = lease_links.PeerLink(
            self.simulation,  # type: ignore[arg-type]
            self.own.name,
        )
        self.fleet = fleet.Fleet(
            self.own,
            link,  # type: ignore[arg-type]
            known.members,
        )
        self.candidacy = candidacy.Candidacy(self.fleet, self.client)
        self.enrolment = enrolment.Enrolment(
            self.fleet, self.client, self.candidacy
        )
        self.pools = pools.Pools(
            self.fleet, self.candidacy, self.simulation.organisations
        )
        self.candidacy.on_start.append(self.pools.begin)
        self.desks = desks.Desks(self.fleet, self.candidacy, self.pools)
        self.load_sum = types.SimpleNamespace(handle_report=_ignored)
        self.operators = types.SimpleNamespace(
            mark=lambda: catching_up.Mark(-1, 0),
            age_ms=int,
            hear_lead=_ignored,
            reader=types.SimpleNamespace(whole=_ignored),
        )
        self.steward = types.SimpleNamespace(
            tables=types.SimpleNamespace(version=-1, change=0),
            handle_lead=_ignored,
            assignment_message=lambda: {'kind': '', 'sender': self.own.name},
        )
        self.crashes = types.SimpleNamespace(mark=int, compare=_ignored)
        self.announcer = announcing.Announcer(
            self.fleet,
            self.candidacy,
            self.operators,  # type: ignore[arg-type]
            types.SimpleNamespace(tell=_ignored),  # type: ignore[arg-type]
            self.steward,  # type: ignore[arg-type]
            self.crashes,  # type: ignore[arg-type]
        )
        reporter = key_loads.Reporter(
            self.fleet,
            self.candidacy,
            self.pools.take_report,
            lambda _: {},
        )
        self.is_serving = True
        await asyncio.gather(
            self.candidacy.keep(),
            self.enrolment.follow(),
            self.enrolment.keep_copy(),
            self.enrolment.sweep(),
            self.announcer.run(),
            reporter.run(),
        )

    def receive(self, message: abc.Mapping[str, typing.Any]) -> None:
        """Dispatches a message of another instance to its registered handler."""
        handler = handlers.handlers.find(message['kind'])
        if self.is_serving and handler is not None:
            self.fleet.hear(message['sender'])
            handler.handle(self, message)

    async def serve(self, run: Run) -> None:
        """Takes a request of an organisation, maybe of one who came back."""
        is_late = self.simulation.rng.choice((False, True))
        wait = await self.desks.admit(run.holder, is_late=is_late)
        outcome = run.admitted if wait is None else run.refused
        outcome.append(self.simulation.now())


class Simulation:
    """Instances, the store, the network, and callers of organisations."""

    def __init__(
        self, seed: int, size: int, loop: virtual_time.VirtualLoop
    ) -> None:
        """Draws from `seed`; starts nothing."""
        self.rng = random.Random(seed)
        self.loop = loop
        self.context = contextvars.copy_context()
        self.network = modelled_network.Network(self.rng, loop)
        self.store_faults = modelled_network.StoreFaults()
        self.model = store_model.StoreModel()
        self.instances: dict[str, Instance] = {}
        self.runs: dict[str, Run] = {}
        #: Each is also the address, which has a host and a port.
        self.names = [
            f'{DOMAINS[place % 3]}{place:03}:1' for place in range(size)
        ]

    def now(self) -> float:
        """Returns the virtual seconds since the start."""
        return self.loop.time()

    def organisations(self) -> dict[str, catalogue.Organisation]:
        """Returns the organisations of the configuration in force."""
        return {name: run.holder for name, run in self.runs.items()}

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

    def start(self, name: str) -> None:
        """Starts a process of an instance, unless one is running."""
        if name in self.instances:
            return
        member = fleet.Member(name, f'boot-{self.rng.random()}', name, name[0])
        instance = Instance(self, member)
        self.instances[name] = instance
        self.loop.create_task(instance.run(), context=instance.process.context)

    def kill(self, name: str) -> None:
        """Kills a process; it is started again soon."""
        instance = self.instances.pop(name, None)
        if instance is None:
            return
        instance.process.is_dead = True
        self.call_later(self.rng.uniform(*RESTART_SECONDS), self.start, name)

    async def offer(
        self, holder: catalogue.Organisation, times: float, seconds: float
    ) -> None:
        """Sends an organisation's requests, `times` its usual, to any instance."""
        run = Run(holder, [], [])
        self.runs[holder.name] = run
        await asyncio.sleep(QUIET_SECONDS)
        until = self.now() + seconds
        while self.now() < until:
            mean = USUAL_DIVISOR / (holder.rate * times)
            await asyncio.sleep(self.rng.expovariate(1 / mean))
            instance = self.instances.get(self.rng.choice(self.names))
            if instance is not None and instance.is_serving:
                self.loop.create_task(
                    instance.serve(run), context=instance.process.context
                )


def _ignored(*_: object) -> None:
    """Stands for what does not concern quotas."""
