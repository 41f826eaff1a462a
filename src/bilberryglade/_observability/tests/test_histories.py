"""From a request's id to its cause, over recorded lines."""

import json
import typing
import unittest

from bilberryglade._observability import histories


def line(
    time: str,
    event: str,
    instance: str = 'e1',
    **fields: typing.Any,
) -> str:
    """Returns a line as an instance writes it."""
    return json.dumps(
        {
            'time': f'2026-03-17T02:13:{time}+00:00',
            'level': 'INFO',
            'instance': instance,
            'event': event,
            **fields,
        },
    )


def request(time: str, name: str, **fields: typing.Any) -> str:
    """Returns the line of a request."""
    usual = {
        'request': name,
        'service': 's',
        'key': 40,
        'targets': ['t1'],
        'status': 200,
        'ms': 100,
        'configuration': 7,
    }
    return line(time, 'request', **{**usual, **fields})


TEXT: typing.Final = (
    line('01.000', 'configuration 6 in force, offset 0'),
    line('02.000', 'configuration 7 in force, offset 3'),
    line('02.100', 'configuration 7 in force, offset 3', 'e2'),
    line('03.000', 'keys 0-99 of s to t0 fence 4', 'e3'),
    line('04.000', 'keys 0-49 of s to t1 fence 6', 'e3'),
    line('04.000', 'keys 0-49 of r to t2 fence 6', 'e3'),
    line('05.000', 'coordinator known: e3 term 1'),
    line('06.000', 'store gives no answer: targets, refused'),
    request('08.150', 'beside', instance='e2'),
    request('08.000', 'before', instance='e2'),
    request(
        '08.200', 'wanted', ms=90, sends=[{'connection': 3}, {'connection': 0}]
    ),
    line('08.300', 'bytes after a whole answer', connection=3),
    line('08.300', 'bytes after a whole answer', 'e2', connection=3),
    line('08.300', 'bytes after a whole answer', connection=4),
    request('08.250', 'elsewhere', targets=['t2']),
    line('08.900', 'grant of 0-49 at t1 not confirmed: unclear', 'e3'),
    line('30.000', 'grant of 0-49 at t1 not confirmed: unclear', 'e3'),
    line('09.000', 'keys 0-99 of s to t9 fence 8', 'e3'),
)


class ExplainTests(unittest.TestCase):
    """What is found for one request."""

    def told(self, name: str) -> list[tuple[str, str]]:
        """Returns the findings on a request with the events' words."""
        parsed = [histories.parse(f'out| {text}') for text in TEXT]
        lines = [one for one in parsed if one is not None]
        self.assertEqual(len(lines), len(TEXT))
        return [
            (one.finding, one.line.fields.get('request') or one.line.event)
            for one in histories.explain(lines, name)
        ]

    def test_life_of_a_request(self) -> None:
        """Its line, and what was believed at that moment, in order."""
        self.assertEqual(
            self.told('wanted'),
            [
                ('configuration', 'configuration 7 in force, offset 3'),
                ('owner', 'keys 0-49 of s to t1 fence 6'),
                ('dependency', 'coordinator known: e3 term 1'),
                ('dependency', 'store gives no answer: targets, refused'),
                ('at the same target', 'beside'),
                ('request', 'wanted'),
                ('connection', 'bytes after a whole answer'),
                ('target', 'grant of 0-49 at t1 not confirmed: unclear'),
            ],
        )

    def test_unknown_id(self) -> None:
        """Nothing is told of a request that no line names."""
        self.assertEqual(self.told('nobody'), [])

    def test_other_lines(self) -> None:
        """What is no line of an instance is passed over."""
        for text in ('', 'started', '{"time": 3}', '{broken', '{"a": 1}'):
            with self.subTest(text=text):
                self.assertIsNone(histories.parse(text))
