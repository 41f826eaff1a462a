"""Parts of states of which nothing can be made."""

import typing
import unittest
import zlib
from unittest import mock

import hypothesis
from hypothesis import strategies

from bilberryglade._codec import values
from bilberryglade._log import chunks
from bilberryglade._state.tests import test_folding

SETTINGS: typing.Final = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150
)


class PartTests(unittest.TestCase):
    """Parts of states that others have written."""

    def test_odd_bodies(self) -> None:
        """Text that is no base 64, also beyond ASCII."""
        whole = chunks.split(test_folding.fold_all([]))[0]
        record = chunks.record_of(whole, 'e1', 'r')
        for body in ('%', '\N{SUPERSCRIPT TWO}', 'eA', '='):
            with self.subTest(body=body):
                self.assertIsNone(chunks.part_of({**record, 'body': body}))

    def test_states_without_end(self) -> None:
        """A few bytes may stand for many; these are not unpacked."""
        raw = zlib.compress(bytes(100_000))
        part = chunks.cut(5, raw, len(raw))[0]
        few = mock.patch.object(chunks, 'MOST_STATE_BYTES', 1000)
        with few, mock.patch.object(values, 'decode_value') as decode:
            self.assertIsNone(chunks.join({0: part}))
            decode.assert_not_called()

    @SETTINGS
    @hypothesis.given(strategies.binary())
    def test_any_bytes(self, body: bytes) -> None:
        """Whatever was packed, or not, is a state or none."""
        for raw in (body, zlib.compress(body)):
            part = chunks.cut(5, raw, max(len(raw), 1))
            if part:
                self.assertIsNone(chunks.join({0: part[0]}))
