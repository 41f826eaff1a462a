"""Records lost processes that the platform has stopped listing."""

import asyncio
import time
import typing

import result

from bilberryglade._listing import list_client
from bilberryglade._log import recorder
from bilberryglade._membership import absence, heartbeats
from bilberryglade._routing import roles
from bilberryglade._state import folding, state
from bilberryglade._values import steps
from bilberryglade_schema import platform

#: Interval between two reads of the list for lost processes.
LIST_SECONDS: typing.Final = 1.0
#: Longest time for which the list is taken to leave out a running process.
LIST_LAG_MS: typing.Final = 30_000
MILLISECONDS: typing.Final = 1000
COMMIT_SECONDS: typing.Final = 2.0
OFF: typing.Final = steps.declare(
    'membership.append_off',
    steps.StepKind.append,
)


class ListWatch:
    """Compares the lost processes of a failure domain with the list."""

    def __init__(
        self,
        failure_domain: str,
        beats: heartbeats.Heartbeats,
        writer: recorder.Recorder,
        listing: list_client.ListClient,
    ) -> None:
        """Acts as the process of `beats`, in `failure_domain`."""
        self.instance = beats.instance
        self.failure_domain = failure_domain
        self.beats = beats
        self.writer = writer
        self.listing = listing
        self.absences = absence.Absences()

    async def watch(self) -> None:
        """Looks at the list until cancelled, where this instance registers."""
        while True:
            await asyncio.sleep(LIST_SECONDS)
            view = self.beats.reader.view
            registrar = roles.registrar_of_domain(view, self.failure_domain)
            if registrar != self.instance:
                self.absences = absence.Absences()
                continue
            await self._record_ended(view)

    async def _record_ended(self, view: state.ClusterState) -> None:
        former = absence.former_members(view, self.failure_domain)
        if not former:
            return
        listed = await self.listing.read()
        now = time.monotonic()
        own = view.members.get(self.instance)
        if isinstance(listed, result.Err) or own is None:
            return
        instances = listed_instances(listed.ok_value)
        if (
            absence.ListedInstance(self.instance, own.peer_address)
            not in instances
        ):
            return
        self.absences = absence.look(self.absences, former, instances, now)
        lag_ms = self.beats.timings.get('list_lag_ms', LIST_LAG_MS)
        for joined_at in absence.ended(
            self.absences, lag_ms / MILLISECONDS, now
        ):
            await self.writer.commit(
                off_record(joined_at, own.joined_at),
                COMMIT_SECONDS,
            )


def listed_instances(
    rows: list[platform.ListedMember],
) -> frozenset[absence.ListedInstance]:
    """Returns the instances of the platform's list."""
    return frozenset(
        absence.ListedInstance(row['name'], row['address'])
        for row in rows
        if row['role'] == 'instance'
    )


def off_record(joined_at: int, by_joined_at: int) -> folding.Record:
    """Returns the record of a process that has ended."""
    return {
        'id': f'off-{joined_at}-by-{by_joined_at}',
        'kind': 'instance_off',
        'joined_at': joined_at,
        'by_joined_at': by_joined_at,
    }
