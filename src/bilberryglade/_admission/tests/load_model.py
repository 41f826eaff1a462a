"""An event-driven model of callers, a dispatcher and targets, on virtual time.

The ledger and the policies are the real ones; callers, targets and the network
are modelled. Nothing is sent and nobody waits.
"""

import functools
import heapq
import itertools
import random
import typing
from collections import abc

from bilberryglade._admission import gate, returning
from bilberryglade._delivery import permits, send_results
from bilberryglade._targets import choosing, directory, standing

DOMAINS: typing.Final = ('a', 'b', 'c', 'd')
#: One-way latency between failure domains, in seconds.
LATENCY: typing.Final = 0.0014
#: Requests that a target queues; it never answers more.
QUEUE: typing.Final = 8
SLOWNESS: typing.Final = 3.0
SPELL_SECONDS: typing.Final = 0.4
#: Part of the time in which a target is slow.
SPELL_PART: typing.Final = 0.2
#: Requests that arrive before this are not counted: rates are learnt first.
WARM_UP: typing.Final = 2.0
EXPIRY_SECONDS: typing.Final = 0.25


class Kind(typing.NamedTuple):
    """Requests of one kind; times are in seconds, the rate in a second."""

    name: str
    rate: float
    work: float
    aim: float
    deadline: float
    worth: float
    late: float
    urgency: int | None
    retries: int = 1
    #: Longest time that the route allows one request.
    timeout: float = 10.0


class Case(typing.NamedTuple):
    """A load, and the targets that bear it."""

    name: str
    kinds: tuple[Kind, ...]
    targets: int = 1
    places: int = 2
    seconds: float = 24.0
    #: Whether each request has one owner among the targets.
    is_partitioned: bool = True
    has_spells: bool = True
    #: Factor on the rates by seconds since the start.
    factor: abc.Callable[[float], float] = lambda _: 1.0
    #: Share of all requests that go to the first target, by seconds.
    hot_share: abc.Callable[[float], float] = lambda _: 0
    #: Whether callers come back at a third of their time left if they are told
    #: a later time; else they don't come back.
    follows_at_most: bool = True
    #: When a new dispatcher takes over, without any memory; 0 if never.
    successor_at: float = 0


class Request(typing.NamedTuple):
    """A caller's request, first or repeated."""

    kind: Kind
    domain: str
    target: int
    began_at: float
    refusals: int = 0


class Tally(typing.NamedTuple):
    """What callers of one kind or failure domain got."""

    requests: int = 0
    in_aim: int = 0
    late: int = 0
    #: Answered after a refusal.
    after_refusal: int = 0
    refused_once: int = 0
    refused_twice: int = 0
    admitted: int = 0
    worth: float = 0
    best_worth: float = 0
    waited: float = 0

    @property
    def served(self) -> float:
        """Share of requests that were answered."""
        return (self.in_aim + self.late) / max(self.requests, 1)

    @property
    def worth_share(self) -> float:
        """Share of the whole worth that was earned."""
        return self.worth / max(self.best_worth, 1e-9)

    @property
    def punctual(self) -> float:
        """Share of admitted requests that finished in the aim."""
        return self.in_aim / max(self.admitted, 1)


class Event(typing.NamedTuple):
    """Something that happens at a moment."""

    moment: float
    #: Orders those of one moment.
    number: int
    act: abc.Callable[[], None]


class Target:
    """A modelled target: places, a short queue, slow spells."""

    def __init__(self, place: int, case: Case, chance: random.Random) -> None:
        """Draws its speed and its slow spells."""
        self.chance = chance
        self.speed = 1.0 if case.targets == 1 else chance.uniform(0.6, 1.6)
        self.entry = directory.Target(
            name=f't{place}',
            born=1,
            service='s',
            address='127.0.0.1:1',
            failure_domain=DOMAINS[place % len(DOMAINS)],
            places=case.places,
            is_draining=False,
            cold_until=0,
            sequence=1,
            offset=1,
        )
        self.running = 0
        self.waiting: list[abc.Callable[[], None]] = []
        self.has_spells = case.has_spells
        self.spell = (-1.0, -1.0)

    def slowness(self, now: float) -> float:
        """Returns how long work takes now, 1 as usual."""
        if not self.has_spells:
            return 1.0
        while self.spell[1] < now:
            quiet = SPELL_SECONDS * (1 - SPELL_PART) / SPELL_PART
            begin = self.spell[1] + self.chance.expovariate(1 / quiet)
            self.spell = (begin, begin + SPELL_SECONDS)
        return SLOWNESS if self.spell[0] <= now else 1.0


class Model:
    """Plays one case under one policy."""

    def __init__(self, case: Case, policy: str, seed: int = 1) -> None:
        """Draws arrivals and targets from `seed`, the same for all policies."""
        self.case = case
        self.policy = policy
        self.now: float = 0
        self.order = itertools.count()
        self.events: list[Event] = []
        self.chance = random.Random(seed)
        self.work_chance = random.Random(seed + 1)
        self.targets = [
            Target(place, case, random.Random(seed * 1000 + place))
            for place in range(case.targets)
        ]
        self.numbers = itertools.count()
        self.swallowed = 0
        self.refusals: dict[str, int] = {}
        self.tallies: dict[str, Tally] = {}
        self.draws = random.Random(seed + 2)
        self.ledger = self.new_ledger()

    def new_ledger(self) -> permits.PermitLedger:
        """Returns the ledger of a dispatcher that has just begun."""
        return permits.PermitLedger(
            lambda _, owner: [
                target.entry
                for target in self.targets
                if owner in {'', target.entry.name}
            ],
            lambda _: 0,
            admission_gate=gate.Gate(self.policy, self.draws.random),
        )

    def play(self) -> 'Model':
        """Plays the whole case."""
        for kind in self.case.kinds:
            self.next_arrival(kind)
        self.at(EXPIRY_SECONDS, self.expire)
        if self.case.successor_at:
            self.at(self.case.successor_at, self.take_over)
        while self.events:
            event = heapq.heappop(self.events)
            self.now = event.moment
            event.act()
        return self

    def at(self, moment: float, act: abc.Callable[[], None]) -> None:
        """Plans an event."""
        heapq.heappush(self.events, Event(moment, next(self.order), act))

    def take_over(self) -> None:
        """Begins with a new ledger, that of another instance."""
        self.ledger = self.new_ledger()

    def expire(self) -> None:
        """Drops permits whose end was never reported."""
        lives = {directory.life_of(target.entry) for target in self.targets}
        self.ledger.expire(self.now, lives)
        if self.now < self.case.seconds + 5:
            self.at(self.now + EXPIRY_SECONDS, self.expire)

    def next_arrival(self, kind: Kind) -> None:
        """Plans the next first request of a kind."""
        rate = kind.rate * self.case.factor(self.now)
        moment = self.now + self.chance.expovariate(rate)
        if moment >= self.case.seconds:
            return
        is_hot = self.chance.random() < self.case.hot_share(moment)
        place = 0 if is_hot else self.chance.randrange(self.case.targets)
        request = Request(kind, self.chance.choice(DOMAINS), place, moment)

        self.at(moment, functools.partial(self.arrive, request))

    def arrive(self, request: Request) -> None:
        """Takes in a first request."""
        self.next_arrival(request.kind)
        self.count(request, requests=1, best_worth=request.kind.worth)
        self.ask(request)

    def ask(self, request: Request) -> None:
        """Asks the dispatcher, and sends or refuses."""
        kind = request.kind
        left = request.began_at + kind.deadline - self.now
        demand = choosing.Demand(
            failure_domain=request.domain,
            aim_left=request.began_at + kind.aim - self.now,
            time_left=min(left, kind.timeout),
            tried=frozenset(),
            urgency=kind.urgency,
            is_retry=request.refusals > 0,
            caller_left=left,
        )
        owner = f't{request.target}' if self.case.is_partitioned else ''
        key = (request.domain, next(self.numbers))
        asked = permits.PermitRequest(key, 's', owner, demand)
        granted = self.ledger.grant(asked, self.now)
        if isinstance(granted, directory.Target):
            self.count(request, admitted=1)
            self.send(request, key, self.targets[int(granted.name[1:])])
            return
        assert granted is not None
        name = granted.cause or granted.reason.value
        self.refusals[name] = self.refusals.get(name, 0) + 1
        self.refuse(request, granted, left)

    def refuse(
        self, request: Request, refusal: choosing.Refusal, left: float
    ) -> None:
        """Tells a caller when to come back."""
        if request.refusals == 0:
            self.count(request, refused_once=1)
        elif request.refusals == 1:
            self.count(request, refused_twice=1)
        back = returning.Return(refusal.retry_seconds, refusal.is_drawn)
        told = returning.told_ms(back, left, self.draws.random()) / 1000
        if request.refusals >= request.kind.retries:
            return
        if told > left / 3 and not self.case.follows_at_most:
            return
        again = request._replace(refusals=request.refusals + 1)
        self.at(
            self.now + min(told, left / 3) + 2 * LATENCY,
            lambda: self.ask(again),
        )

    def send(
        self, request: Request, key: permits.PermitKey, target: Target
    ) -> None:
        """Puts a request into a target's places or its queue."""
        start = functools.partial(self.start, request, key, target, self.now)
        if target.running < self.case.places:
            start()
        elif len(target.waiting) < QUEUE:
            target.waiting.append(start)
        else:
            self.swallowed += 1

    def start(
        self,
        request: Request,
        key: permits.PermitKey,
        target: Target,
        sent_at: float,
    ) -> None:
        """Starts the work on a request."""
        target.running += 1
        slowness = target.slowness(self.now)
        spread = self.work_chance.uniform(0.8, 1.2)
        seconds = request.kind.work * target.speed * slowness * spread
        self.count(request, waited=self.now - sent_at)
        self.at(
            self.now + seconds,
            functools.partial(self.finish, request, key, target, sent_at),
        )

    def finish(
        self,
        request: Request,
        key: permits.PermitKey,
        target: Target,
        sent_at: float,
    ) -> None:
        """Answers a request and starts the next one."""
        report = standing.Report(
            target.running, len(target.waiting), target.slowness(self.now)
        )
        target.running -= 1
        if target.waiting:
            target.waiting.pop(0)()
        finished = send_results.FinishedSend(
            send_results.SendResult.good, self.now - sent_at, report
        )
        self.ledger.end_permit(key, finished, self.now)
        kind = request.kind
        taken = self.now - request.began_at
        after = int(request.refusals > 0)
        if taken <= kind.aim:
            self.count(request, in_aim=1, worth=kind.worth, after_refusal=after)
        elif taken <= kind.deadline:
            self.count(request, late=1, worth=kind.late, after_refusal=after)

    def count(self, request: Request, **changes: float) -> None:
        """Adds to the tallies of a request's kind and failure domain."""
        if request.began_at < WARM_UP:
            return
        for name in (request.kind.name, f'domain {request.domain}', 'all'):
            tally = self.tallies.get(name, Tally())
            added = {
                field: getattr(tally, field) + amount
                for field, amount in changes.items()
            }
            self.tallies[name] = tally._replace(**added)


def table(case: Case, seed: int = 1) -> tuple[str, dict[str, Model]]:
    """Plays a case under both policies; returns a table and the plays."""
    plays = {
        policy: Model(case, policy, seed).play()
        for policy in ('first_come', 'by_worth')
    }
    lines = [
        f'{case.name}: per 100 requests; refused twice: also when it came back',
        f'{"":24}{"policy":12}{"count":>7}{"aim":>7}{"late":>7}{"once":>7}'
        f'{"twice":>7}{"worth":>7}{"wait ms":>9}{"admitted in aim":>17}',
    ]
    for name in sorted(plays['first_come'].tallies):
        for policy, play in plays.items():
            tally = play.tallies[name]
            hundred = 100 / max(tally.requests, 1)
            lines.append(
                f'{name:24}{policy:12}{tally.requests:7}'
                f'{tally.in_aim * hundred:7.1f}{tally.late * hundred:7.1f}'
                f'{tally.refused_once * hundred:7.1f}'
                f'{tally.refused_twice * hundred:7.1f}'
                f'{tally.worth_share * 100:7.1f}'
                f'{tally.waited / max(tally.admitted, 1) * 1000:9.0f}'
                f'{tally.punctual * 100:17.1f}'
            )
    for policy, play in plays.items():
        lines.append(
            f'{policy}: never answered {play.swallowed}, refusals {play.refusals}'
        )
    return '\n'.join(lines), plays
