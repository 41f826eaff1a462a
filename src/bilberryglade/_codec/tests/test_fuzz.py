"""Any bytes at all are decoded or are a value that says why not."""

import typing
import unittest

import hypothesis
import msgspec
import result
from hypothesis import strategies

from bilberryglade._codec import codec, values
from bilberryglade._codec.tests import test_codec

SETTINGS: typing.Final = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150
)
LEAVES: typing.Final = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.text(strategies.characters(exclude_categories=['Cs']))
    | strategies.binary()
)
KEYS: typing.Final = strategies.sampled_from(('name', 'number', 'counts', 'x'))
#: Anything that can be encoded.
PLAIN: typing.Final = strategies.recursive(
    LEAVES,
    lambda inner: (
        strategies.lists(inner) | strategies.dictionaries(KEYS, inner)
    ),
    max_leaves=12,
)
KINDS: typing.Final = (test_codec.Noted, dict[str, typing.Any], object)
OUTCOMES: typing.Final = (result.Ok, result.Err)


class FuzzTests(unittest.TestCase):
    """Decoders under bytes that nobody meant for them."""

    @SETTINGS
    @hypothesis.given(strategies.binary())
    @hypothesis.example(b'a: !!timestamp x')
    @hypothesis.example(b'a: !!int ""')
    def test_any_bytes(self, raw: bytes) -> None:
        """Raw bytes."""
        self.check(raw)

    @SETTINGS
    @hypothesis.given(PLAIN, strategies.integers(0, 200))
    def test_cut_messages(self, plain: typing.Any, size: int) -> None:
        """Messages of another kind, whole and cut."""
        for raw in (msgspec.msgpack.encode(plain), msgspec.json.encode(plain)):
            self.check(raw)
            self.check(raw[:size])

    @SETTINGS
    @hypothesis.given(PLAIN)
    def test_plain_data(self, plain: typing.Any) -> None:
        """Data that were decoded before."""
        for kind in KINDS:
            self.assertIsInstance(codec.convert(plain, kind), OUTCOMES)

    def check(self, raw: bytes) -> None:
        """Decodes bytes in every way there is."""
        decoders = (codec.decode_json, codec.decode_packed, codec.decode_yaml)
        for decode in decoders:
            for kind in KINDS:
                self.assertIsInstance(decode(raw, kind), OUTCOMES)
        self.assertIsInstance(codec.decode_open_json(raw), OUTCOMES)
        value = values.decode_value(raw, test_codec.Kept)
        self.assertIsInstance(value, OUTCOMES)
