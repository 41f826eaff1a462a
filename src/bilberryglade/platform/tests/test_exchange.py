"""What the answers of targets mean, and what callers are told."""

import unittest

from starlette import requests

from bilberryglade._delivery import request_sender, router
from bilberryglade._routing import admission
from bilberryglade._routing.tests import samples
from bilberryglade._values import outcomes
from bilberryglade.platform import exchange, front, headers

Header = outcomes.Header
ID = 'r-1'
LOAD = '2,1,3,150'
GOOD = (
    Header(headers.REQUEST_ID, ID),
    Header(headers.SIGNATURE, 's'),
    Header(headers.LOAD, LOAD),
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
            ('shed', answer(503, (GOOD[0], not_run)), refused),
            ('429 by a target', answer(429, (GOOD[0], not_run)), refused),
            ('503 without the word', answer(503, GOOD[:1]), unknown),
            ('marked 503 without it', answer(503), unknown),
            ('marked 429 without it', answer(429), unknown),
            ('marked 408 without it', answer(408), unknown),
            ('404 of its own', answer(404), answer(404)),
            ('marked 421', answer(421), unknown),
            ('marked refusal', answer(503, (*GOOD, not_run)), unknown),
            ('marked 421 with it', answer(421, (*GOOD, not_run)), unknown),
            ('success with it', answer(200, (*GOOD, not_run)), unknown),
            ('failure with it', answer(500, (*GOOD, not_run)), unknown),
            ('bare 200 with it', answer(200, (GOOD[0], not_run)), unknown),
            ('bare 500 with it', answer(500, (GOOD[0], not_run)), unknown),
            ('another request', answer(200, (other, *GOOD[1:])), unknown),
            ('two ids', answer(200, (other, *GOOD)), unknown),
            ('no id', answer(200, GOOD[1:]), unknown),
            ('no mark', answer(200, GOOD[:1]), unknown),
            ('encoded', answer(200, (*GOOD, encoded)), unknown),
        )
        for name, given, meant in cases:
            with self.subTest(name=name):
                sent = exchange.understood(ID, given).exchange
                self.assertEqual(sent.outcome, meant)

    def test_refusals(self) -> None:
        """A request's own refusal tells of its target, and why it refused."""
        not_run = Header(headers.NOT_RUN, '1')
        reason = outcomes.Reason
        cases = (
            (503, reason.target_refused, (True, False)),
            (429, reason.target_refused, (False, False)),
            (400, reason.target_refused, (False, False)),
            (421, reason.not_owner, (False, True)),
        )
        for status, why, told in cases:
            with self.subTest(status=status):
                given = answer(status, (GOOD[0], not_run, GOOD[2]))
                sent = exchange.understood(ID, given).exchange
                self.assertEqual(sent.outcome, outcomes.NotRun(why))
                self.assertEqual((sent.is_shed, sent.is_misdirected), told)
                self.assertEqual(sent.report, exchange.report_of(LOAD))

    def test_answer_to_another_request_tells_nothing(self) -> None:
        """It is no refusal, no owner's word, and no report on load."""
        other = Header(headers.REQUEST_ID, 'another')
        rest = (Header(headers.NOT_RUN, '1'), *GOOD[1:])
        lost = outcomes.Unknown(outcomes.Reason.answer_lost)
        for status in (200, 400, 421, 429, 500, 503):
            for ids in ((), (other,), (GOOD[0], other), (GOOD[0], GOOD[0])):
                with self.subTest(status=status, ids=ids):
                    sent = exchange.understood(
                        ID, answer(status, (*ids, *rest))
                    ).exchange
                    self.assertEqual(sent, request_sender.ExchangeResult(lost))

    def test_misdirected(self) -> None:
        """Another target at the address has not run the request."""
        sent = exchange.understood(ID, answer(421, GOOD[:1])).exchange
        self.assertIsInstance(sent.outcome, outcomes.NotRun)
        self.assertTrue(sent.is_misdirected)

    def test_leaving(self) -> None:
        """Only the one text of a target's own answer says that it leaves."""
        told = Header(headers.LEAVING, '1')
        cases = (
            ('good', answer(200, (*GOOD, told)), True),
            ('failed', answer(500, (*GOOD, told)), True),
            ('refused', answer(503, (*GOOD, told)), True),
            ('of two texts', answer(200, (*GOOD, Header('x', ''), told)), True),
            ('other text', answer(200, (*GOOD, Header(told.name, '0'))), False),
            ('no word', answer(), False),
            ('another request', answer(200, (*GOOD[1:], told)), False),
            ('another target', answer(421, (GOOD[0], told)), False),
        )
        for name, given, is_leaving in cases:
            with self.subTest(name=name):
                sent = exchange.understood(ID, given).exchange
                self.assertEqual(sent.is_leaving, is_leaving)

    def test_hold(self) -> None:
        """Seconds with or without a fraction; of several the longest."""
        longest = exchange.LONGEST_HOLD_SECONDS
        date = 'Sat, 05 Dec 2026 10:00:00 GMT'
        cases = (
            ((), 0, False),
            (('2',), 2, False),
            (('1.25',), 1.25, False),
            ((' 3 ',), 3, False),
            (('0',), 0, False),
            (('999999999',), longest, False),
            (('9' * 400,), 0, True),
            (('-1',), 0, True),
            (('+1',), 0, True),
            (('1e3',), 0, True),
            (('inf',), 0, True),
            (('nan',), 0, True),
            (('',), 0, True),
            (('\u0662',), 0, True),
            ((date,), 0, True),
            (('1', '4', '2'), 4, False),
            (('1', date), 1, True),
        )
        for texts, seconds, is_odd in cases:
            with self.subTest(texts=texts):
                self.assertEqual(
                    exchange.hold_of(texts), exchange.Hold(seconds, is_odd)
                )

    def test_hold_of_refusals_alone(self) -> None:
        """Other statuses say nothing of the time, nor do other targets."""
        told = Header(headers.RETRY_AFTER, '2')
        held = {
            status: exchange.understood(
                ID, answer(status, (GOOD[0], told))
            ).exchange.hold_seconds
            for status in (200, 421, 429, 500, 503)
        }
        self.assertEqual(
            held, dict.fromkeys((200, 421, 429, 500), 0) | {503: 2}
        )

    def test_load(self) -> None:
        """Load reports in any state name no load rather than a wrong one."""
        report = exchange.report_of(LOAD)
        assert report is not None
        self.assertEqual((report.running, report.waiting), (2, 1))
        self.assertAlmostEqual(report.slowness, 1.5)
        odd = (
            'inf,0,8',
            '0,inf,8',
            '3,0,8,inf',
            '3,0,8,nan',
            'nan,0,8',
            '1e400,0,8',
            f'{"9" * 400},0,8',
            '3,0,8,-100',
            '-3,0,8',
        )
        for text in ('', 'x', '1,2', '1,,2', *odd):
            with self.subTest(text=text):
                self.assertIsNone(exchange.report_of(text))


class RequestTests(unittest.TestCase):
    """What callers send."""

    def incoming(self, name: str, text: bytes) -> admission.Incoming | None:
        """Returns a request with one header besides its host."""
        scope = {
            'type': 'http',
            'method': 'GET',
            'path': '/',
            'raw_path': b'/',
            'query_string': b'',
            'headers': [(b'host', b'h'), (name.encode(), text)],
        }
        return front.incoming_of(requests.Request(scope), b'', arrived_at=10)

    def test_deadlines(self) -> None:
        """A deadline that is no time would be a fault while it is served."""
        sound = {b'2000': 2, b'1500.5': 1.5005, b'-1': 0, b'99999999999': 1e8}
        for text, seconds in sound.items():
            with self.subTest(text=text):
                request = self.incoming(headers.DEADLINE, text)
                assert request is not None
                assert request.patience is not None
                self.assertAlmostEqual(request.patience, seconds, places=0)
        for text in (b'nan', b'inf', b'-inf', b'1e400', b'9' * 400, b'soon'):
            with self.subTest(text=text):
                self.assertIsNone(self.incoming(headers.DEADLINE, text))

    def test_routing_keys(self) -> None:
        """Only the keys that there are."""
        odd = (b'65536', b'-1', b'1.5', b'nan', b'9' * 9999, b'\xb2', b'\xff')
        for text in odd:
            with self.subTest(text=text):
                self.assertIsNone(self.incoming(headers.ROUTING_KEY, text))
        request = self.incoming(headers.ROUTING_KEY, b'65535')
        assert request is not None
        self.assertEqual(request.routing_key, 65535)


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
                    samples.incoming(), router.DeliveryResult(outcome)
                )
                self.assertEqual(given.status_code, status)
                self.assertEqual(given.headers[headers.REQUEST_ID], ID)

    def test_answer_unchanged(self) -> None:
        """A target's status, mark and body go on as they are."""
        given = front.response_of(
            samples.incoming(), router.DeliveryResult(answer(500))
        )
        self.assertEqual(given.status_code, 500)
        self.assertEqual(given.headers[headers.SIGNATURE], 's')
        self.assertEqual(given.body, b'body')

    def test_header_in_any_letters(self) -> None:
        """Its bytes go on as they came; an answer is not lost by them."""
        raw = '\u00e9\u4e2d'.encode()
        named = Header('x-name', raw.decode('latin-1'))
        given = front.response_of(
            samples.incoming(),
            router.DeliveryResult(answer(200, (*GOOD, named))),
        )
        self.assertIn((b'x-name', raw), given.raw_headers)

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
                    asked, router.DeliveryResult(answer(status))
                )
                told = given.headers.get('content-length', '')
                self.assertEqual(told, length)

    def test_return_time(self) -> None:
        """A refusal tells when to come back, in seconds."""
        refused = router.DeliveryResult(
            outcomes.NotRun(outcomes.Reason.queue_full), retry_after_ms=250
        )
        given = front.response_of(samples.incoming(), refused)
        self.assertEqual(given.headers[headers.RETRY_AFTER], '0.250')
