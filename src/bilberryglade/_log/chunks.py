"""Cuts a folded state into parts below the record size, and joins them again.

The bytes are the same wherever the same state is cut, so that parts of two
writers fit together.
"""

import base64
import typing
import zlib
from collections import abc

import result
import xxhash

from bilberryglade._codec import codec, values
from bilberryglade._rules import reader, rules
from bilberryglade._state import state
from bilberryglade_schema import records

FORMAT: typing.Final = 1
#: Of the platform's record size of 1 MiB, after base 64 and with the fields.
PART_BYTES: typing.Final = 700_000
#: Longest state that is read: many times one of a large fleet.
MOST_STATE_BYTES: typing.Final = 268_435_456
COMPRESSION_LEVEL: typing.Final = 1


class Part(typing.NamedTuple):
    """One part of a state."""

    format: int
    #: Offset of the state.
    offset: int
    #: xxh3-128 of all parts together, in hexadecimal.
    digest: str
    part: int
    parts: int
    body: bytes


def split(
    view: state.ClusterState,
    part_bytes: int = PART_BYTES,
) -> list[Part]:
    """Returns the parts of `view`; the rule book is left to be read again."""
    return cut(view.offset, packed(view), part_bytes)


def packed(view: state.ClusterState) -> bytes:
    """Returns the compressed bytes of `view` without its rule book."""
    bare = view._replace(rules=view.rules._replace(book=rules.RuleBook()))
    return zlib.compress(values.encode_value(bare), COMPRESSION_LEVEL)


def cut(offset: int, raw: bytes, part_bytes: int) -> list[Part]:
    """Cuts the bytes of the state at `offset` into parts."""
    digest = xxhash.xxh3_128_hexdigest(raw)
    starts = range(0, len(raw), part_bytes)
    return [
        Part(
            format=FORMAT,
            offset=offset,
            digest=digest,
            part=number,
            parts=len(starts),
            body=raw[start : start + part_bytes],
        )
        for number, start in enumerate(starts)
    ]


def newest_whole(parts: abc.Iterable[Part]) -> state.ClusterState | None:
    """Returns the newest state whose parts are all there and fit."""
    sets: dict[tuple[int, str], dict[int, Part]] = {}
    for part in parts:
        if part.format == FORMAT:
            numbered = sets.setdefault((part.offset, part.digest), {})
            numbered[part.part] = part
    for subject in sorted(sets, reverse=True):
        joined = join(sets[subject])
        if joined is not None:
            return joined
    return None


def join(numbered: abc.Mapping[int, Part]) -> state.ClusterState | None:
    """Returns the state of one set of parts, or None if it is not whole."""
    first = numbered.get(0)
    if first is None or len(numbered) != first.parts:
        return None
    if sorted(numbered) != list(range(first.parts)):
        return None
    raw = b''.join(numbered[number].body for number in range(first.parts))
    if xxhash.xxh3_128_hexdigest(raw) != first.digest:
        return None
    restored = _unpacked(raw)
    if restored is None or restored.offset != first.offset:
        return None
    return restored


def record_of(part: Part, writer: str, record_id: str) -> records.SnapshotChunk:
    """Returns the record that keeps `part` in the log."""
    return {
        'id': record_id,
        'kind': 'snapshot_chunk',
        'format': part.format,
        'offset': part.offset,
        'digest': part.digest,
        'part': part.part,
        'parts': part.parts,
        'writer': writer,
        'body': base64.b64encode(part.body).decode(),
    }


def part_of(record: object) -> Part | None:
    """Returns the part in a record, or None if it is malformed."""
    decoded = codec.convert(record, records.SnapshotChunk)
    if isinstance(decoded, result.Err):
        return None
    chunk = decoded.ok_value
    try:
        body = base64.b64decode(chunk['body'], validate=True)
    except ValueError:
        return None
    return Part(
        format=chunk['format'],
        offset=chunk['offset'],
        digest=chunk['digest'],
        part=chunk['part'],
        parts=chunk['parts'],
        body=body,
    )


def _unpacked(compressed: bytes) -> state.ClusterState | None:
    unpacking = zlib.decompressobj()
    try:
        raw = unpacking.decompress(compressed, MOST_STATE_BYTES)
    except zlib.error:
        return None
    if not unpacking.eof:
        return None
    decoded = values.decode_value(raw, state.ClusterState)
    if isinstance(decoded, result.Err):
        return None
    bare = decoded.ok_value
    book = reader.read_rules(bare.rules.text)
    if isinstance(book, result.Err):
        return None
    revision = bare.rules._replace(book=book.ok_value)
    return bare._replace(rules=revision)
