"""Requests to the API of which nothing can be made are refused."""

import asyncio
import typing
import unittest
from urllib import parse as urls

import hypothesis
import msgspec
import result
from hypothesis import strategies
from starlette import requests

from bilberryglade._admin import decoding
from bilberryglade._codec import codec
from bilberryglade._operations import operations, rules, status

REGISTERED: typing.Final = (rules, status)
DEPTH: typing.Final = 60_000
SETTINGS: typing.Final = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=100
)
FIELDS: typing.Final = strategies.sampled_from(
    ('text', 'based_on', 'by', 'name', 'target', 'failure_domain', 'revision')
)
LEAVES: typing.Final = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(strategies.characters(exclude_categories=['Cs']))
)
ANYTHING: typing.Final = strategies.recursive(
    LEAVES,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(FIELDS, inner, max_size=3)
    ),
    max_leaves=5,
)


def read(
    operation: operations.Operation,
    body: bytes,
    query: str = '',
) -> decoding.Decoded:
    """Returns what is made of a request."""

    async def receive() -> dict[str, typing.Any]:  # noqa: WPS430
        return {'type': 'http.request', 'body': body, 'more_body': False}

    scope = {
        'type': 'http',
        'method': operation.method,
        'path': operation.path,
        'query_string': query.encode(),
        'headers': [],
        'path_params': {},
    }
    request = requests.Request(scope, receive)
    return asyncio.run(decoding.read_request(operation, request))


class OddRequestTests(unittest.TestCase):
    """Bodies and queries of operators, or of somebody else."""

    def setUp(self) -> None:
        """Publishes rules."""
        self.publish = operations.operations.entries['rules_publish']

    def test_odd_bodies(self) -> None:
        """They are refused as invalid, never a fault of the program."""
        odd = {
            'bytes': b'\xff',
            'deep': _body(b'%s1%s' % (b'[' * DEPTH, b']' * DEPTH)),
            'deeper than code recurs': _body(
                b'%s1%s' % (b'[' * 400, b']' * 400)
            ),
            'number of digits': _body(b'9' * 400),
            'number beyond 64 bits': _body(b'18446744073709551616'),
            'number without end': _body(b'1e999'),
            'half a pair': _body(rb'"\uD800"'),  # noqa: WPS439
            'list': b'[]',
        }
        self.assertIsInstance(read(self.publish, _body(b'5')), result.Ok)
        for name, body in odd.items():
            with self.subTest(name=name):
                self.assertIsInstance(read(self.publish, body), result.Err)

    def test_numbers_in_queries(self) -> None:
        """More digits than a number has stay a text, which is refused."""
        body = b'{"by":"office","text":""}'
        good = read(self.publish, body, 'based_on=5')
        self.assertIsInstance(good, result.Ok)
        for text in ('9' * 19, '9' * 9999, '-1', '1e9', '\N{SUPERSCRIPT TWO}'):
            with self.subTest(text=text[:20]):
                query = urls.urlencode({'based_on': text})
                refused = read(self.publish, body, query)
                self.assertIsInstance(refused, result.Err)


class FuzzTests(unittest.TestCase):
    """Whatever is taken can be written into the log."""

    @SETTINGS
    @hypothesis.given(
        strategies.dictionaries(FIELDS, ANYTHING, max_size=4),
        strategies.dictionaries(
            FIELDS, strategies.text('0129-\N{SUPERSCRIPT TWO}x')
        ),
    )
    def test_any_fields(
        self,
        fields: dict[str, typing.Any],
        query: dict[str, str],
    ) -> None:
        """Fields of other types, in the body and in the query."""
        body = msgspec.json.encode(fields)
        for operation in operations.operations.entries.values():
            taken = read(operation, body, urls.urlencode(query))
            if isinstance(taken, result.Ok):
                codec.encode_packed(taken.ok_value)

    @SETTINGS
    @hypothesis.given(strategies.binary())
    def test_any_bytes(self, body: bytes) -> None:
        """Raw bytes."""
        for operation in operations.operations.entries.values():
            read(operation, body)


def _body(based_on: bytes) -> bytes:
    return b'{"by":"office","text":"","based_on":%s}' % based_on
