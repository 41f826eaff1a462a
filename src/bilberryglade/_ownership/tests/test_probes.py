"""When a target counts as gone, and as live again."""

import asyncio
import typing
import unittest

from bilberryglade._ownership import probes
from bilberryglade._state import state
from bilberryglade._targets import client
from bilberryglade._targets.tests import raw_target

TARGET: typing.Final = state.TargetState(
    't', 'claims', 'a', '127.0.0.1:9', 1, True, 'live', 1
)


class StandingTest(unittest.TestCase):
    """Standings of one target."""

    def test_gone_after_failures_in_a_row(self) -> None:
        """Three failures over the least time; an answer starts anew."""
        history = probes.ProbeHistory()
        for moment in (0.1, 0.3):
            history = probes.after_failure(history, moment)
            wanted = probes.next_state('live', history, moment)
            self.assertEqual(wanted, 'live')
        gone = probes.after_failure(history, 0.6)
        self.assertEqual(probes.next_state('live', gone, 0.6), 'gone')
        answered = probes.after_answer(gone)
        self.assertEqual(probes.next_state('live', answered, 0.6), 'live')

    def test_burst_of_refusals_is_not_enough(self) -> None:
        """Refused connections come at once; they must last, too."""
        history = probes.ProbeHistory()
        for _ in range(9):
            history = probes.after_failure(history, 0.1)
        self.assertEqual(probes.next_state('live', history, 0.1), 'live')

    def test_back_after_answers_in_a_row(self) -> None:
        """Three answers bring a target back; a drained one stays."""
        history = probes.ProbeHistory()
        for expected in ('gone', 'gone', 'live'):
            history = probes.after_answer(history)
            wanted = probes.next_state('gone', history, 0)
            self.assertEqual(wanted, expected)
        self.assertEqual(probes.next_state('drained', history, 0), 'drained')


class AskingTest(unittest.IsolatedAsyncioTestCase):
    """Answers of targets to probes."""

    async def asyncSetUp(self) -> None:
        """Prepares a client."""
        self.client = client.TargetClient(raw_target.LIMITS)
        self.addAsyncCleanup(self.client.close)

    async def test_answers_that_break_off(self) -> None:
        """They count as failures, and none raises or is waited for."""
        whole = b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello'
        chunk = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhe'
        cases = (
            (whole, False, True),
            (whole[:-1], False, False),
            (whole[:-1], True, False),
            (chunk, False, False),
            (chunk, True, False),
        )
        for raw, stays, is_well in cases:
            with self.subTest(raw=raw, stays=stays):
                answering = raw_target.answering(raw, ends=not stays)
                target = raw_target.RawTarget(answering)
                row = TARGET._replace(address=await target.start())
                prober = probes.Prober(self.client.sender)
                async with asyncio.timeout(probes.PROBE_TIMEOUT_SECONDS * 4):
                    self.assertEqual(await prober.probe(row), is_well)
                self.assertEqual(prober.is_failing('t'), not is_well)
                await target.stop()
