"""Any text at all is a rule book or a list of errors."""

import typing
import unittest

import hypothesis
import result
from hypothesis import strategies

from bilberryglade._rules import reader

WORDS: typing.Final = (
    'service',
    'allow',
    'open',
    'once',
    'path',
    'key',
    'header',
    'to',
    'rate',
    '1/s',
    'burst',
    '9' * 5000,
    '1e999',
    'nan',
    '\N{SUPERSCRIPT TWO}',
    '\ufffd',
    '/a',
    '#',
    '# by',
    '\n',
    '\x85',
)


class FuzzTests(unittest.TestCase):
    """Rules that nobody meant."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(WORDS) | strategies.text(max_size=5),
            max_size=12,
        ).map(' '.join),
    )
    @hypothesis.example('allow a to b rate 999999999/s burst 9999999999 # by')
    def test_any_text(self, text: str) -> None:
        """Words of the language in any order, and others."""
        read = reader.read_rules(text)
        self.assertIsInstance(read, (result.Ok, result.Err))
