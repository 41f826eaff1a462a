"""Tests of when a target counts as gone, and as live again."""

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


class ProbeHistoryTest(unittest.TestCase):
    """Changes of a target's state by its probe history."""

    def test_gone_after_failures_in_a_row(self) -> None:
        """Three failures that last long enough make a target gone.

        An answer resets the count.
        """
        history = probes.ProbeHistory()
        for now in (0.1, 0.3):
            history = probes.after_failure(history, now)
            next_state = probes.next_state('live', history, now)
            self.assertEqual(next_state, 'live')
        failed = probes.after_failure(history, 0.6)
        self.assertEqual(probes.next_state('live', failed, 0.6), 'gone')
        answered = probes.after_answer(failed)
        self.assertEqual(probes.next_state('live', answered, 0.6), 'live')

    def test_burst_of_refusals_is_not_enough(self) -> None:
        """Many failures within a moment do not make a target gone.

        Refused connections fail at once, so the failures must also last.
        """
        history = probes.ProbeHistory()
        for _ in range(9):
            history = probes.after_failure(history, 0.1)
        self.assertEqual(probes.next_state('live', history, 0.1), 'live')

    def test_back_after_answers_in_a_row(self) -> None:
        """Three answers make a gone target live; a drained one stays drained."""
        history = probes.ProbeHistory()
        for expected in ('gone', 'gone', 'live'):
            history = probes.after_answer(history)
            next_state = probes.next_state('gone', history, 0)
            self.assertEqual(next_state, expected)
        self.assertEqual(probes.next_state('drained', history, 0), 'drained')


class ProberTest(unittest.IsolatedAsyncioTestCase):
    """Probes of a target that sends complete or incomplete answers."""

    async def asyncSetUp(self) -> None:
        """Prepares a client."""
        self.client = client.TargetClient(raw_target.LIMITS)
        self.addAsyncCleanup(self.client.close)

    async def test_incomplete_answers(self) -> None:
        """An incomplete answer to a probe counts as a failure.

        The probe neither raises nor waits long for the rest.
        """
        complete = b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello'
        chunk = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhe'
        cases = (
            (complete, False, True),
            (complete[:-1], False, False),
            (complete[:-1], True, False),
            (chunk, False, False),
            (chunk, True, False),
        )
        for raw, keeps_open, is_healthy in cases:
            with self.subTest(raw=raw, keeps_open=keeps_open):
                responder = raw_target.answering(raw, ends=not keeps_open)
                target = raw_target.RawTarget(responder)
                target_state = TARGET._replace(address=await target.start())
                prober = probes.Prober(self.client.sender)
                async with asyncio.timeout(probes.PROBE_TIMEOUT_SECONDS * 4):
                    self.assertEqual(
                        await prober.probe(target_state), is_healthy
                    )
                self.assertEqual(prober.is_failing('t'), not is_healthy)
                await target.stop()
