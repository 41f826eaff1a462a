"""Instances over a fake log in virtual time, for the rows of the log's steps.

They are driven through the pure functions of the log package alone.
"""

import functools
import typing

from bilberryglade._log import chunks, intake, recorder, relay, snapshots
from bilberryglade._state import folding, state
from bilberryglade_lab.matrix import fault_transport, log_fake, log_observer
from bilberryglade_lab.observers import violations

INSTANCES: typing.Final = 3
TICKS: typing.Final = 40
HEALED_TICKS: typing.Final = 15
PART_BYTES: typing.Final = 64
MOST_STALE: typing.Final = 3
#: Mean ticks between two keys, and two changes of a failure domain.
KEY_TICKS: typing.Final = 4
DOMAIN_TICKS: typing.Final = 4
HEARTBEAT_STEP: typing.Final = 'membership.heartbeat'
DOMAINS: typing.Final = ('north', 'south')


class LogFleet:
    """Runs instances over the fake log while faults strike at one step."""

    def __init__(self, seed: int, step: str, struck: frozenset[str]) -> None:
        """Prepares a run; `struck` faults strike at `step`."""
        self.transport = fault_transport.FaultTransport(seed, step, struck)
        self.random = self.transport.random
        self.log = log_fake.FakeLog()
        self.replicas = [
            log_fake.Replica(f'entry-{number}') for number in range(INSTANCES)
        ]
        self.found: dict[str, violations.Violation] = {}

    def run(self) -> list[violations.Violation]:
        """Runs with faults, then without, and returns what was found.

        Where `loss` strikes, in the end every instance is replaced at once.
        """
        for _ in range(TICKS):
            self._tick()
        if self.transport.strikes('loss'):
            for replica in self.replicas:
                replica.restart()
        self.transport.is_healed = True
        for _ in range(HEALED_TICKS):
            self._tick()
        self._report(log_observer.check_end(self.log, self.replicas))
        return list(self.found.values())

    def _report(self, found: list[violations.Violation]) -> None:
        for violation in found:
            self.found.setdefault(violation.promise, violation)

    def _tick(self) -> None:
        self.transport.now += 1
        for replica in self.replicas:
            if replica.paused_until <= self.transport.now:
                self._act(replica)
        for act in self.transport.due():
            before = [
                (replica, replica.boot, replica.known.view.offset)
                for replica in self.replicas
            ]
            act()
            for replica, boot, offset in before:
                self._observe(replica, boot, offset)

    def _observe(
        self,
        replica: log_fake.Replica,
        boot: int,
        offset: int,
    ) -> None:
        self._report(log_observer.check_forward(replica, boot, offset))
        if 'log_stale' not in self.transport.struck:
            self._report(log_observer.check_fresh(self.log, replica))

    def _act(self, replica: log_fake.Replica) -> None:
        self._read(replica)
        self._write_snapshot(replica)
        if not self.transport.is_healed:
            self._issue_key(replica)
            self._change_domain(replica)
        for record in replica.due_records(self.transport.now):
            self._append(replica, record)
        asking = self.random.choice((self._ask_records, self._ask_state))
        asking(replica, self.random.choice(self.replicas))
        self._ask_word(replica, self.random.choice(self.replicas))

    def _read(self, replica: log_fake.Replica) -> None:
        asked = intake.ask(replica.known, self.transport.now)
        start = replica.known.view.offset + 1
        stale = 0
        if self.transport.strikes('log_stale'):
            stale = self.random.randint(0, MOST_STALE)
        self.transport.call(
            intake.READ_CONTROL.name,
            replica,
            lambda: self.log.read(start, self.transport.now, stale),
            functools.partial(self._take_batch, replica, asked),
        )

    def _take_batch(
        self,
        replica: log_fake.Replica,
        asked: intake.Asked,
        batch: intake.Batch,
    ) -> None:
        replica.adopt(intake.take_batch(replica.known, batch, asked))
        if not replica.known.has_gap:
            return
        visible = len(self.log.parts)
        if self.transport.strikes('log_stale'):
            visible -= self.random.randint(0, MOST_STALE)
        parts = self.log.parts[: max(visible, 0)]
        self.transport.call(
            snapshots.READ_SNAPSHOT.name,
            replica,
            functools.partial(chunks.newest_whole, parts),
            functools.partial(self._take_state, replica, intake.NEVER),
        )

    def _take_state(
        self,
        replica: log_fake.Replica,
        as_of: float,
        given: state.ClusterState | None,
    ) -> None:
        if given is not None:
            now = self.transport.now
            replica.adopt(
                intake.take_state(replica.known, given, as_of, now),
            )

    def _issue_key(self, replica: log_fake.Replica) -> None:
        if self.random.randrange(KEY_TICKS):
            return
        name = f'{self.transport.now}-{replica.name}'
        record: folding.Record = {
            'id': f'issue-{name}',
            'kind': 'key_issued',
            'organisation': 'office',
            'key_id': name,
            'digest': name,
        }
        issued = sorted(replica.known.view.key_digests)
        if issued and self.transport.strikes('key_withdrawn'):
            record = {
                'id': f'withdraw-{name}',
                'kind': 'key_withdrawn',
                'key_id': self.random.choice(issued),
            }
        replica.pending[record['id']] = record

    def _change_domain(self, replica: log_fake.Replica) -> None:
        if self.random.randrange(DOMAIN_TICKS):
            return
        operators = [replica]
        if self.transport.strikes('operators_race'):
            operators = self.replicas
        domain = self.random.choice(DOMAINS)
        for operator in operators:
            known = operator.known.view.failure_domains.get(domain)
            record: folding.Record = {
                'id': f'{self.transport.now}-{replica.name}-{operator.name}',
                'kind': 'failure_domain_changed',
                'failure_domain': domain,
                'state': self.random.choice(('in_service', 'out')),
                'based_on': known.changed_at if known else 0,
                'by': operator.name,
            }
            operator.pending[record['id']] = record

    def _append(
        self,
        replica: log_fake.Replica,
        record: folding.Record,
    ) -> None:
        self.transport.call(
            recorder.APPEND_RECORD.name,
            replica,
            lambda: self.log.append(record, self.transport.now),
            functools.partial(_take_offset, replica),
        )

    def _ask_records(
        self,
        replica: log_fake.Replica,
        other: log_fake.Replica,
    ) -> None:
        leg = fault_transport.Leg(
            relay.RECORDS_ASKED.name, replica, is_answer=False
        )
        start = replica.known.view.offset + 1
        now = self.transport.now
        self.transport.send(
            leg,
            functools.partial(
                self._give_records, replica, replica.boot, other, start, now
            ),
        )

    def _give_records(
        self,
        replica: log_fake.Replica,
        boot: int,
        other: log_fake.Replica,
        start: int,
        asked_at: float,
    ) -> None:
        known = other.known
        kept = relay.records_from(known, start)
        if kept is None:
            return
        as_of = asked_at - (self.transport.now - known.fresh_at)

        def take() -> None:  # noqa: WPS430
            if replica.boot == boot:
                replica.adopt(
                    intake.take_records(
                        replica.known, kept, known.view.offset, as_of
                    ),
                )

        leg = fault_transport.Leg(
            relay.RECORDS_GIVEN.name, other, is_answer=True
        )
        self.transport.send(leg, take)

    def _ask_state(
        self,
        replica: log_fake.Replica,
        other: log_fake.Replica,
    ) -> None:
        leg = fault_transport.Leg(
            relay.STATE_ASKED.name, replica, is_answer=False
        )
        self.transport.send(
            leg,
            functools.partial(
                self._give_state,
                replica,
                replica.boot,
                other,
                self.transport.now,
            ),
        )

    def _give_state(
        self,
        replica: log_fake.Replica,
        boot: int,
        other: log_fake.Replica,
        asked_at: float,
    ) -> None:
        known = other.known
        as_of = asked_at - (self.transport.now - known.fresh_at)
        incoming: dict[int, chunks.Part] = {}

        def take(part: chunks.Part) -> None:  # noqa: WPS430
            incoming[part.part] = part
            if replica.boot == boot:
                self._take_state(replica, as_of, chunks.join(incoming))

        leg = fault_transport.Leg(relay.STATE_GIVEN.name, other, is_answer=True)
        for part in chunks.split(known.view, PART_BYTES):
            self.transport.send(leg, functools.partial(take, part))

    def _ask_word(
        self,
        replica: log_fake.Replica,
        other: log_fake.Replica,
    ) -> None:
        asked_at = self.transport.now

        def take(word: intake.Intake) -> None:  # noqa: WPS430
            age = self.transport.now - word.fresh_at
            offset = word.view.offset
            replica.adopt(
                intake.hear(replica.known, offset, asked_at - age),
            )

        self.transport.call(HEARTBEAT_STEP, replica, lambda: other.known, take)

    def _write_snapshot(self, replica: log_fake.Replica) -> None:
        view = replica.known.view
        now = self.transport.now
        oldest = self.log.oldest(now)
        if not snapshots.is_due(view.offset, replica.mark, oldest, now):
            return
        replica.mark = snapshots.Mark(view.offset, now)
        for part in chunks.split(view, PART_BYTES):
            self.transport.call(
                snapshots.APPEND_CHUNK.name,
                replica,
                functools.partial(self.log.parts.append, part),
                _take_nothing,
            )


def _take_offset(replica: log_fake.Replica, offset: int) -> None:
    known = replica.known
    if known.ready_offset is None:
        known = intake.require(known, offset)
    replica.adopt(intake.hear(known, offset, intake.NEVER))


def _take_nothing(given: object) -> None:
    """An answer that holds nothing."""
