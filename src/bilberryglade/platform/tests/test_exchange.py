"""What the answers of targets mean, and what callers are told."""

import unittest

from bilberryglade._delivery import router
from bilberryglade._routing.tests import samples
from bilberryglade._values import outcomes
from bilberryglade.platform import exchange, front, headers

Header = outcomes.Header
ID = 'r-1'
GOOD = (
    Header(headers.REQUEST_ID, ID),
    Header(headers.SIGNATURE, 's'),
    Header(headers.LOAD, '2,1,3,150'),
)


def answer(
    status: int = 200,
    found: tuple[Header, ...] = GOOD,
) -> outcomes.Answered:
    """Returns a target's answer."""
    return outcomes.Answered(status, found, b'body')


class UnderstoodTests(unittest.TestCase):
    """Answers of targets."""

    def test_meaning(self) -> None:
        """Only a target's own word says that a request did not run."""
        not_run = Header(headers.NOT_RUN, '1')
        other = Header(headers.REQUEST_ID, 'another')
        encoded = Header(headers.CONTENT_ENCODING, 'gzip')
        refused = outcomes.NotRun(outcomes.Reason.target_refused)
        unknown = outcomes.Unknown(outcomes.Reason.answer_lost)
        cases = (
            ('whole', answer(), answer()),
            ('failed', answer(500), answer(500)),
            ('shed', answer(503, (not_run,)), refused),
            ('429 by a target', answer(429, (not_run,)), refused),
            ('503 without the word', answer(503, ()), unknown),
            ('another request', answer(200, (other, *GOOD[1:])), unknown),
            ('two ids', answer(200, (other, *GOOD)), unknown),
            ('no mark', answer(200, GOOD[:1]), unknown),
            ('encoded', answer(200, (*GOOD, encoded)), unknown),
        )
        for name, given, meant in cases:
            with self.subTest(name=name):
                sent = exchange.understood(ID, given)
                self.assertEqual(sent.outcome, meant)

    def test_misdirected(self) -> None:
        """Another target at the address has not run the request."""
        sent = exchange.understood(ID, answer(421, ()))
        self.assertIsInstance(sent.outcome, outcomes.NotRun)
        self.assertTrue(sent.is_misdirected)

    def test_load(self) -> None:
        """Load reports in any state name no load rather than a wrong one."""
        report = exchange.report_of('2,1,3,150')
        assert report is not None
        self.assertEqual((report.running, report.waiting), (2, 1))
        self.assertAlmostEqual(report.slowness, 1.5)
        for text in ('', 'x', '1,2', '1,,2'):
            with self.subTest(text=text):
                self.assertIsNone(exchange.report_of(text))


class ResponseTests(unittest.TestCase):
    """What callers are told."""

    def test_refusals(self) -> None:
        """Statuses that promise 'not run' are for what did not run alone."""
        reason = outcomes.Reason
        cases = (
            (outcomes.NotRun(reason.over_rate), 429),
            (outcomes.NotRun(reason.no_credentials), 401),
            (outcomes.NotRun(reason.no_route), 404),
            (outcomes.NotRun(reason.queue_full), 503),
            (outcomes.NotRun(reason.deadline), 503),
            (outcomes.Unknown(reason.answer_lost), 502),
            (outcomes.Unknown(reason.deadline), 504),
        )
        for outcome, status in cases:
            with self.subTest(outcome=outcome):
                given = front.response_of(
                    samples.incoming(), router.Delivered(outcome)
                )
                self.assertEqual(given.status_code, status)
                self.assertEqual(given.headers[headers.REQUEST_ID], ID)

    def test_answer_unchanged(self) -> None:
        """A target's status, mark and body go on as they are."""
        given = front.response_of(
            samples.incoming(), router.Delivered(answer(500))
        )
        self.assertEqual(given.status_code, 500)
        self.assertEqual(given.headers[headers.SIGNATURE], 's')
        self.assertEqual(given.body, b'body')

    def test_header_in_any_letters(self) -> None:
        """Its bytes go on as they came; an answer is not lost by them."""
        named = Header('x-name', '\u00e9\u4e2d')
        given = front.response_of(
            samples.incoming(), router.Delivered(answer(200, (*GOOD, named)))
        )
        self.assertIn((b'x-name', '\u00e9\u4e2d'.encode()), given.raw_headers)

    def test_length_of_what_has_no_body(self) -> None:
        """HEAD, 204 and 304 name none: it would not be that of a body."""
        cases = (
            ('GET', 200, '4'),
            ('HEAD', 200, ''),
            ('GET', 204, ''),
            ('GET', 304, ''),
        )
        for method, status, length in cases:
            with self.subTest(method=method, status=status):
                asked = samples.incoming()._replace(method=method)
                given = front.response_of(
                    asked, router.Delivered(answer(status))
                )
                told = given.headers.get('content-length', '')
                self.assertEqual(told, length)

    def test_return_time(self) -> None:
        """A refusal tells when to come back, in seconds."""
        refused = router.Delivered(
            outcomes.NotRun(outcomes.Reason.queue_full), retry_after_ms=250
        )
        given = front.response_of(samples.incoming(), refused)
        self.assertEqual(given.headers[headers.RETRY_AFTER], '0.250')
