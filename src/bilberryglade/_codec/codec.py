"""JSON, YAML and MessagePack by `msgspec`, checked against generated types.

Whatever is wrong with bytes that somebody else wrote is a `DecodeError`: too
deep, too large, cut short, or no text. Only an unsound type is a broken
invariant and raises.
"""

import functools
import re
import typing
from collections import abc

import msgspec
import result
import yaml

Message = typing.TypeVar('Message')

#: All that reading foreign bytes may raise.
UNREADABLE: typing.Final = (
    msgspec.MsgspecError,
    yaml.YAMLError,
    # Also of text that is no Unicode, and of integers with too many digits.
    ValueError,
    OverflowError,
    RecursionError,
    MemoryError,
)
#: Characters of an error that are kept; it may quote what it is about.
DETAIL_CHARACTERS: typing.Final = 300
#: Maps and lists inside one another in a message whose fields are not known
#: beforehand: several times what any schema here has, and so few that code may
#: recur over them.
MOST_DEPTH: typing.Final = 50
#: Characters of a YAML scalar without quotes: a number of this length can
#: still be written out.
MOST_PLAIN_CHARACTERS: typing.Final = 3000
#: JSON that no decoder takes, and that ends where it ends.
NO_NUMBER: typing.Final = b'1e999'
#: Strings of JSON, and where its maps and lists begin and end.
JSON_TOKEN: typing.Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
#: The second half of a pair of code units without its first: how some writers
#: of JSON spell a byte that is no text.
HALF_PAIR: typing.Final = re.compile(
    rb'(?<!\\u[dD][89abAB][0-9a-fA-F]{2})\\u[dD][c-fC-F][0-9a-fA-F]{2}',
)


#: JSON that is decoded later, or not at all.
Raw: typing.TypeAlias = msgspec.Raw


class DecodeError(typing.NamedTuple):
    """Bytes that are not the message they should be."""

    #: Path inside the message and what is wrong with it.
    detail: str


def encode_json(message: object) -> bytes:
    """Returns `message` as compact JSON."""
    return msgspec.json.encode(message)


def encode_packed(message: object) -> bytes:
    """Returns `message` as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode_json(
    raw: bytes,
    kind: type[Message],
) -> result.Result[Message, DecodeError]:
    """Decodes JSON into `kind`."""
    return attempt(lambda: msgspec.json.decode(raw, type=kind))


def decode_open_json(
    raw: bytes,
) -> result.Result[dict[str, typing.Any], DecodeError]:
    """Decodes a JSON map whose fields are not known beforehand.

    It can be passed on: see `passable`.
    """
    return decode_json(raw, dict[str, typing.Any]).and_then(passable)


def passable(
    plain: dict[str, typing.Any],
) -> result.Result[dict[str, typing.Any], DecodeError]:
    """Returns a map of unknown fields if it can be passed on as MessagePack.

    It is at most `MOST_DEPTH` deep, and has no number beyond 64 bits.
    """
    shallow = _shallow(plain)
    if isinstance(shallow, result.Err):
        return shallow
    return attempt(lambda: encode_packed(plain)).map(lambda _: plain)


def flattened(raw: bytes, most_depth: int) -> bytes:
    """Returns JSON in which what is deeper is a number that is none."""
    kept: list[bytes] = []
    depth = 0
    place = 0
    for token in JSON_TOKEN.finditer(raw):
        if token[0] in {b'[', b'{'}:
            depth += 1
            if depth == most_depth + 1:
                kept.extend((raw[place : token.start()], NO_NUMBER))
        elif token[0] in {b']', b'}'}:
            if depth == most_depth + 1:
                place = token.end()
            depth -= 1
    return raw if depth else b''.join((*kept, raw[place:]))


def with_whole_text(raw: bytes) -> bytes:
    """Returns JSON with a replacement character for each half of a pair."""
    return HALF_PAIR.sub(rb'\\ufffd', raw)


def decode_packed(
    raw: bytes,
    kind: type[Message],
) -> result.Result[Message, DecodeError]:
    """Decodes MessagePack into `kind`."""
    decoder: msgspec.msgpack.Decoder[Message] = _packed_decoder(
        typing.cast(typing.Any, kind)
    )
    return attempt(lambda: decoder.decode(raw))


def decode_yaml(
    raw: bytes,
    kind: type[Message],
) -> result.Result[Message, DecodeError]:
    """Decodes YAML into `kind`.

    It has no aliases, which can stand for far more than the bytes they take,
    and is at most `MOST_DEPTH` deep.
    """
    checked = attempt(lambda: _checked_yaml(raw))
    if isinstance(checked, result.Err):
        return checked
    return attempt(lambda: msgspec.yaml.decode(raw, type=kind))


def convert(
    plain: object,
    kind: type[Message],
) -> result.Result[Message, DecodeError]:
    """Checks plain data (maps, lists, scalars) against `kind`."""
    return attempt(lambda: msgspec.convert(plain, type=kind))


def convert_texts(
    texts: str | list[str],
    kind: type[Message],
) -> result.Result[Message, DecodeError]:
    """Checks texts, as of headers, against `kind`; numbers are read."""
    return attempt(lambda: msgspec.convert(texts, type=kind, strict=False))


def attempt(
    read: abc.Callable[[], Message],
) -> result.Result[Message, DecodeError]:
    """Returns what `read` returns, or why the bytes it reads are unsound."""
    try:
        return result.Ok(read())
    except UNREADABLE as error:
        return result.Err(DecodeError(str(error)[:DETAIL_CHARACTERS]))


@functools.cache
def _packed_decoder(
    kind: abc.Hashable,
) -> msgspec.msgpack.Decoder[typing.Any]:
    """Returns the decoder of a kind of message; there are few kinds."""
    return msgspec.msgpack.Decoder(kind)


def _checked_yaml(raw: bytes) -> None:
    depth = 0
    for event in yaml.parse(raw, yaml.SafeLoader):
        if isinstance(event, yaml.AliasEvent):
            raise ValueError(f'aliases are not taken, {_place(event)}')
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        if isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MOST_DEPTH or _is_long(event):
            raise ValueError(f'too deep or too long, {_place(event)}')


def _is_long(event: yaml.Event) -> bool:
    if not isinstance(event, yaml.ScalarEvent) or event.style:
        return False
    return len(event.value) > MOST_PLAIN_CHARACTERS


def _place(event: yaml.Event) -> str:
    mark = event.start_mark
    return f'line {mark.line + 1}, column {mark.column + 1}' if mark else ''


def _shallow(
    plain: dict[str, typing.Any],
) -> result.Result[dict[str, typing.Any], DecodeError]:
    level: list[object] = [plain]
    for _ in range(MOST_DEPTH):
        level = [
            inner
            for outer in level
            for inner in _inner(outer)
            if isinstance(inner, dict | list | tuple)
        ]
        if not level:
            return result.Ok(plain)
    return result.Err(DecodeError('nested too deeply'))


def _inner(outer: object) -> abc.Iterable[object]:
    if isinstance(outer, dict):
        return outer.values()
    return outer if isinstance(outer, list | tuple) else ()
