"""Tests of the quarantine of requests that crash their targets."""

import asyncio
import unittest
from unittest import mock

from bilberryglade._delivery import crash_records
from bilberryglade._routing.tests import samples
from bilberryglade._values import clock
from bilberryglade_schema import fleet as messages


def crash_message(target: str, fingerprint: str) -> messages.Crash:
    """Returns another instance's message that a target crashed."""
    return {
        'kind': 'crash',
        'sender': 'edge-1',
        'fingerprint': fingerprint,
        'target': target,
    }


class QuarantineTests(unittest.TestCase):
    """Conditions under which a request is refused."""

    def setUp(self) -> None:
        """Starts without recorded crashes."""
        self.records = crash_records.CrashRecords(mock.Mock())
        self.fingerprint = crash_records.fingerprint(
            samples.incoming(request_id='1')
        )

    def report_crashes(self, *targets: str) -> None:
        """Records crashes of target incarnations, reported by an instance."""
        for target in targets:
            self.records.handle_crash(crash_message(target, self.fingerprint))

    def test_quarantine_after_three_crashes(self) -> None:
        """A request that crashed three incarnations is refused under any id."""
        self.report_crashes('t/1', 'u/1')
        self.assertFalse(
            self.records.is_quarantined(samples.incoming(request_id='2'))
        )
        self.report_crashes('t/2')
        self.assertTrue(
            self.records.is_quarantined(samples.incoming(request_id='3'))
        )

    def test_repeated_reports_count_once(self) -> None:
        """A crash that is reported several times counts once."""
        self.report_crashes('t/1', 't/1', 't/1', 't/1')
        self.assertFalse(
            self.records.is_quarantined(samples.incoming(request_id='2'))
        )

    def test_other_requests_are_served(self) -> None:
        """Requests with another path, API key or body are not refused."""
        self.report_crashes('t/1', 't/2', 't/3')
        for changes in ({'path': '/a/y'}, {'api_key': 'k'}, {'body': b'x'}):
            with self.subTest(changes=changes):
                other_request = samples.incoming(**changes)
                self.assertFalse(self.records.is_quarantined(other_request))

    def test_quarantine_expires(self) -> None:
        """A request is served again once its crashes have expired."""
        self.report_crashes('t/1', 't/2', 't/3')
        later = clock.now() + crash_records.RETENTION_SECONDS + 1
        with mock.patch.object(clock, 'now', return_value=later):
            self.assertFalse(
                self.records.is_quarantined(samples.incoming(request_id='2'))
            )
            self.records.drop_expired()
        self.assertEqual(self.records.crashes, {})


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
            await crash_records.refuses_connections(f'127.0.0.1:{port}')
        )
        server.close()
        await server.wait_closed()
        self.assertTrue(
            await crash_records.refuses_connections(f'127.0.0.1:{port}')
        )
