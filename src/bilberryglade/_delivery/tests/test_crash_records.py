"""Tests of the quarantine of requests that crash their targets."""

import asyncio
import typing
import unittest
from unittest import mock

from bilberryglade._delivery import (
    crash_evidence,
    crash_probe,
    crash_records,
)
from bilberryglade._membership import candidacy, fleet
from bilberryglade._routing.tests import samples
from bilberryglade._targets import directory
from bilberryglade._values import clock
from bilberryglade_schema import fleet as messages

POISON: typing.Final = crash_records.fingerprint(
    samples.incoming(request_id='1')
)
OTHER: typing.Final = crash_records.fingerprint(
    samples.incoming(path='/a/other')
)

ANOTHER: typing.Final = '0123456789abcdef'


def crash_message(
    target: str, *fingerprints: str, age_ms: int = 10
) -> messages.Crash:
    """Returns another instance's message that a target crashed now.

    The requests were sent there `age_ms` before.
    """
    return {
        'kind': 'crash',
        'sender': 'edge-1',
        'target': target,
        'crashed_ms': 0,
        'runs': dict.fromkeys(fingerprints, age_ms),
    }


def quarantine_message(*targets: str) -> messages.Quarantine:
    """Returns another instance's message that it refuses the poison."""
    return {
        'kind': 'quarantine',
        'sender': 'edge-1',
        'blamed': [{'fingerprint': POISON, 'targets': list(targets)}],
        'is_answer': True,
    }


class RecordsCase(unittest.TestCase):
    """An instance that does not coordinate."""

    def setUp(self) -> None:
        """Starts without recorded crashes, on a clock of the test."""
        self.now = 100.0
        moved = mock.patch.object(clock, 'now', lambda: self.now)
        moved.start()
        self.addCleanup(moved.stop)
        self.storage = mock.Mock()
        self.lease = mock.Mock(spec=candidacy.Candidacy, holds=False)
        self.peers = mock.Mock()
        self.records = self.start({})

    def start(
        self, known: dict[str, crash_evidence.Suspicion]
    ) -> crash_records.CrashRecords:
        """Starts a process that has read this evidence."""
        own = fleet.Member('b', 'b1', 'at-b', 'x')
        other = fleet.Member('edge-1', 'e1', 'at-e', 'x')
        members = fleet.Fleet(own, self.peers, (other,))
        return crash_records.CrashRecords(
            members, self.lease, self.storage, known
        )

    def report(self, *targets: str, beside: tuple[str, ...] = ()) -> None:
        """Records crashes that another instance reported."""
        for target in targets:
            self.now += 0.1
            self.records.handle_crash(crash_message(target, POISON, *beside))

    def is_refused(self, path: str = '/a/x') -> bool:
        """Returns whether a request is refused, under a new id."""
        return self.records.is_quarantined(
            samples.incoming(request_id='2', path=path)
        )

    def sent(self, kind: str) -> list[messages.CrashCleared]:
        """Returns the messages of a kind that were sent to one instance."""
        return [
            call.args[1]
            for call in self.peers.send.call_args_list
            if call.args[1]['kind'] == kind
        ]


class QuarantineTests(RecordsCase):
    """Conditions under which a request is refused."""

    def test_quarantine_after_three_crashes(self) -> None:
        """A request that crashed three incarnations is refused under any id."""
        self.report('t/1', 'u/1')
        self.assertFalse(self.is_refused())
        self.report('t/2')
        self.assertTrue(self.is_refused())

    def test_repeated_reports_count_once(self) -> None:
        """A crash that is reported several times counts once."""
        self.report('t/1', 't/1', 't/1', 't/1')
        self.assertFalse(self.is_refused())

    def test_other_requests_are_served(self) -> None:
        """Requests with another path, API key or body are not refused."""
        self.report('t/1', 't/2', 't/3')
        for changes in ({'path': '/a/y'}, {'api_key': 'k'}, {'body': b'x'}):
            with self.subTest(changes=changes):
                other_request = samples.incoming(**changes)
                self.assertFalse(self.records.is_quarantined(other_request))

    def test_requests_that_ran_beside_it_are_served(self) -> None:
        """Reports of several instances name the suspects of one crash."""
        for number in range(3):
            target = f't/{number}'
            beside = f'{number}' * 16
            self.report(target, beside=(beside,))
            self.records.handle_crash(crash_message(target, ANOTHER))
        self.assertEqual(set(self.records.evidence.blamed), {POISON})

    def test_requests_that_always_ran_together(self) -> None:
        """They are refused together, one crash later."""
        self.report('t/1', 't/2', 't/3', beside=(OTHER,))
        self.assertFalse(self.is_refused())
        self.report('t/4', beside=(OTHER,))
        self.assertEqual(set(self.records.evidence.blamed), {POISON, OTHER})

    def test_popular_request_is_served_while_targets_crash(self) -> None:
        """Guards against blame for crashes that other targets outlive."""
        for number in range(8):
            self.report(f't/{number}')
            self.records.note_answer(samples.incoming(), 200)
        self.assertFalse(self.is_refused())
        self.assertEqual(self.peers.send_all.call_count, 8)

    def test_targets_that_crash_together_are_no_evidence(self) -> None:
        """Guards against blame for what was at all targets of a service."""
        for number in range(8):
            self.now += 0.02
            message = crash_message(f't/{number}', POISON, age_ms=300)
            self.records.handle_crash(message)
        self.report('u/1')
        self.assertFalse(self.is_refused())
        self.report('u/2')
        self.assertTrue(self.is_refused())

    def test_failing_answer_clears_nobody(self) -> None:
        """A target that is about to crash may still say that it failed."""
        for number in range(3):
            self.report(f't/{number}')
            self.records.note_answer(samples.incoming(), 500)
        self.assertTrue(self.is_refused())

    def test_refused_for_good_but_for_trials_at_the_coordinator(self) -> None:
        """Guards against targets that crash again after a while (BUDGET)."""
        self.report('t/1', 't/2', 't/3')
        sent = 0
        for is_coordinator in (False, True):
            self.lease.holds = is_coordinator
            for _ in range(1000):
                self.now += 30
                if not self.is_refused():
                    sent += 1
                    self.report(f'u/{sent}')
            self.assertEqual(sent, 2 if is_coordinator else 0)

    def test_trial_that_is_answered_ends_the_quarantine(self) -> None:
        """The coordinator sends it once, and tells all."""
        self.report('t/1', 't/2', 't/3')
        self.lease.holds = True
        self.now += crash_evidence.TRIAL_SECONDS
        self.assertFalse(self.is_refused())
        self.assertTrue(self.is_refused())
        self.records.note_answer(samples.incoming(), 200)
        self.assertFalse(self.is_refused())
        self.peers.send_all.assert_called_once()


class RestartTests(RecordsCase):
    """What outlasts the process that knew it."""

    def stored(self) -> dict[str, crash_evidence.Suspicion]:
        """Returns what stands in the store by now."""
        found: dict[str, crash_evidence.Suspicion] = {}
        for call in self.storage.write.call_args_list:
            suspicion = self.records.evidence.to_store(call.args[0])
            if suspicion is not None:
                found[call.args[0]] = suspicion
        return found

    def crash(self, target: str) -> None:
        """Detects a crash here."""
        self.now += 0.1
        life = directory.Life(target, 1)
        sent = {POISON: self.now - 0.01}
        self.records.report_crash(crash_probe.Crash(life, self.now, sent))

    def test_restarted_process_refuses_what_crashed_targets_before(
        self,
    ) -> None:
        """Guards against evidence that dies with its instances (review/5)."""
        self.crash('a')
        self.crash('b')
        self.records = self.start(self.stored())
        self.assertFalse(self.is_refused())
        self.crash('c')
        self.records = self.start(self.stored())
        self.assertTrue(self.is_refused())

    def test_one_crash_is_not_stored(self) -> None:
        """Most requests that ran beside one never come again."""
        self.crash('a')
        self.assertEqual(self.stored(), {})

    def test_cleared_request_is_dropped_from_the_store(self) -> None:
        """Nobody who starts takes it for a suspect."""
        self.crash('a')
        self.crash('b')
        self.assertTrue(self.stored())
        self.records.note_answer(samples.incoming(), 200)
        self.assertEqual(self.stored(), {})

    def test_suspects_that_ran_together_come_back_together(self) -> None:
        """None of them is blamed for the crashes of all."""
        suspicion = crash_evidence.Suspicion(
            frozenset(('t/1', 't/2', 't/3')), is_blamed=False
        )
        self.records = self.start({POISON: suspicion, OTHER: suspicion})
        self.assertEqual(self.records.evidence.blamed, {})


class ComparisonTests(RecordsCase):
    """Instances of which one was told nothing."""

    def compare(self, mark: int) -> int:
        """Hears the coordinator's mark; returns how many lists were sent."""
        lead = mock.MagicMock()
        lead.get.return_value = mark
        lead.__getitem__.return_value = 'edge-1'
        self.records.compare(lead)
        return len(self.sent('quarantine'))

    def test_whoever_was_told_nothing_asks_the_coordinator(self) -> None:
        """Guards against messages that were lost in a cut."""
        self.assertEqual(self.compare(0), 0)
        self.assertEqual(self.compare(5), 1)
        self.assertEqual(self.compare(5), 1)
        self.records.handle_quarantine(quarantine_message('t/1', 't/2', 't/3'))
        self.assertTrue(self.is_refused())
        self.now += 60
        self.assertEqual(self.compare(self.records.mark()), 1)

    def test_cleared_request_is_not_blamed_again(self) -> None:
        """One that has missed the word of it is told."""
        self.report('t/1', 't/2', 't/3')
        self.records.note_answer(samples.incoming(), 200)
        self.records.handle_quarantine(quarantine_message('t/1', 't/2', 't/3'))
        self.assertFalse(self.is_refused())
        self.assertEqual(
            self.sent('crash_cleared')[0]['targets'], ['t/1', 't/2', 't/3']
        )
        self.records.handle_cleared(self.sent('crash_cleared')[0])
        self.assertFalse(self.is_refused())


async def _close_connection(
    _: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    writer.close()


class ProbeTests(unittest.IsolatedAsyncioTestCase):
    """The connection that tests whether a target has crashed."""

    async def test_connection_refused_only_when_not_listening(self) -> None:
        """Only an address without a listener refuses connections."""
        server = await asyncio.start_server(_close_connection, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        self.assertFalse(
            await crash_probe.refuses_connections(f'127.0.0.1:{port}')
        )
        server.close()
        await server.wait_closed()
        self.assertTrue(
            await crash_probe.refuses_connections(f'127.0.0.1:{port}')
        )


class OlderStoreTests(RecordsCase):
    """The store has come back older, and may have lost the evidence."""

    def setUp(self) -> None:
        """One request is refused, another was served again."""
        super().setUp()
        self.report('t/1', 't/2', 't/3')
        self.storage.client.eras.era = 1

    def test_coordinator_writes_it_again(self) -> None:
        """Guards against processes that start and know of nothing."""
        self.lease.holds = True
        self.records.restore()
        self.storage.write.assert_called_once_with(POISON)

    def test_others_leave_it_to_the_coordinator(self) -> None:
        """All know the same, and would write it all at once."""
        self.records.restore()
        self.storage.write.assert_not_called()

    def test_store_that_has_not_come_back_older(self) -> None:
        """A new coordinator writes nothing that the store has."""
        self.lease.holds = True
        self.storage.client.eras.era = 0
        self.records.restore()
        self.storage.write.assert_not_called()
