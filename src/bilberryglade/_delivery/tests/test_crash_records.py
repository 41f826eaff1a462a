"""Requests that crash their targets are refused under any id."""

import asyncio
import unittest
from unittest import mock

from bilberryglade._delivery import crash_records
from bilberryglade._routing.tests import samples
from bilberryglade._values import clock
from bilberryglade_schema import fleet as messages


def crash(target: str, found: str) -> messages.Crash:
    """Returns an instance's word that a target fell."""
    return {
        'kind': 'crash',
        'sender': 'edge-1',
        'fingerprint': found,
        'target': target,
    }


class QuarantineTests(unittest.TestCase):
    """When a request is refused."""

    def setUp(self) -> None:
        """No target has fallen."""
        self.records = crash_records.CrashRecords(mock.Mock())
        self.found = crash_records.fingerprint(samples.incoming(request_id='1'))

    def fell(self, *targets: str) -> None:
        """Instances tell that targets fell."""
        for target in targets:
            self.records.hear(crash(target, self.found))

    def test_three_lives(self) -> None:
        """Three lives fell, whichever instances saw it: refused by any id."""
        self.fell('t/1', 'u/1')
        self.assertFalse(
            self.records.is_quarantined(samples.incoming(request_id='2'))
        )
        self.fell('t/2')
        self.assertTrue(
            self.records.is_quarantined(samples.incoming(request_id='3'))
        )

    def test_one_fall_told_often(self) -> None:
        """The fall of one target counts once."""
        self.fell('t/1', 't/1', 't/1', 't/1')
        self.assertFalse(
            self.records.is_quarantined(samples.incoming(request_id='2'))
        )

    def test_others_are_served(self) -> None:
        """Other paths, callers and bodies are not blamed."""
        self.fell('t/1', 't/2', 't/3')
        for changes in ({'path': '/a/y'}, {'api_key': 'k'}, {'body': b'x'}):
            with self.subTest(changes=changes):
                other = samples.incoming(**changes)
                self.assertFalse(self.records.is_quarantined(other))

    def test_time(self) -> None:
        """A request is tried again after a while."""
        self.fell('t/1', 't/2', 't/3')
        later = clock.now() + crash_records.KEEP_SECONDS + 1
        with mock.patch.object(clock, 'now', return_value=later):
            self.assertFalse(
                self.records.is_quarantined(samples.incoming(request_id='2'))
            )
            self.records.forget_old()
        self.assertEqual(self.records.falls, {})


async def _leave(
    _: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    writer.close()


class ProbeTests(unittest.IsolatedAsyncioTestCase):
    """Whether a target has fallen."""

    async def test_listening(self) -> None:
        """A target that takes connections has not fallen."""
        server = await asyncio.start_server(_leave, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        self.assertFalse(await crash_records.refuses(f'127.0.0.1:{port}'))
        server.close()
        await server.wait_closed()
        self.assertTrue(await crash_records.refuses(f'127.0.0.1:{port}'))
