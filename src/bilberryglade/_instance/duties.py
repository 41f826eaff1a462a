"""Periodic duties of the roles that an instance holds."""

import asyncio
import contextlib
import time
import typing
from collections import abc

import result

from bilberryglade._listing import list_client
from bilberryglade._log import recorder
from bilberryglade._membership import endings, expulsion
from bilberryglade._ownership import activation, holdings_tracker, probes
from bilberryglade._routing import placement, roles
from bilberryglade._state import folding, state
from bilberryglade._values import steps
from bilberryglade_schema import platform, records

INTERVAL_SECONDS: typing.Final = 0.2
TARGET_SECONDS: typing.Final = 0.05
COMMIT_SECONDS: typing.Final = 2.0
#: Time for which a new service's targets must be the same.
FIRST_SECONDS: typing.Final = 0.6
#: Least time between two steps in which slots in service move.
STEP_SECONDS: typing.Final = 0.5
MAX_ENDS: typing.Final = 64
REGISTER: typing.Final = steps.declare(
    'ownership.append_target',
    steps.StepKind.append,
)
ASSIGN: typing.Final = steps.declare(
    'ownership.append_assignment',
    steps.StepKind.append,
)
SETTLE: typing.Final = steps.declare(
    'ownership.append_ended',
    steps.StepKind.append,
)


class Usable(typing.NamedTuple):
    """Targets that take work, and since when it has been these."""

    targets: tuple[str, ...]
    #: Monotonic seconds.
    since: float


class Duties:
    """What an instance writes to the log for the roles that it holds."""

    def __init__(
        self,
        failure_domain: str,
        keeper: holdings_tracker.HoldingsTracker,
        prober: probes.Prober,
        writer: recorder.Recorder,
        listing: list_client.ListClient,
        watcher: expulsion.Expulsion,
    ) -> None:
        """Acts as the process of `keeper`, in `failure_domain`."""
        self.instance = keeper.heartbeats.instance
        self.failure_domain = failure_domain
        self.keeper = keeper
        self.reader = keeper.reader
        self.prober = prober
        self.writer = writer
        self.listing = listing
        self.watcher = watcher
        #: Monotonic seconds of the newest assignment of each service.
        self.assigned_at: dict[str, float] = {}
        #: Of each service that has no owners yet.
        self.usable: dict[str, Usable] = {}

    async def perform(self) -> None:
        """Performs the duties again and again until cancelled."""
        await asyncio.gather(
            self.watcher.watch_members(),
            self._repeat(self._register_targets, INTERVAL_SECONDS),
            self._repeat(self._assign_slots, INTERVAL_SECONDS),
            self._repeat(self._settle, INTERVAL_SECONDS),
            self._repeat(self._judge_targets, TARGET_SECONDS),
        )

    async def _repeat(
        self,
        duty: abc.Callable[[], abc.Awaitable[None]],
        seconds: float,
    ) -> None:
        """Performs one duty at each change of state and each interval."""
        while True:
            advanced = self.reader.advanced
            await duty()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(advanced.wait(), seconds)

    async def _judge_targets(self) -> None:
        """Records led targets that stopped answering, or answer again."""
        view = self.reader.view
        now = time.monotonic()
        for name in self.keeper.holdings.led:
            target = view.targets[name]
            standing = self.prober.histories.get(name, probes.ProbeHistory())
            wanted = probes.next_state(target.state, standing, now)
            if wanted != target.state:
                await self.writer.commit(
                    state_record(target, wanted),
                    COMMIT_SECONDS,
                )

    async def _settle(self) -> None:
        """Records up to where earlier authority and its grants have ended."""
        view = self.reader.view
        if roles.settler(view) != self.instance:
            return
        ends = settled_groups(
            view,
            self.keeper.endings,
            activation.longest_residual_work_seconds(self.keeper.facts()),
            time.monotonic(),
        )
        if ends:
            await self.writer.commit(
                ended_record(self.instance, ends),
                COMMIT_SECONDS,
            )

    async def _register_targets(self) -> None:
        view = self.reader.view
        registrar = roles.registrar_of_domain(view, self.failure_domain)
        if registrar != self.instance:
            return
        listed = await self.listing.read()
        if isinstance(listed, result.Err):
            return
        for record in target_changes(
            view, self.failure_domain, listed.ok_value
        ):
            await self.writer.commit(record, COMMIT_SECONDS)

    def _is_steady(self, service: str) -> bool:
        """Tells whether a new service's targets have all been registered.

        Its slots are spread once instead of given to the first and moved.
        """
        now = time.monotonic()
        targets = placement.usable_targets(self.reader.view, service)
        known = self.usable.get(service)
        if known is None or known.targets != targets:
            self.usable[service] = Usable(targets, now)
            return False
        return now - known.since >= FIRST_SECONDS

    def _voluntary(self, service: str) -> int:
        """Returns how many slots in service may move now."""
        last = self.assigned_at.get(service, float('-inf'))
        if time.monotonic() - last < STEP_SECONDS:
            return 0
        return placement.MOST_VOLUNTARY

    async def _assign_slots(self) -> None:
        view = self.reader.view
        services = sorted({row.service for row in view.targets.values()})
        for service in services:
            if roles.placer_of_service(view, service) != self.instance:
                continue
            if service not in view.services and not self._is_steady(service):
                continue
            wanted = placement.plan(
                view,
                service,
                silent=self.watcher.silent_domains(),
                most_voluntary=self._voluntary(service),
            )
            if wanted is not None:
                self.assigned_at[service] = time.monotonic()
                await self.writer.commit(
                    assignment_record(wanted),
                    COMMIT_SECONDS,
                )


def target_changes(
    view: state.ClusterState,
    failure_domain: str,
    listed: list[platform.ListedMember],
) -> list[folding.Record]:
    """Returns records that bring the registered targets in line."""
    changes: list[folding.Record] = []
    for row in listed:
        if row['role'] != 'target' or row['failure_domain'] != failure_domain:
            continue
        wanted = 'draining' if row['state'] == 'leaving' else 'live'
        known = view.targets.get(row['name'])
        if known is not None and not _is_due(known.state, wanted):
            continue
        changes.append(_target_record(row, wanted, known))
    return changes


def assignment_record(wanted: placement.Placement) -> folding.Record:
    """Returns the record that assigns slots as planned."""
    return {
        'id': recorder.new_record_id(),
        'kind': 'slots_assigned',
        'service': wanted.service,
        'based_on': wanted.based_on,
        'moves': [
            {'slot': slot, 'target': target} for slot, target in wanted.moves
        ],
    }


def state_record(
    target: state.TargetState,
    wanted: str,
) -> folding.Record:
    """Returns the record that changes the state of a registered target."""
    return {
        'id': recorder.new_record_id(),
        'kind': 'target_changed',
        **target._asdict(),
        'state': wanted,
        'based_on': target.changed_at,
    }


def settled_groups(
    view: state.ClusterState,
    known: abc.Mapping[str, endings.Endings],
    lapse_seconds: float,
    now: float,
) -> list[records.GroupEnd]:
    """Returns the ends that are newer than those in the state."""
    ends: list[records.GroupEnd] = []
    for group, row in sorted(known.items()):
        offset = endings.settled_offset(row, lapse_seconds, now)
        if offset > view.ended.get(group, 0):
            ends.append({'group': group, 'offset': offset})
    return ends[:MAX_ENDS]


def ended_record(
    instance: str,
    ends: list[records.GroupEnd],
) -> folding.Record:
    """Returns the record of what has ended."""
    return {
        'id': recorder.new_record_id(),
        'kind': 'authority_ended',
        'by': instance,
        'ends': ends,
    }


def _is_due(known: str, wanted: str) -> bool:
    """Tells whether the list is to change a target's state.

    The leader of a target that is gone says when it is back; operators say
    when a drained one is.
    """
    if known == 'gone':
        return wanted == 'draining'
    return known not in {wanted, 'drained'}


def _target_record(
    row: platform.ListedMember,
    wanted: str,
    known: state.TargetState | None,
) -> folding.Record:
    return {
        'id': recorder.new_record_id(),
        'kind': 'target_changed',
        'target': row['name'],
        'service': row['service'],
        'failure_domain': row['failure_domain'],
        'address': row['address'],
        'concurrency': row['concurrency'],
        'fenced': row['fenced'],
        'state': wanted,
        'based_on': known.changed_at if known else 0,
    }
