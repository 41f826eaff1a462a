"""Runs the rollouts while this instance coordinates.

Steps are decided by `stepper`. A step that gives a new version more is stored
before it is told, so that a later coordinator continues from it; one that takes
it back is told at once.
"""

import asyncio
import typing
from collections import abc

import loguru
import result

from bilberryglade._knowledge import reading, topics
from bilberryglade._membership import candidacy, fleet
from bilberryglade._rollouts import (  # noqa: WPS235
    encoding,
    exposure,
    gathering,
    orders,
    phases,
    progress,
    records,
    refusals,
    reporting,
    stepper,
    versions,
)
from bilberryglade._targets import directory
from bilberryglade._values import clock, site
from bilberryglade.platform import store
from bilberryglade_schema import fleet as messages

TICK_SECONDS: typing.Final = 0.1
#: Seconds between two tellings while a rollout has not ended, and after that.
TELL_SECONDS: typing.Final = 0.5
TELL_ENDED_SECONDS: typing.Final = 2.0
#: Reports within which an instance must have told that nothing is at targets of
#: the old version.
FRESH_REPORTS: typing.Final = 3


class Manager:
    """Decides, stores and tells how far the rollouts are."""

    def __init__(
        self,
        lease: candidacy.Candidacy,
        client: store.StoreClient,
        own: exposure.Exposure,
        bounds: site.Bounds,
        old_owners: abc.Callable[[str, str], int],
    ) -> None:
        """`own` is what this instance itself uses.

        `old_owners` returns how many ranges of a service's keys are not yet at
        a version, or not yet granted there.
        """
        self.lease = lease
        self.exposure = own
        self.members: fleet.Fleet = own.members
        self.reader: reading.Reader = own.reader
        self.bounds = bounds
        self.old_owners = old_owners
        self.records = records.Records(lease, client)
        self.progress = progress.Progress(self.records)
        self.reporter = reporting.Reporter(lease, own, self.handle_counts)
        self.refusals = refusals.Refusals()
        self.gatherings: dict[str, gathering.Gathering] = {}
        #: Term in which the rollouts were taken over; -1 if that is due.
        self.term = -1
        #: Monotonic seconds at which all instances were told last.
        self.told_at: float = 0

    async def run(self) -> None:
        """Runs until cancelled, where versions are looked at."""
        while self.exposure.is_on:
            await asyncio.sleep(TICK_SECONDS)
            self.exposure.refresh()
            self.reporter.report_due()
            is_taken = self.term == self.lease.term
            if self.lease.holds and is_taken and not self.records.is_lost:
                self.tick(clock.now())
            elif self.lease.holds:
                await self._take_over()
            else:
                self._step_down()

    def handle_counts(self, message: messages.RolloutCounts) -> None:
        """Takes in what an instance counted."""
        rollout = self.progress.decided.get(message['service'])
        if rollout is not None and message['order'] == rollout.order:
            self.gatherings[rollout.service].take(
                encoding.from_counts(message, rollout.version, clock.now())
            )

    def tick(self, now: float) -> None:
        """Decides what is due, and has it stored and told."""
        before = self.progress.all_told()
        self._take_orders(now)
        for rollout in list(self.progress.decided.values()):
            after = rollout
            if rollout.phase not in phases.FINAL:
                after = self._step(rollout, now)
            sent = self.gatherings[rollout.service].sent
            self.progress.put(after, sent, now)
        after_all = self.progress.all_told()
        has_ended = all(
            rollout.phase in phases.FINAL for rollout in after_all.values()
        )
        pause = TELL_ENDED_SECONDS if has_ended else TELL_SECONDS
        is_due = now - self.told_at >= pause
        if after_all and (is_due or before != after_all):
            self.told_at = now
            message = self.stages(now)
            self.members.send_all(message)
            self.reporter.handle_stages(message)

    def stages(self, now: float) -> messages.RolloutStages:
        """Returns how far the rollouts are, as it is told."""
        return {
            'kind': 'rollout_stages',
            'sender': self.members.own.name,
            'term': self.lease.term,
            'stages': [
                encoding.to_stage(rollout, now)
                for rollout in self.progress.all_told().values()
            ],
        }

    def greet(self, name: str) -> None:
        """Tells a new instance how far the rollouts are."""
        if self.lease.holds and self.progress.decided:
            self.members.send(name, self.stages(clock.now()))

    def rewrite(self) -> None:
        """Has the records written again, to a store that has come back older."""
        self.records.is_lost = True

    def is_ready(self) -> bool:
        """Tells whether the rollouts of this term are known."""
        return self.term == self.lease.term

    def _step_down(self) -> None:
        if self.term >= 0:
            self.term = -1
            self.records.stop()
            self.progress.restart({})
            self.gatherings.clear()

    async def _take_over(self) -> None:
        """Continues from what earlier coordinators stored."""
        term = self.lease.term
        taken = await self.records.take_over()
        if isinstance(taken, result.Err) or term != self.lease.term:
            return
        now = clock.now()
        if self.term == term:
            # Nobody else has decided anything; the store may have gone back.
            sent = {name: one.sent for name, one in self.gatherings.items()}
            self.progress.rewrite(sent, now)
            return
        read = self._read_stages(taken.ok_value, now)
        self.progress.restart(read)
        for service, rollout in read.items():
            self.progress.decided[service] = self._with_own_knowledge(rollout)
        self._add_unwritten()
        self.term = term
        self.exposure.retell()
        loguru.logger.info(
            'rollouts taken over: term {}, {}', term, sorted(read)
        )

    def _read_stages(
        self, stages: abc.Mapping[str, messages.RolloutStage], now: float
    ) -> dict[str, stepper.Rollout]:
        """Returns the rollouts that the store holds, and keeps their counts."""
        read: dict[str, stepper.Rollout] = {}
        for service, stage in stages.items():
            decoded = encoding.from_stage(stage, now)
            if isinstance(decoded, result.Err):
                loguru.logger.error(
                    'rollout of {} not continued: {}',
                    service,
                    decoded.err_value,
                )
                continue
            read[service] = decoded.ok_value
            self.gatherings[service] = gathering.Gathering(
                decoded.ok_value.version, encoding.sent_in(stage)
            )
        return read

    def _with_own_knowledge(self, read: stepper.Rollout) -> stepper.Rollout:
        """Returns a stored rollout with what this instance knows of it.

        The record does not tell its age. A rollback is told before it is stored,
        and a store that has come back older has lost later steps.
        """
        told = self.exposure.told.get(read.service)
        order = self.reader.known.orders.get(read.service)
        if order is not None and _is_followed(order, read):
            read = read._replace(began_at=min(read.began_at, order.read_at))
        if told is None or told.rollout.order != read.order:
            return read
        began_at = min(read.began_at, told.rollout.began_at)
        if phases.is_beyond(told.rollout.phase, read.phase):
            return told.rollout._replace(began_at=began_at)
        return read._replace(began_at=began_at)

    def _add_unwritten(self) -> None:
        """Adds rollouts that were told of here and that the store has lost."""
        for service, order in self.reader.known.orders.items():
            told = self.exposure.told.get(service)
            if told is None or service in self.progress.decided:
                continue
            if _is_followed(order, told.rollout):
                self.progress.decided[service] = told.rollout
                self.gatherings[service] = gathering.Gathering(
                    order.version, {}
                )

    def _take_orders(self, now: float) -> None:
        """Begins the rollouts of new orders, and forgets withdrawn ones."""
        known = self.reader.known
        if topics.OPERATOR not in known.read_at:
            return
        for order in known.orders.values():
            rollout = self.progress.decided.get(order.service)
            if rollout is None or not _is_followed(order, rollout):
                self._take_order(order, rollout, now)
        for rollout in list(self.progress.decided.values()):
            is_withdrawn = rollout.service not in known.orders
            if is_withdrawn and rollout.phase in phases.FINAL:
                self.progress.forget(rollout.service)
                self.gatherings.pop(rollout.service)

    def _take_order(
        self, order: orders.Order, before: stepper.Rollout | None, now: float
    ) -> None:
        """Begins the rollout of an order, if it can be followed now."""
        service = order.service
        if service not in self.exposure.listed:
            is_known = self.reader.known.service(service) is not None
            self.refusals.note(
                order, 'service without targets' if is_known else 'no service'
            )
            return
        base = self.exposure.base_of(service)
        if before is not None and before.phase not in phases.FINAL:
            self.refusals.note(order, 'ordered while another one runs')
            if before.phase in phases.SETTLED:
                return
            base = before.base
        loguru.logger.info(
            'rollout of {} from {!r} to {!r} within {:g} s',
            service,
            base,
            order.version,
            order.seconds,
        )
        self.gatherings[service] = gathering.Gathering(order.version, {})
        self.progress.put(_begun(order, base, now), {}, now)

    def _step(self, rollout: stepper.Rollout, now: float) -> stepper.Rollout:
        """Returns a rollout after what is due."""
        facts = self._facts(rollout, now)
        after = stepper.step(rollout, facts, self.bounds, now)
        if progress.is_step(rollout, after):
            _tell_step(rollout, after, facts)
        order = self.reader.known.orders.get(rollout.service)
        passed = (now - rollout.began_at) / rollout.seconds
        is_late = passed > stepper.LEAST_OPEN_PART
        if order is not None and is_late and not facts.has_targets:
            self.refusals.note(order, 'no target runs the version')
        return after

    def _facts(self, rollout: stepper.Rollout, now: float) -> stepper.Facts:
        gathered = self.gatherings[rollout.service]
        targets = self._new_targets(rollout)
        offered = len(versions.exposed(targets, rollout))
        sent = gathered.totals()
        return stepper.Facts(
            judged=gathered.judge(now, offered),
            sent=sent.all_versions,
            sent_new=sent.new_version,
            is_stored=self.progress.is_stored(rollout.service),
            has_targets=bool(targets),
            is_empty=not self._waiting_for(rollout, now),
            is_ordered=rollout.service in self.reader.known.orders
            or topics.OPERATOR not in self.reader.known.read_at,
            is_told_bad=gathered.is_rolled_back(),
        )

    def _new_targets(self, rollout: stepper.Rollout) -> list[directory.Target]:
        """Returns the listed targets of the new version that stay."""
        known = self.reader.known
        return [
            target
            for target in known.directory.targets.values()
            if target.service == rollout.service
            and target.version == rollout.version
            and not target.is_draining
            and not known.is_out(target.failure_domain)
        ]

    def _waiting_for(self, rollout: stepper.Rollout, now: float) -> list[str]:
        """Returns what still keeps the old version in use."""
        if rollout.share < 1:
            return [rollout.phase.value]
        own = self.members.own.name
        live = [
            name
            for name in self.members.members
            if name == own
            or self.members.silence_of(name) < self.exposure.lapse_seconds
        ]
        fresh = now - FRESH_REPORTS * self.reporter.pause
        waiting = self.gatherings[rollout.service].waiting_for(
            rollout.phase, live, max(rollout.stepped_at, fresh)
        )
        if self.old_owners(rollout.service, rollout.version):
            waiting.append('keys')
        return waiting


def _begun(order: orders.Order, base: str, now: float) -> stepper.Rollout:
    """Returns the rollout of an order; nothing is to be done for `base`."""
    rollout = stepper.Rollout(
        order=order.offset,
        service=order.service,
        base=base,
        version=order.version,
        seconds=order.seconds,
        began_at=order.read_at,
        stepped_at=now,
    )
    if base != order.version:
        return rollout
    return rollout._replace(
        phase=phases.Phase.completed, share=stepper.ALL_SHARE
    )


def _is_followed(order: orders.Order, rollout: stepper.Rollout) -> bool:
    """Tells whether a rollout follows an order, or a repeat of it."""
    seconds = round(order.seconds - rollout.seconds, 2)
    return order.version == rollout.version and not seconds


def _tell_step(
    before: stepper.Rollout, after: stepper.Rollout, facts: stepper.Facts
) -> None:
    loguru.logger.info(
        'rollout of {} to {!r}: {} share {:g}, before {} share {:g}, '
        '{} of {} requests sent to it: {}',
        after.service,
        after.version,
        after.phase.value,
        after.share,
        before.phase.value,
        before.share,
        facts.sent_new,
        facts.sent,
        after.cause,
    )
