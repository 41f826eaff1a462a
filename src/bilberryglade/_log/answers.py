"""Answers of the log, record by record.

Whoever may write to the log may write a record that nobody can read, or pass
on. It is empty here: it keeps its offset, and is rejected there by every
instance alike, whatever came with it in one answer.
"""

import typing

import result

from bilberryglade._codec import codec
from bilberryglade_schema import platform

Read: typing.TypeAlias = result.Result[platform.ReadAnswer, codec.DecodeError]
Plain: typing.TypeAlias = dict[str, codec.Raw]
Part = typing.TypeVar('Part')

#: Depth of an answer whose records are no deeper than they may be.
MOST_DEPTH: typing.Final = codec.MOST_DEPTH + 3


def read(raw: bytes) -> Read:
    """Returns an answer; records that nobody can read are empty in it."""
    whole = codec.decode_json(raw, platform.ReadAnswer)
    if isinstance(whole, result.Err):
        whole = _read_apart(raw)
    return whole.map(_sound)


def _sound(answer: platform.ReadAnswer) -> platform.ReadAnswer:
    for stored in answer['records']:
        stored['record'] = codec.passable(stored['record']).unwrap_or({})
    return answer


def _read_apart(raw: bytes) -> Read:
    plain = codec.with_whole_text(codec.flattened(raw, MOST_DEPTH))
    parts = codec.decode_json(plain, Plain)
    if isinstance(parts, result.Err):
        return parts
    rows = codec.decode_json(
        bytes(parts.ok_value.get('records', b'')), list[Plain]
    )
    return rows.and_then(lambda found: _joined(parts.ok_value, found))


def _joined(parts: Plain, rows: list[Plain]) -> Read:
    stored: list[typing.Any] = [
        {
            'offset': _decoded(row, 'offset', int),
            'record': _decoded(row, 'record', dict[str, typing.Any]) or {},
        }
        for row in rows
    ]
    answer = {
        'records': stored,
        'head': _decoded(parts, 'head', int),
        'oldest': _decoded(parts, 'oldest', int),
    }
    return codec.convert(answer, platform.ReadAnswer)


def _decoded(parts: Plain, name: str, kind: type[Part]) -> Part | None:
    return codec.decode_json(bytes(parts.get(name, b'')), kind).ok()
