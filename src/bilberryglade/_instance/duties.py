"""Periodic duties of the roles that an instance holds."""

import asyncio
import typing

import result

from bilberryglade._listing import list_client
from bilberryglade._log import follower, recorder
from bilberryglade._routing import placement, roles
from bilberryglade._state import folding, state
from bilberryglade_schema import platform

INTERVAL_SECONDS: typing.Final = 0.2
COMMIT_SECONDS: typing.Final = 2.0


class Duties:
    """Registers targets and assigns slots, where this instance has the role."""

    def __init__(
        self,
        instance: str,
        failure_domain: str,
        reader: follower.Follower,
        writer: recorder.Recorder,
        listing: list_client.ListClient,
    ) -> None:
        """Acts as `instance` of `failure_domain`."""
        self.instance = instance
        self.failure_domain = failure_domain
        self.reader = reader
        self.writer = writer
        self.listing = listing

    async def perform(self) -> None:
        """Performs the duties again and again until cancelled."""
        while True:
            await self._register_targets()
            await self._assign_slots()
            await asyncio.sleep(INTERVAL_SECONDS)

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

    async def _assign_slots(self) -> None:
        view = self.reader.view
        services = sorted({row.service for row in view.targets.values()})
        for service in services:
            if roles.placer_of_service(view, service) != self.instance:
                continue
            wanted = placement.plan(view, service)
            if wanted is not None:
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
        if known is not None and known.state in {wanted, 'drained'}:
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
