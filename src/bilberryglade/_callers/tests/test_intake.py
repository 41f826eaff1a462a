"""Tests of keys, headers and paths that callers send."""

import base64
import unittest

import result

from bilberryglade._callers import (
    credentials,
    forwarding,
    idempotency,
    intake,
    request_line,
)
from bilberryglade._values import outcomes
from bilberryglade_lab.fakes import caller_front

SECRET = caller_front.SECRET
BAD = outcomes.Reason.bad_request


def _headers(*rows: tuple[str, str]) -> tuple[outcomes.Header, ...]:
    return tuple(outcomes.Header(name.lower(), text) for name, text in rows)


def _accept(
    path: str = '/ledger/child',
    query: str = '',
    headers: tuple[tuple[str, str], ...] = caller_front.NAMED,
    method: str = 'GET',
) -> result.Result[intake.Accepted, outcomes.Reason]:
    raw = intake.Raw(method, path, query, _headers(*headers))
    view = caller_front.Fake().view
    return intake.identify(view, raw.headers).and_then(
        lambda caller: intake.accept(view, caller, raw, 5),
    )


class KeyTest(unittest.TestCase):
    """API keys: which count, and that no target sees one."""

    def test_places(self) -> None:
        """One key in a known header counts; two differing are refused."""
        bearer = ('Authorization', f'bEaReR {SECRET} ')
        plain = ('X-API-KEY', SECRET)
        cases = (
            ((bearer,), result.Ok(SECRET)),
            ((('x_api_key', SECRET),), result.Ok(SECRET)),
            ((bearer, plain, plain), result.Ok(SECRET)),
            ((bearer, ('X-Api-Key', 'other')), result.Err(BAD)),
            (
                (bearer, ('Authorization', 'Bearer other')),
                result.Err(BAD),
            ),
            (
                (('Proxy-Authorization', f'Bearer {SECRET}'),),
                result.Err(outcomes.Reason.no_credentials),
            ),
        )
        for rows, wanted in cases:
            with self.subTest(rows):
                found = credentials.find_secret(_headers(*rows))
                self.assertEqual(found, wanted)

    def test_no_target_sees_it(self) -> None:
        """No spelling of the key, in whatever header, is forwarded."""
        encoded = base64.b64encode(f'user:{SECRET}'.encode()).decode()
        rows = (
            ('AUTHORIZATION', f'Bearer {SECRET}'),
            ('Authorization', 'Bearer another'),
            ('X_Api_Key', SECRET),
            ('Proxy-Authorization', 'Basic any'),
            ('Cookie', f'session=1; key={SECRET}'),
            ('Referer', f'http://portal/?key={SECRET.replace("-", "%2D")}'),
            ('X-Copy', SECRET.upper()),
            ('X-Basic', f'Basic {encoded}'),
            (SECRET, 'yes'),
            ('Accept', 'text/plain'),
        )
        kept = forwarding.to_target(_headers(*rows), SECRET)
        self.assertEqual(kept, _headers(('accept', 'text/plain')))

    def test_key_in_line(self) -> None:
        """A key in the path or query string is refused."""
        cases = (
            ('/ledger/child', f'token={SECRET}'),
            ('/ledger/child', f'a=1&t={SECRET.replace("-", "%2D")}'),
            ('/ledger/child', 'API_KEY=whatever'),
            (f'/ledger/{SECRET}', ''),
            (f'/ledger/{SECRET.replace("s", "%73")}', ''),
        )
        for path, query in cases:
            with self.subTest(path=path, query=query):
                self.assertEqual(_accept(path, query), result.Err(BAD))

    def test_key_of_another_in_line(self) -> None:
        """Any key that is known is refused in the query string."""
        view = caller_front.Fake().view
        line = ('/ledger/child', f'x={SECRET}')
        self.assertTrue(credentials.is_in_line(view, 'other', *line))
        self.assertFalse(credentials.is_in_line(view, 'other', '/a', 'x=1'))


class HeaderTest(unittest.TestCase):
    """Headers that callers forge, and those that belong to one hop."""

    def test_forged_headers(self) -> None:
        """Neither callers nor targets pass on what the router writes."""
        for name in sorted(forwarding.INTERNAL | forwarding.OVERRIDES):
            for spelling in (name, name.upper(), name.replace('-', '_')):
                with self.subTest(spelling):
                    rows = _headers((spelling, '1'))
                    self.assertEqual(forwarding.to_target(rows, SECRET), ())
                    self.assertEqual(
                        forwarding.to_caller(rows),
                        (forwarding.NO_STORE,),
                    )

    def test_hop_by_hop(self) -> None:
        """Headers named by `Connection` end here."""
        rows = _headers(
            ('Connection', 'close, X-Hop'),
            ('X-Hop', '1'),
            ('Transfer-Encoding', 'chunked'),
            ('X-End', '2'),
        )
        kept = forwarding.to_target(rows, SECRET)
        self.assertEqual(kept, _headers(('x-end', '2')))

    def test_caching_of_the_target(self) -> None:
        """A target's own word on caching stands."""
        rows = _headers(('cache-control', 'private'))
        self.assertEqual(forwarding.to_caller(rows), rows)

    def test_framing_and_injection(self) -> None:
        """Double framing and control characters are refused."""
        cases = (
            (('Content-Length', '1'), ('Content-Length', '1')),
            (('Content-Length', '1'), ('Transfer-Encoding', 'chunked')),
            (('X-Note', 'a\r\nGrant-Fence: 9'),),
            (('X-Note', 'a\x00'),),
        )
        for rows in cases:
            with self.subTest(rows):
                headers = (*caller_front.NAMED, *rows)
                self.assertEqual(_accept(headers=headers), result.Err(BAD))


class PathTest(unittest.TestCase):
    """Spellings of a path."""

    def test_spellings(self) -> None:
        """One form for what is the same; the ambiguous is refused."""
        cases = {
            '/ledger/%63hild': '/ledger/child',
            '/ledger/%c3%a9': '/ledger/%C3%A9',
            '/ledger/a%20b/': '/ledger/a%20b/',
            '/': '/',
        }
        for path, wanted in cases.items():
            with self.subTest(path):
                line = request_line.read_line('GET', path, '', ())
                self.assertEqual(line.unwrap().path, wanted)
        refused = (
            '/ledger/../claims',
            '/ledger/%2e%2E/claims',
            '//claims',
            '/ledger//x',
            '/ledger/a%2Fb',
            '/ledger/a%5cb',
            r'/ledger/a\b',
            '/ledger/%0d%0aGrant-Fence:9',
            '/ledger/%zz',
            '/ledger/\xe9',
            '*',
        )
        for path in refused:
            with self.subTest(path):
                self.assertEqual(
                    request_line.read_line('GET', path, '', ()),
                    result.Err(BAD),
                )

    def test_escaped_once_route(self) -> None:
        """An escaped letter does not get round the rule on repeats."""
        accepted = _accept('/cl%61ims', method='POST').unwrap()
        self.assertFalse(accepted.route.repeatable)

    def test_unsafe_routing_key(self) -> None:
        """A key that could not stand in a header is refused."""
        self.assertEqual(_accept('/ledger/%C3%A9'), result.Err(BAD))


class NameTest(unittest.TestCase):
    """Digests of idempotency keys."""

    def test_digests_differ(self) -> None:
        """Organisation, service and key all count, and do not run together."""
        cases = (
            ('press', 'claims', 'a'),
            ('press', 'billing', 'a'),
            ('paper', 'claims', 'a'),
            ('press', 'claims', 'b'),
            ('pressc', 'laims', 'a'),
        )
        digests = {
            idempotency.digest_for(
                organisation, service, _headers(('idempotency-key', key))
            ).unwrap()
            for organisation, service, key in cases
        }
        self.assertEqual(len(digests), len(cases))
