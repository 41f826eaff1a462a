"""Bytes that cannot be read are values, whatever is wrong with them."""

import json
import typing
import unittest

import immutables
import msgspec
import result

from bilberryglade._codec import codec, values

DEPTH: typing.Final = 60_000
LONE_SURROGATE: typing.Final = 0xD800
PACKED_LIST: typing.Final = b'\x91'


class Noted(typing.TypedDict):
    """A message with a field that is not bounded."""

    name: str
    number: typing.NotRequired[int]


class Kept(typing.NamedTuple):
    """A value with a map."""

    counts: immutables.Map[str, int] = immutables.Map()


class ForeignBytesTests(unittest.TestCase):
    """What others wrote never raises."""

    def test_json(self) -> None:
        """Unknown fields count as well: they are skipped, not ignored."""
        cases = {
            'empty': b'',
            'deep unknown field': b'{"name":"a","x":%s1%s}'
            % (b'[' * DEPTH, b']' * DEPTH),
            'deep and cut': b'{"x":' * DEPTH,
            'deep map': b'{"name":%s1%s}' % (b'{"a":' * DEPTH, b'}' * DEPTH),
            'large float': b'{"name":"a","number":1e999}',
            'half a pair': json.dumps({'name': chr(LONE_SURROGATE)}).encode(),
            'no text': b'{"name":"\xed\xa0\x80"}',
            'bytes': b'\xff\x00',
        }
        for name, raw in cases.items():
            with self.subTest(name=name):
                decoded = codec.decode_json(raw, Noted)
                self.assertIsInstance(decoded, result.Err)

    def test_packed(self) -> None:
        """Lengths that are told and not kept count as well."""
        named = b'\x82\xa4name\xa1a\xa1x%s'
        cases = {
            'empty': b'',
            'deep unknown field': named % (PACKED_LIST * DEPTH),
            'long list': named % b'\xdd\xff\xff\xff\xff',
            'long map': named % b'\xdf\xff\xff\xff\xff',
            'long text': named % b'\xdb\xff\xff\xff\xff',
            'no text': b'\x81\xa4name\xa2\xed\xa0',
            'map as a key': b'\x81\x81\x01\x01\x01',
        }
        for name, raw in cases.items():
            with self.subTest(name=name):
                for kind in (Noted, dict[str, object]):
                    decoded = codec.decode_packed(raw, kind)
                    self.assertIsInstance(decoded, result.Err)
                value = values.decode_value(raw, Kept)
                self.assertIsInstance(value, result.Err)

    def test_yaml(self) -> None:
        """Neither aliases nor tags reach what reads the document."""
        laughs = b'a: &a [x]\nb: [%s]' % (b'*a,' * 9)
        cases = {
            'aliases': laughs,
            'list within itself': b'a: &a [*a]',
            'deep': b'%s%s' % (b'[' * 900, b']' * 900),
            'deep and cut': b'[' * DEPTH,
            'deep block': b'- ' * DEPTH,
            'long integer': b'a: 0x%s' % (b'f' * 10_000),
            'long decimal': b'a: %s' % (b'9' * 10_000),
            'date': b'a: 2001-99-99',
            'tag': b'a: !!python/object:os.system x',
            'list as a key': b'? [1]\n: 2',
            'bytes': b'\xff\xfe\x00',
        }
        for name, raw in cases.items():
            with self.subTest(name=name):
                decoded = codec.decode_yaml(raw, object)
                self.assertIsInstance(decoded, result.Err)

    def test_plain_data(self) -> None:
        """Data that were decoded without a type are as foreign as bytes."""
        cases: dict[str, tuple[object, typing.Any]] = {
            'large number': ({'name': 'a', 'x': 2**2000}, dict[str, float]),
            'wrong type': ({'name': 1}, Noted),
        }
        for name, (plain, kind) in cases.items():
            with self.subTest(name=name):
                self.assertIsInstance(codec.convert(plain, kind), result.Err)

    def test_depth_of_open_messages(self) -> None:
        """A map of unknown fields is no deeper than code may recur over."""
        for depth, is_read in ((40, True), (60, False), (DEPTH, False)):
            raw = b'{"a":%s1%s}' % (b'[' * depth, b']' * depth)
            with self.subTest(depth=depth):
                decoded = codec.decode_open_json(raw)
                self.assertEqual(isinstance(decoded, result.Ok), is_read)

    def test_details_are_short(self) -> None:
        """What is wrong with a message is not a copy of it."""
        raw = msgspec.json.encode({'kind': 'x' * 100_000})
        decoded = codec.decode_json(raw, dict[str, typing.Literal['a']])
        self.assertLessEqual(
            len(decoded.unwrap_err().detail), codec.DETAIL_CHARACTERS
        )

    def test_unsound_types_raise(self) -> None:
        """A type that nothing can be read into is a fault of this program."""
        with self.assertRaises(TypeError):
            codec.decode_json(b'{}', typing.cast(type[object], 5))

    def test_texts(self) -> None:
        """Numbers in headers are as foreign as those in messages."""
        kind = typing.Annotated[float, msgspec.Meta(ge=0, le=100)]
        for text in ('inf', 'nan', '-1', '1e400', '9' * 9999, 'x', '', '1_0'):
            with self.subTest(text=text):
                decoded = codec.convert_texts(text, kind)
                self.assertIsInstance(decoded, result.Err)
        self.assertEqual(codec.convert_texts('1.5', kind), result.Ok(1.5))
