"""Answers of the log with a record that nobody can read."""

import json
import typing
import unittest
from unittest import mock

import hypothesis
import result
from hypothesis import strategies

from bilberryglade._codec import codec
from bilberryglade._log import answers, follower, log_client
from bilberryglade._state.tests import test_folding

DEPTH: typing.Final = 60_000
DEEP_MAP: typing.Final = '{"a":'
PLACEHOLDER: typing.Final = '"here"'
OK_STATUS: typing.Final = 200
#: JSON that stands for a whole record, or for a field of one.
ODD: typing.Final = {  # noqa: WPS407
    'deep': f'{"[" * DEPTH}1{"]" * DEPTH}',
    'deep maps': f'{DEEP_MAP * DEPTH}1{"}" * DEPTH}',
    'deeper than records may be': f'{"[" * 60}1{"]" * 60}',
    'number beyond 64 bits': '18446744073709551616',
    'number without end': '1e999',
    'number of digits': '9' * 9999,
    'half a pair': r'"\udcff"',
}
SETTINGS: typing.Final = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150
)


def answer_with(odd: str) -> bytes:
    """Returns an answer of three records, of which the second is odd."""
    records = [
        {'offset': 1, 'record': test_folding.key_issued('a')},
        {'offset': 2, 'record': 'here'},
        {'offset': 3, 'record': test_folding.key_issued('b')},
    ]
    answer = json.dumps({'records': records, 'head': 3, 'oldest': 1})
    return answer.replace(PLACEHOLDER, odd).encode()


def log_of(*bodies: bytes | Exception) -> log_client.LogClient:
    """Returns a client whose log answers so."""
    replies: list[object] = [
        body
        if isinstance(body, Exception)
        else mock.Mock(
            status_code=OK_STATUS, content=mock.AsyncMock(return_value=body)
        )
        for body in bodies
    ]
    http = mock.Mock(request=mock.AsyncMock(side_effect=replies))
    return log_client.LogClient('http://127.0.0.1:1', http)


class FollowerTests(unittest.IsolatedAsyncioTestCase):
    """A follower passes over the record, and reads on."""

    async def test_odd_records(self) -> None:
        """It keeps its offset, which every instance counts."""
        for name, odd in ODD.items():
            for record in (odd, f'{{"id":"r","kind":"x","odd":{odd}}}'):
                with self.subTest(name=name, record=record[:20]):
                    reader = follower.Follower(log_of(answer_with(record)), 0)
                    self.assertTrue(await reader.read_once(0))
                    self.assertEqual(reader.view.offset, 3)
                    self.assertEqual(len(reader.view.api_keys), 2)
                    accepted = {
                        name
                        for name, verdict in reader.view.verdicts.items()
                        if verdict.accepted
                    }
                    self.assertEqual(accepted, {'issue-a', 'issue-b'})

    async def test_the_same_alone_and_together(self) -> None:
        """What a record makes of the state is no matter of its answer."""
        many = answer_with(ODD['number without end'])
        for name, odd in ODD.items():
            record = f'{{"id":"r","kind":"x","odd":{odd}}}'
            with self.subTest(name=name):
                alone = answers.read(answer_with(record)).unwrap()
                both = many.replace(b'1e999', record.encode())
                both = both.replace(b'"issue-a"', b'1e999')
                apart = answers.read(both).unwrap()
                self.assertEqual(alone['records'][1:], apart['records'][1:])

    async def test_odd_answers(self) -> None:
        """An answer that is none is a failure, and not the last read."""
        whole = answer_with('{}')
        odd: tuple[bytes | Exception, ...] = (
            b'',
            b'null',
            b'[' * DEPTH,
            whole[:-1],
            b'{"records":5,"head":1,"oldest":1}',
            b'{"records":[{"offset":"x","record":{}}],"head":1,"oldest":1}',
            ValueError('malformed status line'),
            EOFError(),
        )
        for body in odd:
            with self.subTest(body=str(body)[:20]):
                reader = follower.Follower(log_of(body, whole), 0)
                self.assertFalse(await reader.read_once(0))
                self.assertTrue(await reader.read_once(0))
                self.assertEqual(reader.view.offset, 3)


class FuzzTests(unittest.TestCase):
    """Answers that nobody meant."""

    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(
                ('{', '}', '[', ']', '"', '\\', ',', ':', '1', 'e9', 'null')
            ),
            max_size=30,
        ).map(''.join),
    )
    def test_any_json(self, text: str) -> None:
        """Cut, changed, or something else altogether."""
        for raw in (text.encode(), answer_with(text)):
            read = answers.read(raw)
            self.assertIsInstance(read, (result.Ok, result.Err))
            codec.flattened(raw, most_depth=5)

    def test_flat_json_stays(self) -> None:
        """Nothing is taken out of what is no deeper than it may be."""
        plain = {'a': ['[{', {'b"]': '"['}], 'c': {}}
        raw = json.dumps(plain).encode()
        self.assertEqual(codec.flattened(raw, most_depth=5), raw)
