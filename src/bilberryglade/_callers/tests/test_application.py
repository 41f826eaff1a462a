"""Tests of the callers' front over its ASGI interface, with fakes behind."""

import unittest
from unittest import mock

from bilberryglade._callers import credentials
from bilberryglade._values import outcomes
from bilberryglade_lab.fakes import caller_front


class WithdrawalTest(unittest.IsolatedAsyncioTestCase):
    """A key that is withdrawn while its request is under way."""

    async def test_each_step(self) -> None:
        """Before the run it is refused; after it the answer is withheld."""
        cases = (
            ('body', 'not-run', 0),
            ('admission', 'not-run', 0),
            ('run', 'ran', 1),
        )
        for step, run_state, runs in cases:
            with self.subTest(step):
                fake = caller_front.Fake()
                fake.withdraw_in = step
                answer = await caller_front.call(fake)
                self.assertEqual(answer.status, 401)
                self.assertEqual(answer.run_state, run_state)
                self.assertEqual(len(fake.delivered), runs)
                self.assertNotIn(b'private', answer.body)

    async def test_without_checks_it_leaks(self) -> None:
        """Without the later checks the answer reaches the caller."""
        for step in ('body', 'admission', 'run'):
            unchecked = mock.patch.object(
                credentials, 'is_valid', return_value=True
            )
            with self.subTest(step), unchecked:
                fake = caller_front.Fake()
                fake.withdraw_in = step
                answer = await caller_front.call(fake)
                self.assertEqual(answer.body, b'private')

    async def test_other_outcomes_are_told(self) -> None:
        """What became of the request is told as it is."""
        cases = (
            (outcomes.NotRun(outcomes.Reason.deadline), 'not-run'),
            (outcomes.Unknown(outcomes.Reason.answer_lost), 'unknown'),
        )
        for outcome, run_state in cases:
            with self.subTest(run_state):
                fake = caller_front.Fake()
                fake.withdraw_in = 'run'
                fake.outcome = outcome
                answer = await caller_front.call(fake)
                self.assertEqual(answer.run_state, run_state)

    async def test_headers_in_any_letters(self) -> None:
        """They go on in the bytes in which they came."""
        fake = caller_front.Fake()
        raw = '\u00e9\u4e2d'.encode()
        named = outcomes.Header('x-name', raw.decode('latin-1'))
        fake.outcome = outcomes.Answered(200, (named,), b'')
        answer = await caller_front.call(fake)
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers['x-name'].encode(), raw)

    async def test_open_route_in_isolation(self) -> None:
        """Open routes need young or confirmed knowledge, others do not."""
        cases = (
            (caller_front.READ, 0.1, False, 200),
            (caller_front.READ, 4.0, False, 503),
            (caller_front.READ, 4.0, True, 200),
            (caller_front.WRITE, 4.0, False, 200),
        )
        for line, age_seconds, has_authority, status in cases:
            with self.subTest(line=line, age=age_seconds, ok=has_authority):
                fake = caller_front.Fake()
                fake.age_seconds = age_seconds
                fake.has_authority = has_authority
                answer = await caller_front.call(fake, line)
                self.assertEqual(answer.status, status)
                self.assertEqual(len(fake.delivered), int(status == 200))


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    """Rates, names of requests, and callers' deadlines."""

    async def test_over_rate(self) -> None:
        """A request over its rate is refused before it goes anywhere."""
        fake = caller_front.Fake()
        fake.refusal = outcomes.NotRun(outcomes.Reason.over_rate, 1500)
        answer = await caller_front.call(fake)
        self.assertEqual(answer.status, 429)
        self.assertEqual(answer.headers['retry-after'], '2')
        self.assertEqual((answer.run_state, fake.delivered), ('not-run', []))

    async def test_names(self) -> None:
        """A request that must not run twice needs one name."""
        key = caller_front.NAMED[:1]
        cases = (
            (caller_front.WRITE, key, 400),
            (caller_front.WRITE, (*key, ('Idempotency-Key', '')), 400),
            (
                caller_front.WRITE,
                (*caller_front.NAMED, ('idempotency-key', 'claim-2')),
                400,
            ),
            (caller_front.WRITE, (*key, ('idempotency-key', 'c' * 256)), 400),
            (caller_front.WRITE, caller_front.NAMED, 200),
            (caller_front.READ, key, 200),
        )
        for line, headers, status in cases:
            with self.subTest(headers=headers):
                answer = await caller_front.call(
                    caller_front.Fake(), line, headers
                )
                self.assertEqual(answer.status, status)

    async def test_repeat_finds_its_slot(self) -> None:
        """Repeats share slot and digest, but never the request id."""
        fake = caller_front.Fake()
        await caller_front.call(fake, caller_front.WRITE)
        await caller_front.call(fake, caller_front.WRITE)
        first, second = fake.delivered
        self.assertEqual(first.slot, second.slot)
        self.assertEqual(first.idempotency_digest, second.idempotency_digest)
        self.assertRegex(first.idempotency_digest, '^[0-9a-f]{32}$')
        self.assertNotEqual(first.request_id, second.request_id)

    async def test_deadline(self) -> None:
        """A caller may shorten its deadline, but not lengthen it."""
        cases = (('200', 200, 0.2), ('99999999', 200, 5), ('soon', 400, 0))
        for text, status, seconds in cases:
            with self.subTest(text):
                fake = caller_front.Fake()
                headers = (*caller_front.NAMED, ('Request-Timeout-Ms', text))
                with mock.patch('time.monotonic', return_value=100):
                    answer = await caller_front.call(
                        fake, caller_front.READ, headers
                    )
                self.assertEqual(answer.status, status)
                deadlines = [row.deadline for row in fake.delivered]
                wanted = [100 + seconds] if seconds else []
                self.assertEqual(deadlines, wanted)
