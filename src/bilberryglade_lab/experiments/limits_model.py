"""Entries and quota homes on a virtual clock, with a network that loses.

The decisions are the ones that run in an instance; only the loop around them
is replaced. Admissions are judged by an observer that sees callers alone.
"""

import functools
import heapq
import itertools
import random
import typing
from collections import abc

from bilberryglade._limits import (
    desk as desks,
    holding,
    home as homes,
    static,
    tokens,
)
from bilberryglade._routing import roles
from bilberryglade._state import state
from bilberryglade_lab.experiments import limits_observer

READ_SECONDS: typing.Final = 0.05
TICK_SECONDS: typing.Final = 0.05
#: Shortest delay of a timer.
SHORTEST_SECONDS: typing.Final = 0.0005
SPANS: typing.Final = homes.Spans(authority=0.8, token=0.4, drift=0.01)


class Link(typing.NamedTuple):
    """What the network does to a message between two instances."""

    latency_seconds: float = 0.001
    jitter_seconds: float = 0.0005
    loss: float = 0
    duplication: float = 0
    #: Part of the messages that come late by up to `late_seconds`.
    late: float = 0
    late_seconds: float = 1


class Instance:
    """One entry instance: its clock, its view of the log, its desks."""

    def __init__(self, name: str, boot: str, speed: float) -> None:
        """Starts with nothing; its clock runs at `speed`."""
        self.name = name
        self.speed = speed
        self.view = state.ClusterState()
        self.read_at = float('-inf')
        self.reads_log = True
        self.alive = True
        self.paused_until: float = 0
        self.home = homes.Home(name, boot, SPANS)
        self.boot = boot
        self.desks: dict[tokens.QuotaName, desks.Desk] = {}
        self.shares: dict[tokens.QuotaName, static.Share] = {}
        #: When each desk is to be woken.
        self.timers: dict[tokens.QuotaName, float] = {}

    def local(self, now: float) -> float:
        """Returns the time on this instance's own clock."""
        return now * self.speed

    def has_authority(self, local: float) -> bool:
        """Tells whether the newest read is young enough."""
        return local - self.read_at < SPANS.authority


class Planned(typing.NamedTuple):
    """An action that is to happen."""

    moment: float
    #: Order among actions of the same moment.
    number: int
    action: abc.Callable[[], None]


class Agenda:
    """What happens when, on a virtual clock."""

    def __init__(self) -> None:
        """Starts at time 0 with nothing planned."""
        self.now: float = 0
        self.order = itertools.count()
        self.agenda: list[Planned] = []

    def at(self, moment: float, action: abc.Callable[[], None]) -> None:
        """Plans `action`."""
        planned = Planned(moment, next(self.order), action)
        heapq.heappush(self.agenda, planned)

    def run(self, until: float) -> None:
        """Performs what is planned before `until`."""
        while self.agenda and self.agenda[0][0] < until:
            planned = heapq.heappop(self.agenda)
            self.now = planned.moment
            planned.action()
        self.now = until

    def _repeat(
        self,
        node: Instance,
        seconds: float,
        action: abc.Callable[[Instance], None],
    ) -> None:
        if not node.alive:
            return
        action(node)
        again = functools.partial(self._repeat, node, seconds, action)
        self.at(
            self.now + seconds,
            functools.partial(self._when_awake, node, again),
        )

    def _when_awake(
        self,
        node: Instance,
        action: abc.Callable[[], None],
    ) -> None:
        if not node.alive:
            return
        if node.paused_until > self.now:
            self.at(node.paused_until, action)
        else:
            action()


class Network(Agenda):
    """Carries messages between instances, late, twice, or not at all."""

    def __init__(self, seed: int, link: Link) -> None:
        """Draws delays and losses by `seed`."""
        super().__init__()
        self.random = random.Random(seed)  # noqa: S311
        self.asks = link
        self.grants = link
        self.handovers = link
        #: Senders and receivers that lose each other's messages.
        self.cuts: set[tuple[str, str]] = set()

    def _carry(
        self,
        sender: Instance,
        receiver: Instance,
        link: Link,
        action: abc.Callable[[], None],
    ) -> None:
        if (sender.name, receiver.name) in self.cuts:
            return
        copies = 1 + (self.random.random() < link.duplication)
        for _ in range(copies):
            if self.random.random() < link.loss:
                continue
            delay = link.latency_seconds
            delay += self.random.random() * link.jitter_seconds
            if self.random.random() < link.late:
                delay += self.random.random() * link.late_seconds
            self.at(
                self.now + delay,
                functools.partial(self._when_awake, receiver, action),
            )


class Model(Network):
    """A fleet, its network, its log, and the callers' record."""

    def __init__(
        self,
        seed: int,
        limits: dict[tokens.QuotaName, tokens.Limit],
        policy: str = 'home',
        link: Link = Link(),  # noqa: B008, WPS404
    ) -> None:
        """Starts at time 0 without instances."""
        super().__init__(seed, link)
        self.limits = limits
        self.policy = policy
        self.log = state.ClusterState()
        self.instances: dict[str, Instance] = {}
        self.events: list[limits_observer.Event] = []

    def join(self, name: str, speed: float = 1) -> None:
        """Starts a process and records that it joined."""
        old = self.instances.get(name)
        if old is not None:
            old.alive = False
        offset = self.log.offset + 1
        boot = f'{name}-{offset}'
        node = Instance(name, boot, speed)
        self.instances[name] = node
        member = state.Member(name, boot, '', '', '', offset)
        self._record(self.log.members.set(name, member))
        self._repeat(node, READ_SECONDS, self._read)
        self._repeat(node, TICK_SECONDS, self._tick_all)

    def lose(self, name: str, after_seconds: float) -> None:
        """Ends a process; its loss is recorded later."""
        self.instances[name].alive = False
        self.at(self.now + after_seconds, functools.partial(self.leave, name))

    def leave(self, name: str) -> None:
        """Records that an instance has left, whether it runs or not."""
        if name in self.log.members:
            self._record(self.log.members.delete(name))

    def arrive(self, name: str, quota: tokens.QuotaName) -> None:
        """Lets a caller send a request to an instance."""
        node = self.instances[name]
        self._when_awake(node, functools.partial(self._arrived, node, quota))

    def judge(self, quota: tokens.QuotaName) -> limits_observer.Judged:
        """Compares what callers saw with one bucket for the whole fleet."""
        events = [event for event in self.events if event.name == quota]
        return limits_observer.judge(events, self.limits[quota], SPANS.drift)

    def _record(self, members: typing.Any) -> None:
        offset = self.log.offset + 1
        self.log = state.ClusterState(
            offset=offset, members=members, topology_changed_at=offset
        )

    def _read(self, node: Instance) -> None:
        if not node.reads_log:
            return
        node.view = self.log
        node.read_at = node.local(self.now)
        observed = homes.observe(node.home, node.view, node.read_at)
        node.home = observed.home
        for handover in observed.handovers:
            self._hand_over(node, handover)

    def _hand_over(self, node: Instance, handover: tokens.Handover) -> None:
        home = self.instances.get(roles.quota_home(node.view, *handover.name))
        if home is not None:
            self._carry(
                node,
                home,
                self.handovers,
                functools.partial(self._handed, home, handover),
            )

    def _handed(self, home: Instance, handover: tokens.Handover) -> None:
        home.home = homes.receive(home.home, handover, home.local(self.now))

    def _arrived(self, node: Instance, quota: tokens.QuotaName) -> None:
        limit = self.limits[quota]
        if self.policy == 'static':
            members = max(len(node.view.members), 1)
            spent = static.spend(
                node.shares.get(quota), limit, members, node.local(self.now)
            )
            node.shares[quota] = spent.share
            self.events.append(
                limits_observer.Event(self.now, quota, spent.admitted)
            )
            return
        desk = self._desk(node, quota)
        self._perform(
            node, quota, desks.arrive(desk, 0, limit, node.local(self.now))
        )

    def _tick_all(self, node: Instance) -> None:
        for quota in list(node.desks):
            self._tick(node, quota)

    def _tick(self, node: Instance, quota: tokens.QuotaName) -> None:
        if not node.alive:
            return
        step = desks.tick(node.desks[quota], node.local(self.now))
        self._perform(node, quota, step)

    def _perform(
        self,
        node: Instance,
        quota: tokens.QuotaName,
        step: desks.Step,
    ) -> None:
        node.desks[quota] = step.desk
        for effect in step.effects:
            if isinstance(effect, desks.Send):
                self._ask(node, quota, effect.ask)
            else:
                is_in = isinstance(effect, desks.Admit)
                self.events.append(
                    limits_observer.Event(self.now, quota, is_in)
                )
        self._set_timer(node, quota)

    def _set_timer(self, node: Instance, quota: tokens.QuotaName) -> None:
        wake_at = desks.wake_at(node.desks[quota]) / node.speed
        node.timers[quota] = wake_at
        if wake_at < float('inf'):
            moment = max(wake_at, self.now + SHORTEST_SECONDS)
            self.at(
                moment,
                functools.partial(
                    self._when_awake,
                    node,
                    functools.partial(self._wake, node, quota, wake_at),
                ),
            )

    def _wake(
        self,
        node: Instance,
        quota: tokens.QuotaName,
        wake_at: float,
    ) -> None:
        if node.timers[quota] == wake_at:
            self._tick(node, quota)

    def _ask(
        self,
        node: Instance,
        quota: tokens.QuotaName,
        ask: tokens.Ask,
    ) -> None:
        home = self.instances.get(roles.quota_home(node.view, *quota))
        if home is node:
            self._answer(node, node, quota, ask)
        elif home is not None:
            self._carry(
                node,
                home,
                self.asks,
                functools.partial(self._answer, home, node, quota, ask),
            )

    def _answer(
        self,
        home: Instance,
        entry: Instance,
        quota: tokens.QuotaName,
        ask: tokens.Ask,
    ) -> None:
        local = home.local(self.now)
        answered = homes.answer(
            home.home,
            quota,
            self.limits[quota],
            ask,
            home.has_authority(local),
            local,
        )
        home.home = answered.home
        if home is entry:
            self._granted(entry, quota, answered.grant)
        else:
            self._carry(
                home,
                entry,
                self.grants,
                functools.partial(self._granted, entry, quota, answered.grant),
            )

    def _granted(
        self,
        node: Instance,
        quota: tokens.QuotaName,
        grant: tokens.Grant,
    ) -> None:
        step = desks.granted(
            self._desk(node, quota),
            grant,
            self.limits[quota],
            node.local(self.now),
        )
        self._perform(node, quota, step)

    def _desk(self, node: Instance, quota: tokens.QuotaName) -> desks.Desk:
        fresh = holding.Holding(node.boot, SPANS.token)
        return node.desks.get(quota, desks.Desk(fresh))
