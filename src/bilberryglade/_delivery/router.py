"""Takes a request from its arrival to what became of it.

Everything that decides is a function of what is known; this module only puts
the decisions in order and performs them.
"""

import asyncio
import random
import typing
from collections import abc

from bilberryglade._delivery import (
    budget,
    crash_records,
    dispatching,
    endings,
    lateness,
    sends,
)
from bilberryglade._knowledge import reading
from bilberryglade._limits import desks
from bilberryglade._ownership import owners, table_manager
from bilberryglade._routing import admission, catalogue, splitting
from bilberryglade._targets import choosing, directory
from bilberryglade._values import clock, outcomes, site

#: Longest wait for keys that are being handed to their new owner.
MOVING_SECONDS: typing.Final = 0.3
LOOK_SECONDS: typing.Final = 0.02
#: Shortest time in which it is worth sending a request to a target.
LEAST_SECONDS: typing.Final = 0.03
#: Part of the time left that a first send of a repeatable request may take.
FIRST_SEND_PART: typing.Final = 0.6
#: Refusals spread callers' returns by up to this part.
SPREAD_PART: typing.Final = 0.5
#: Largest part of the time left that a refused caller is told to wait.
RETURN_PART: typing.Final = 0.3


NOT_OWNER: typing.Final = outcomes.NotRun(outcomes.Reason.not_owner)


class Delivered(typing.NamedTuple):
    """What became of a request, and what decided it."""

    outcome: outcomes.Outcome
    route: str = ''
    service: str = ''
    organisation: str = ''
    #: Targets to which it was sent, in order.
    targets: tuple[str, ...] = ()
    #: The owner that could not take it; empty without keys.
    owner: str = ''
    #: Milliseconds after which the caller may come back; 0 if unknown.
    retry_after_ms: int = 0
    #: Seconds that the caller had waited before, as an earlier request.
    waited: float = 0


class Chosen(typing.NamedTuple):
    """A target for a request, and the permit of its dispatcher."""

    target: directory.Target
    #: None if no dispatcher could say.
    permitted: dispatching.Permitted | None = None


class Job(typing.NamedTuple):
    """An admitted request on its way."""

    request: admission.Incoming
    admitted: admission.Admitted
    service: str
    #: Seconds at which the caller or the route gives up.
    deadline: float
    #: Seconds until which an answer has its full value.
    aim_until: float


class Router:
    """Routes requests of callers to targets."""

    def __init__(
        self,
        place: site.Site,
        reader: reading.Reader,
        keeper: table_manager.TableManager,
        quotas: desks.Desks,
        sending: sends.Sends,
        instances: abc.Callable[[], int],
        crashes: crash_records.CrashRecords,
    ) -> None:
        """Reads what is known from the parts given."""
        self.place = place
        self.reader = reader
        self.keeper = keeper
        self.quotas = quotas
        self.sending = sending
        self.permits = sending.permits
        self.patiences = lateness.Patiences()
        self.instances = instances
        self.crashes = crashes
        self.turns: dict[str, splitting.Turns] = {}
        self.budgets: dict[str, budget.Budget] = {}
        self.offset = random.random()
        #: Called with the service and the key of each request.
        self.count_key: abc.Callable[[str, int], None] = lambda *_: None

    async def serve(self, request: admission.Incoming) -> Delivered:
        """Runs a request and returns what became of it."""
        admitted = admission.admit(self.reader.known.catalogue, request)
        if isinstance(admitted, outcomes.NotRun):
            return Delivered(admitted, retry_after_ms=admitted.retry_after_ms)
        name = admitted.organisation.name if admitted.organisation else ''
        delivered = Delivered(
            outcomes.NotRun(outcomes.Reason.over_rate),
            route=admitted.route.name,
            organisation=name,
        )
        waited = self._waited(request, admitted.route)
        delivered = delivered._replace(waited=waited)
        wait = None
        if self.crashes.is_quarantined(request):
            refused = outcomes.NotRun(outcomes.Reason.quarantined)
            return delivered._replace(outcome=refused)
        if admitted.organisation is not None:
            wait = await self.quotas.admit(
                admitted.organisation,
                is_late=waited >= admitted.route.aim,
            )
        if wait is not None:
            return self._refused(request, delivered, wait)
        job = self._job(request, admitted, waited)
        delivered = delivered._replace(service=job.service)
        delivered = await self._deliver(job, delivered)
        if not delivered.targets and name:
            self.quotas.give_back(name)
        return delivered

    def _waited(
        self,
        request: admission.Incoming,
        route: catalogue.Route,
    ) -> float:
        if request.patience is None:
            return 0
        return self.patiences.waited(route.name, request.patience)

    def _job(
        self,
        request: admission.Incoming,
        admitted: admission.Admitted,
        waited: float,
    ) -> Job:
        route = admitted.route
        turns = self.turns.get(route.name)
        if turns is None or turns.parts != route.parts:
            turns = splitting.start(route, self.offset)
        chosen = splitting.choose(turns)
        self.turns[route.name] = chosen.turns
        service = chosen.service
        patience = route.timeout
        if request.patience is not None:
            patience = min(patience, request.patience)
        known = self.budgets.get(service) or budget.start(
            self.place.bounds, self.instances()
        )
        self.budgets[service] = budget.counted(
            known, self.place.bounds, self.instances()
        )
        return Job(
            request=request,
            admitted=admitted,
            service=service,
            deadline=request.arrived_at + patience,
            aim_until=request.arrived_at + route.aim - waited,
        )

    async def _deliver(self, job: Job, delivered: Delivered) -> Delivered:
        """Sends a request until it is answered or may not be sent again."""
        outcome: outcomes.Outcome
        denied = owners.Tables()
        while True:
            chosen = await self._choose(job, delivered, denied)
            if isinstance(chosen, choosing.Refusal):
                return self._left(job, delivered, chosen)
            if delivered.targets and not self._spend(job.service):
                self._give_back(chosen.permitted)
                return self._with_return(job, delivered)
            asked_on = self.keeper.tables
            outcome = await self.sending.send(
                job.request,
                job.admitted,
                chosen.target,
                self._seconds(job, delivered),
                chosen.permitted,
            )
            delivered = delivered._replace(
                outcome=outcome,
                targets=(*delivered.targets, chosen.target.name),
            )
            if not may_repeat(job, delivered):
                return self._with_return(job, delivered)
            if outcome == NOT_OWNER:
                denied = asked_on

    def _left(
        self,
        job: Job,
        delivered: Delivered,
        refusal: choosing.Refusal,
    ) -> Delivered:
        """Returns what became of a request that no target can have now."""
        delivered = delivered._replace(owner=refusal.owner)
        if not delivered.targets:
            refused = outcomes.NotRun(refusal.reason)
            delivered = delivered._replace(outcome=refused)
        if isinstance(delivered.outcome, outcomes.NotRun):
            return self._refused(job.request, delivered, refusal.retry_seconds)
        return delivered

    def _seconds(self, job: Job, delivered: Delivered) -> float:
        """Returns how long a target has, which is all the time there is.

        Only where another target can take over is some of it kept back.
        """
        left = job.deadline - clock.now()
        route = job.admitted.route
        is_last = len(delivered.targets) + 1 >= route.attempts
        service = self.reader.known.service(job.service)
        has_others = service is not None and not service.is_partitioned
        may_repeat = route.repeatable and has_others and not is_last
        if may_repeat and budget.spent(self.budgets[job.service]):
            return left * FIRST_SEND_PART
        return left

    def _spend(self, service: str) -> bool:
        left = budget.spent(self.budgets[service])
        if left is None:
            return False
        self.budgets[service] = left
        return True

    async def _choose(
        self,
        job: Job,
        delivered: Delivered,
        denied: owners.Tables,
    ) -> Chosen | choosing.Refusal:
        service = self.reader.known.service(job.service)
        if service is None or not service.is_partitioned:
            targets = self.reader.known.in_use(job.service)
            tried = frozenset(delivered.targets)
            return await self._permitted(job, targets, tried, None)
        # The owner of a key is the only one that may be tried again.
        key = job.request.routing_key
        if key is not None and not delivered.targets:
            self.count_key(job.service, key)
        owner = await self._owner(job, denied)
        if isinstance(owner, choosing.Refusal):
            return owner
        chosen = await self._permitted(job, [owner], frozenset(), owner)
        if isinstance(chosen, choosing.Refusal):
            return chosen._replace(owner=owner.name)
        return chosen

    async def _permitted(
        self,
        job: Job,
        targets: abc.Sequence[directory.Target],
        tried: frozenset[str],
        owner: directory.Target | None,
    ) -> Chosen | choosing.Refusal:
        """Returns the target that a dispatcher allows.

        What this instance knows of its own paths to targets goes first; it
        decides alone if no dispatcher can say.
        """
        now = clock.now()
        demand = self._demand(job, now, tried)
        if demand.time_left < LEAST_SECONDS:
            return choosing.Refusal(outcomes.Reason.deadline, 0)
        views = [self.sending.view(target) for target in targets]
        out = choosing.excluded(views, demand, now)
        if len(out) == len(views):
            return choosing.refuse(views, now)
        asked = demand._replace(tried=out)
        answer = await self.permits.ask(job.service, owner, asked)
        if isinstance(answer, choosing.Refusal):
            return answer
        for target in targets:
            if answer and answer.life == directory.life_of(target):
                return self._checked(Chosen(target, answer), demand)
        self._give_back(answer)
        alone = self._demand(job, clock.now(), tried)
        views = [self.sending.view(target) for target in targets]
        chosen = choosing.choose(views, alone, clock.now())
        if isinstance(chosen, choosing.Refusal):
            return chosen
        return Chosen(chosen.target)

    def _checked(
        self,
        chosen: Chosen,
        demand: choosing.Demand,
    ) -> Chosen | choosing.Refusal:
        """Looks again at a target that may have changed during the ask."""
        view = self.sending.view(chosen.target)
        if chosen.target.name in choosing.excluded([view], demand, clock.now()):
            self._give_back(chosen.permitted)
            return choosing.refuse([view], clock.now())
        return chosen

    def _demand(
        self,
        job: Job,
        now: float,
        tried: frozenset[str],
    ) -> choosing.Demand:
        return choosing.Demand(
            failure_domain=self.place.failure_domain,
            aim_left=job.aim_until - now,
            time_left=job.deadline - now,
            tried=tried,
        )

    def _give_back(self, permitted: dispatching.Permitted | None) -> None:
        if permitted is not None:
            abandoned = endings.Ended(endings.Ending.abandoned)
            self.permits.end(permitted, abandoned)

    async def _owner(
        self,
        job: Job,
        denied: owners.Tables,
    ) -> directory.Target | choosing.Refusal:
        """Waits shortly for the owner of a key that is being moved.

        `denied` are tables on which a target has just said that it does not
        own the key; newer ones are waited for.
        """
        key = job.request.routing_key
        if key is None:
            return choosing.Refusal(outcomes.Reason.key_missing, 0)
        until = min(clock.now() + MOVING_SECONDS, job.deadline)
        while True:
            tables = self.keeper.tables
            owned = owners.find(tables, job.service, key)
            target = None if owned is None else self._target(owned)
            is_known = owned is not None and not owned.is_moving
            if target and is_known and owners.is_newer(tables, denied):
                return target
            if clock.now() >= until:
                return choosing.Refusal(
                    outcomes.Reason.keys_moving, LOOK_SECONDS * 10
                )
            await asyncio.sleep(LOOK_SECONDS)

    def _target(self, owned: owners.OwnedRange) -> directory.Target | None:
        known = self.reader.known
        target = known.directory.targets.get(owned.entry.owner.target)
        if target is None or target.born != owned.entry.owner.born:
            return None
        if target.is_draining or known.is_out(target.failure_domain):
            return None
        return target

    def _refused(
        self,
        request: admission.Incoming,
        delivered: Delivered,
        seconds: float,
    ) -> Delivered:
        """Tells when to come back, spread so that callers do not meet."""
        spread = seconds * (1 + random.random() * SPREAD_PART)
        if request.patience is not None:
            waited = clock.now() - request.arrived_at
            spread = min(spread, (request.patience - waited) * RETURN_PART)
        return delivered._replace(
            retry_after_ms=max(int(spread * 1000), 1),
        )

    def _with_return(self, job: Job, delivered: Delivered) -> Delivered:
        if not isinstance(delivered.outcome, outcomes.NotRun):
            return delivered
        return self._refused(
            job.request, delivered, choosing.LEAST_RETRY_SECONDS * 2
        )


def may_repeat(job: Job, delivered: Delivered) -> bool:
    """Tells whether a request may be sent once more.

    What may have run is sent again only if it may run twice.
    """
    route = job.admitted.route
    if len(delivered.targets) >= route.attempts:
        return False
    if job.deadline - clock.now() < LEAST_SECONDS:
        return False
    if isinstance(delivered.outcome, outcomes.NotRun):
        return True
    if not route.repeatable:
        return False
    if isinstance(delivered.outcome, outcomes.Unknown):
        return True
    return delivered.outcome.status >= endings.FAILED_STATUS
