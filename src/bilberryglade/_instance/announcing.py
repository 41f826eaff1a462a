"""What the coordinator tells the others of itself."""

import asyncio
import typing
from collections import abc

from bilberryglade._delivery import crash_records
from bilberryglade._knowledge import departures, operators, topics
from bilberryglade._membership import candidacy, fleet
from bilberryglade._ownership import table_manager
from bilberryglade._values import clock
from bilberryglade_schema import fleet as messages

#: Longest time between two signs of life of the coordinator. Usually each renewal
#: of its lease brings one.
LEAD_SECONDS: typing.Final = 0.55


class Announcer:
    """Tells that this instance coordinates, or does so no more."""

    def __init__(
        self,
        members: fleet.Fleet,
        lease: candidacy.Candidacy,
        records: operators.Operators,
        leaving: departures.Departures,
        tables: table_manager.TableManager,
        crashes: crash_records.CrashRecords,
    ) -> None:
        """Tells each claim of `lease`, and its end."""
        self.members = members
        self.lease = lease
        self.operators = records
        self.departures = leaving
        self.steward = tables
        self.crashes = crashes
        #: Called with the name of each instance that has started.
        self.on_greet: list[abc.Callable[[str], None]] = []
        #: Seconds of the last sign of life.
        self.led_at = float('-inf')
        lease.on_claim.append(self.lead)
        lease.on_end.append(self.tell_end)

    async def run(self) -> None:
        """Gives signs of life until cancelled, also while no claim is taken."""
        while True:
            due_at = self.led_at + LEAD_SECONDS
            if due_at <= clock.now():
                self.lead()
                due_at = clock.now() + LEAD_SECONDS
            await asyncio.sleep(due_at - clock.now())

    def lead(self) -> None:
        """Tells all others that this instance coordinates."""
        if self.lease.holds:
            self.led_at = clock.now()
            self.members.send_all(self.sign_of_life())

    def tell_end(self) -> None:
        """Tells all others that this instance coordinates no more."""
        message = self.sign_of_life()
        message['is_over'] = True
        self.members.send_all(message)

    def greet(self, name: str) -> None:
        """Tells a new instance what is known here, if this one coordinates."""
        for listener in self.on_greet:
            listener(name)
        if not self.lease.holds:
            return
        self.members.send(name, self.sign_of_life())
        whole = self.operators.reader.whole(topics.TARGETS)
        if whole is not None:
            self.members.send(name, whole)
        self.departures.tell(name)
        self.members.send(name, self.steward.assignment_message())

    def sign_of_life(self) -> messages.Lead:
        """Returns the coordinator's sign of life."""
        mark = self.operators.mark()
        return {
            'kind': 'lead',
            'sender': self.members.own.name,
            'term': self.lease.term,
            'claim': self.lease.state.newest,
            'tables_version': self.steward.tables.version,
            'tables_change': self.steward.tables.change,
            'operator_offset': mark.newest,
            'operator_total': mark.total,
            'operator_age_ms': self.operators.age_ms(),
            'quarantine_mark': self.crashes.mark(),
        }
