"""Duties about the log: writing snapshots, and starting while it is down."""

import asyncio
import random
import typing

import result

from bilberryglade._listing import list_client
from bilberryglade._log import follower, relay, snapshots
from bilberryglade._routing import roles

INTERVAL_SECONDS: typing.Final = 1.0
#: Longest wait between two looks at whether the instance is ready.
READY_SECONDS: typing.Final = 0.1
#: Peers asked for their state in each round of a start without the log.
ASKED_PEERS: typing.Final = 3


class SnapshotWriter:
    """Writes snapshots while this instance has the role."""

    def __init__(
        self,
        instance: str,
        reader: follower.Follower,
    ) -> None:
        """Acts as `instance`."""
        self.instance = instance
        self.reader = reader
        self.stream = reader.snapshot_stream
        self.mark = snapshots.Mark(0, reader.clock())
        self.written = 0

    async def perform(self) -> None:
        """Writes what is due, again and again until cancelled."""
        while True:
            await self.perform_once()
            await asyncio.sleep(INTERVAL_SECONDS)

    async def perform_once(self) -> None:
        """Writes a snapshot if one is due and nobody wrote it meanwhile."""
        view = self.reader.view
        if roles.snapshot_writer(view) != self.instance:
            return
        if not self._is_due():
            return
        stored = await self.stream.newest()
        if stored is not None and stored.offset > self.mark.offset:
            self.mark = snapshots.Mark(stored.offset, self.reader.clock())
        if self._is_due() and await self.stream.write(view, self.instance):
            self.mark = snapshots.Mark(view.offset, self.reader.clock())
            self.written += 1

    def _is_due(self) -> bool:
        return snapshots.is_due(
            self.reader.view.offset,
            self.mark,
            self.reader.oldest,
            self.reader.clock(),
        )


class ColdStart:
    """Asks peers of the platform's list for their state while the log fails."""

    def __init__(
        self,
        instance: str,
        reader: follower.Follower,
        listing: list_client.ListClient,
        relaying: relay.Relay,
    ) -> None:
        """Acts as `instance`."""
        self.instance = instance
        self.reader = reader
        self.listing = listing
        self.relaying = relaying
        self.random = random.Random()

    async def wait_until_ready(self) -> None:
        """Returns when the instance is ready; asks peers if the log fails."""
        asked_at = self.reader.clock()
        while not self.reader.is_ready:
            await self.reader.wait_for_advance(READY_SECONDS)
            since = self.reader.clock() - asked_at
            if self.reader.failures_in_a_row and since >= INTERVAL_SECONDS:
                asked_at = self.reader.clock()
                await self.ask_once()

    async def ask_once(self) -> None:
        """Asks a few listed instances."""
        listed = await self.listing.read()
        if isinstance(listed, result.Err):
            return
        addresses = [
            row['address']
            for row in listed.ok_value
            if row['role'] == 'instance' and row['name'] != self.instance
        ]
        self.random.shuffle(addresses)
        for address in addresses[:ASKED_PEERS]:
            self.relaying.ask_state(address)
