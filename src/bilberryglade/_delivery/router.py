"""Routes a caller's request, from its arrival to its outcome.

Admission, choice of targets and retry budgets are decided by pure functions of
other modules. This module calls them in order and performs what they decide.
"""

import asyncio
import random
import typing
from collections import abc

from bilberryglade._admission import gate, jobs, returning
from bilberryglade._delivery import (
    crash_records,
    last_calls,
    permit_broker,
    request_sender,
    retry_budget,
    send_results,
    wait_estimator,
)
from bilberryglade._knowledge import reading
from bilberryglade._limits import desks
from bilberryglade._ownership import owners, table_manager
from bilberryglade._routing import admission, catalogue, splitting
from bilberryglade._targets import choosing, directory
from bilberryglade._values import clock, outcomes, site

#: Longest wait for a key that is being moved to a new owner.
MAX_OWNER_WAIT_SECONDS: typing.Final = 0.3
#: Interval of the checks for the new owner of a key.
OWNER_POLL_SECONDS: typing.Final = 0.02
#: A request with less time left than this is not sent to a target.
MIN_SEND_SECONDS: typing.Final = 0.03
#: Share of the remaining time that a target gets if the request can still be
#: retried at another target.
FIRST_SEND_SHARE: typing.Final = 0.6
#: Longest random delay of requests that waited until a target takes some again.
HOLD_SPREAD_SECONDS: typing.Final = 0.05


NOT_OWNER: typing.Final = outcomes.NotRun(outcomes.Reason.not_owner)


class TargetOutcome(typing.NamedTuple):
    """What became of a request by one send of it."""

    #: Name of the target.
    target: str
    outcome: outcomes.Outcome


class DeliveryResult(typing.NamedTuple):
    """What became of a request, and how it was routed."""

    #: What this instance itself decided; stands if nothing was sent.
    own: outcomes.Outcome
    route: str = ''
    service: str = ''
    organisation: str = ''
    #: In order.
    sends: tuple[TargetOutcome, ...] = ()
    #: Target that owns the request's key but cannot be used now; else empty.
    owner: str = ''
    #: Milliseconds after which the caller may retry; 0 if unknown.
    retry_after_ms: int = 0
    #: Seconds that the caller had waited on earlier, refused requests; estimated.
    waited_seconds: float = 0
    #: Why the admission policy refused; empty if the reason says it all.
    cause: str = ''

    @property
    def outcome(self) -> outcomes.Outcome:
        """What the caller is told: it follows from all sends together."""
        return outcomes.after_all(
            [send.outcome for send in self.sends], self.own
        )

    @property
    def targets(self) -> tuple[str, ...]:
        """Names of the targets to which the request was sent, in order."""
        return tuple(send.target for send in self.sends)


class ChosenTarget(typing.NamedTuple):
    """The target chosen for a request, and the permit to send it there."""

    target: directory.Target
    #: None if the dispatcher gave no answer and this instance chose alone.
    permit: permit_broker.GrantedPermit | None = None


class Router:
    """Routes callers' requests to targets."""

    def __init__(
        self,
        own_site: site.Site,
        reader: reading.Reader,
        manager: table_manager.TableManager,
        quotas: desks.Desks,
        sender: request_sender.RequestSender,
        instance_count: abc.Callable[[], int],
        crashes: crash_records.CrashRecords,
    ) -> None:
        """`instance_count` returns how many instances share the budgets."""
        self.own_site = own_site
        self.reader = reader
        self.table_manager = manager
        self.quotas = quotas
        self.sender = sender
        self.broker = sender.broker
        #: Decides alone for requests whose dispatcher gives no answer.
        self.gate = gate.for_contracts(own_site.contracts)
        self.wait_estimator = wait_estimator.WaitEstimator()
        self.instance_count = instance_count
        self.versions = sender.versions
        self.crashes = crashes
        #: By route: how far each service is behind its share of the requests.
        self.turns: dict[str, splitting.Turns] = {}
        #: By service.
        self.retry_budgets: dict[str, retry_budget.RetryBudget] = {}
        #: Random start of the split of each route, so that instances with few
        #: requests each do not all begin with the same service.
        self.split_offset = random.random()
        self.started_at = clock.now()
        #: Monotonic seconds at which a planned stop ends every request.
        self.ends_at = float('inf')
        #: Called once for each request with a key: its service and the key.
        self.count_key: abc.Callable[[str, int], None] = lambda *_: None

    async def serve(self, request: admission.Incoming) -> DeliveryResult:
        """Admits and delivers a request; returns its outcome and route."""
        admitted = admission.admit(self.reader.known.catalogue, request)
        if isinstance(admitted, outcomes.NotRun):
            return DeliveryResult(
                admitted, retry_after_ms=admitted.retry_after_ms
            )
        organisation = (
            admitted.organisation.name if admitted.organisation else ''
        )
        delivery = DeliveryResult(
            outcomes.NotRun(outcomes.Reason.over_rate),
            route=admitted.route.name,
            organisation=organisation,
        )
        earlier_wait = self._earlier_wait(request, admitted.route)
        delivery = delivery._replace(waited_seconds=earlier_wait)
        if not last_calls.can_finish(
            jobs.longest_seconds(request, admitted.route),
            self.ends_at - request.arrived_at,
        ):
            refused = outcomes.NotRun(outcomes.Reason.stopping)
            back = returning.Return(last_calls.RETRY_SECONDS)
            return with_return(request, delivery._replace(own=refused), back)
        quota_wait = None
        if self.crashes.is_quarantined(request):
            refused = outcomes.NotRun(outcomes.Reason.quarantined)
            return delivery._replace(own=refused)
        if admitted.organisation is not None:
            quota_wait = await self.quotas.admit(
                admitted.organisation,
                is_late=earlier_wait >= admitted.route.aim,
            )
        if quota_wait is not None:
            return with_return(request, delivery, returning.Return(quota_wait))
        job = self._start_job(request, admitted, earlier_wait)
        delivery = delivery._replace(service=job.service)
        delivery = await self._deliver(job, delivery)
        if not delivery.targets and organisation:
            self.quotas.give_back(organisation)
        return delivery

    def _earlier_wait(
        self,
        request: admission.Incoming,
        route: catalogue.Route,
    ) -> float:
        if request.patience is None:
            return 0
        return self.wait_estimator.record_and_estimate(
            route.name, request.patience
        )

    def _start_job(
        self,
        request: admission.Incoming,
        admitted: admission.Admitted,
        earlier_wait: float,
    ) -> jobs.Job:
        route = admitted.route
        turns = self.turns.get(route.name)
        if turns is None or turns.parts != route.parts:
            turns = splitting.start(route, self.split_offset)
        split = splitting.choose(turns)
        self.turns[route.name] = split.turns
        service = split.service
        self.retry_budgets[service] = retry_budget.after_request(
            self.retry_budgets.get(service, retry_budget.RetryBudget()),
            self.own_site.bounds,
            self.instance_count(),
            clock.now() - self.started_at,
        )
        return jobs.Job(
            request=request,
            admitted=admitted,
            service=service,
            deadline=request.arrived_at + jobs.longest_seconds(request, route),
            aim_until=request.arrived_at + route.aim - earlier_wait,
            waited_seconds=earlier_wait,
        )

    async def _deliver(
        self, job: jobs.Job, delivery: DeliveryResult
    ) -> DeliveryResult:
        """Sends a request to targets until it is answered or may not be retried.

        Retries are limited by the route's attempts, the deadline, the service's
        retry budget and whether the request may run twice.
        """
        denied_tables = owners.Tables()
        while True:
            chosen = await self._choose(job, delivery, denied_tables)
            if isinstance(chosen, choosing.Refusal):
                return self._without_target(job, delivery, chosen)
            if delivery.targets and not self._take_retry(job.service):
                self._return_permit(chosen.permit)
                return with_short_return(job, delivery)
            tables_at_send = self.table_manager.tables
            outcome = await self.sender.send(
                job.request,
                job.admitted,
                chosen.target,
                self._send_timeout(job, delivery),
                chosen.permit,
            )
            sent = TargetOutcome(chosen.target.name, outcome)
            delivery = delivery._replace(sends=(*delivery.sends, sent))
            if not may_retry(job, delivery):
                return with_short_return(job, delivery)
            if outcome == NOT_OWNER:
                denied_tables = tables_at_send

    def _without_target(
        self,
        job: jobs.Job,
        delivery: DeliveryResult,
        refusal: choosing.Refusal,
    ) -> DeliveryResult:
        """Returns the result for a request that no target can take now."""
        delivery = delivery._replace(
            owner=refusal.owner,
            own=outcomes.NotRun(refusal.reason),
            cause=refusal.cause,
        )
        if not isinstance(delivery.outcome, outcomes.NotRun):
            return delivery
        back = returning.Return(refusal.retry_seconds, refusal.is_drawn)
        return with_return(job.request, delivery, back)

    def _send_timeout(self, job: jobs.Job, delivery: DeliveryResult) -> float:
        """Returns the seconds that a target may take to answer.

        This is all the remaining time, unless a retry at another target is
        possible: then a part is reserved for the retry.
        """
        time_left = job.deadline - clock.now()
        route = job.admitted.route
        is_last = len(delivery.targets) + 1 >= route.attempts
        service = self.reader.known.service(job.service)
        has_others = service is not None and not service.is_partitioned
        may_retry = route.repeatable and has_others and not is_last
        if may_retry and retry_budget.after_retry(
            self.retry_budgets[job.service]
        ):
            return time_left * FIRST_SEND_SHARE
        return time_left

    def _take_retry(self, service: str) -> bool:
        reduced = retry_budget.after_retry(self.retry_budgets[service])
        if reduced is None:
            return False
        self.retry_budgets[service] = reduced
        return True

    async def _choose(
        self,
        job: jobs.Job,
        delivery: DeliveryResult,
        denied_tables: owners.Tables,
    ) -> ChosenTarget | choosing.Refusal:
        service = self.reader.known.service(job.service)
        is_partitioned = service is not None and service.is_partitioned
        key = job.request.routing_key
        if is_partitioned and key is not None and not delivery.targets:
            self.count_key(job.service, key)
        while True:
            if is_partitioned:
                chosen = await self._choose_owner(job, denied_tables)
            else:
                chosen = await self._choose_version(job, delivery)
            if not isinstance(chosen, choosing.Refusal):
                return chosen
            if not choosing.is_worth_waiting(
                chosen, job.aim_until - clock.now()
            ):
                return chosen
            await asyncio.sleep(
                chosen.retry_seconds + random.random() * HOLD_SPREAD_SECONDS
            )

    async def _choose_version(
        self, job: jobs.Job, delivery: DeliveryResult
    ) -> ChosenTarget | choosing.Refusal:
        """Returns a target of the version whose turn it is.

        While a version is on trial, the one in use stands in for it.
        """
        tried = frozenset(delivery.targets)
        version = self.versions.version_for(job.service, is_repeat=bool(tried))
        while True:
            chosen = await self._choose_permitted(
                job._replace(version=version),
                self.versions.targets(job.service, version),
                tried,
                None,
            )
            if isinstance(chosen, choosing.Refusal):
                version = self.versions.instead_of(job.service, version)
                if not version:
                    return chosen
            elif self.versions.is_closed(chosen.target):
                self._return_permit(chosen.permit)
                return choosing.Refusal(
                    outcomes.Reason.held_off, OWNER_POLL_SECONDS
                )
            else:
                return chosen

    async def _choose_owner(
        self, job: jobs.Job, denied_tables: owners.Tables
    ) -> ChosenTarget | choosing.Refusal:
        """Returns the owner of the request's key, or why it cannot serve it.

        Only the owner of a key can serve it, so a retry may go to a target that
        was tried before.
        """
        owner = await self._wait_for_owner(job, denied_tables)
        if isinstance(owner, choosing.Refusal):
            return owner
        chosen = await self._choose_permitted(job, [owner], frozenset(), owner)
        if isinstance(chosen, choosing.Refusal):
            return chosen._replace(owner=owner.name)
        return chosen

    async def _choose_permitted(
        self,
        job: jobs.Job,
        targets: abc.Sequence[directory.Target],
        tried: frozenset[str],
        owner: directory.Target | None,
    ) -> ChosenTarget | choosing.Refusal:
        """Returns the target for which the dispatcher grants a permit.

        Targets that this instance cannot use, e.g. after failures on its own
        path to them, are excluded first. If the dispatcher gives no answer,
        or a target that is not among `targets`, this instance chooses alone.
        """
        now = clock.now()
        domain = self.own_site.failure_domain
        demand = jobs.demand_of(job, domain, tried, now)
        if demand.time_left < MIN_SEND_SECONDS:
            return choosing.Refusal(outcomes.Reason.deadline, 0)
        views = [self.sender.view(target) for target in targets]
        excluded = choosing.excluded(views, demand, now)
        if len(excluded) == len(views):
            return choosing.refuse(views, now)
        broker_demand = demand._replace(tried=excluded)
        answer = await self.broker.request_permit(
            job.service, owner, broker_demand
        )
        if isinstance(answer, choosing.Refusal):
            return answer
        for target in targets:
            if answer and answer.incarnation == directory.life_of(target):
                return self._recheck(ChosenTarget(target, answer), demand)
        self._return_permit(answer)
        now = clock.now()
        demand = jobs.demand_of(job, domain, tried, now)
        views = [self.sender.view(target) for target in targets]
        pool = gate.Pool(job.service, owner.name if owner else '')
        chosen = self.gate.decide(pool, views, demand, now)
        if isinstance(chosen, choosing.Refusal):
            return chosen
        return ChosenTarget(chosen.target)

    def _recheck(
        self,
        chosen: ChosenTarget,
        demand: choosing.Demand,
    ) -> ChosenTarget | choosing.Refusal:
        """Returns `chosen`, or a refusal if its target is no longer usable.

        The view of the target may change while the permit is requested.
        """
        view = self.sender.view(chosen.target)
        if chosen.target.name in choosing.excluded([view], demand, clock.now()):
            self._return_permit(chosen.permit)
            return choosing.refuse([view], clock.now())
        return chosen

    def _return_permit(
        self, permit: permit_broker.GrantedPermit | None
    ) -> None:
        if permit is not None:
            abandoned = send_results.FinishedSend(
                send_results.SendResult.abandoned
            )
            self.broker.end_permit(permit, abandoned)

    async def _wait_for_owner(
        self,
        job: jobs.Job,
        denied_tables: owners.Tables,
    ) -> directory.Target | choosing.Refusal:
        """Returns the owner of the request's key.

        While the key is being moved, waits up to `MAX_OWNER_WAIT_SECONDS`.
        `denied_tables` are the tables by which the request was last sent to a
        target that does not own the key; only newer ones are used.
        """
        key = job.request.routing_key
        if key is None:
            return choosing.Refusal(outcomes.Reason.key_missing, 0)
        wait_until = min(clock.now() + MAX_OWNER_WAIT_SECONDS, job.deadline)
        while True:
            tables = self.table_manager.tables
            owned = owners.find(tables, job.service, key)
            target = None if owned is None else self._usable_target(owned)
            is_granted = owned is not None and not owned.is_moving
            if target and is_granted and owners.is_newer(tables, denied_tables):
                return target
            if clock.now() >= wait_until:
                return choosing.Refusal(
                    outcomes.Reason.keys_moving, OWNER_POLL_SECONDS * 10
                )
            await asyncio.sleep(OWNER_POLL_SECONDS)

    def _usable_target(
        self, owned: owners.OwnedRange
    ) -> directory.Target | None:
        known = self.reader.known
        target = known.directory.targets.get(owned.entry.owner.target)
        if target is None or target.born != owned.entry.owner.born:
            return None
        if known.is_out(target.failure_domain) or not known.allows(target):
            return None
        if target.is_draining and target.used_until <= clock.now():
            return None
        return target


def with_return(
    request: admission.Incoming,
    delivery: DeliveryResult,
    back: returning.Return,
) -> DeliveryResult:
    """Returns `delivery` with a time after which the caller may retry."""
    left = jobs.time_left(request, clock.now())
    told = returning.told_ms(back, left, random.random())
    return delivery._replace(retry_after_ms=told)


def with_short_return(
    job: jobs.Job, delivery: DeliveryResult
) -> DeliveryResult:
    """Returns a `delivery` that was not run with a short time to retry."""
    if not isinstance(delivery.outcome, outcomes.NotRun):
        return delivery
    back = returning.Return(choosing.LEAST_RETRY_SECONDS * 2)
    return with_return(job.request, delivery, back)


def may_retry(job: jobs.Job, delivery: DeliveryResult) -> bool:
    """Returns whether a request may be sent once more.

    A request that may have run is retried only if its route is repeatable.
    """
    route = job.admitted.route
    if len(delivery.targets) >= route.attempts:
        return False
    if job.deadline - clock.now() < MIN_SEND_SECONDS:
        return False
    if job.request.progress.has_left():
        return False
    if isinstance(delivery.outcome, outcomes.NotRun):
        return True
    if not route.repeatable:
        return False
    if isinstance(delivery.outcome, outcomes.Unknown):
        return True
    return delivery.outcome.status >= send_results.MIN_ERROR_STATUS
