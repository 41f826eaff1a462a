"""Reads operators' tables row by row, so that one odd field costs no more.

An odd field is replaced by its careful reading, or left out if it is optional. A
row without a field that it needs is odd as a whole; the other rows hold.
"""

import typing
from collections import abc

import immutables
import result

from bilberryglade._codec import codec

Row = typing.TypeVar('Row')

#: Levels of maps and lists in a configuration; what is deeper is odd.
MOST_DEPTH: typing.Final = 12


class Unreadable(typing.NamedTuple):
    """Stands for a value that no decoder takes."""


class Issue(typing.NamedTuple):
    """A part of a record that was left out or read carefully."""

    #: Such as `routes[3].route_type`.
    path: str
    cause: str


class Shape(typing.NamedTuple, typing.Generic[Row]):
    """What a row of a table holds, and what may be odd in it."""

    kind: type[Row]
    #: What stands in for a field that is missing or odd.
    careful: abc.Mapping[str, object] = immutables.Map()
    #: Optional fields that must not be ignored when they are odd.
    essential: frozenset[str] = frozenset()
    #: Lists of which odd items are left out, and the type of the items.
    items: abc.Mapping[str, type] = immutables.Map()


class OddRow(typing.NamedTuple):
    """A row that cannot be used, with the fields that are known of it."""

    path: str
    fields: dict[str, typing.Any]


class Table(typing.NamedTuple, typing.Generic[Row]):
    """A table as far as it can be read."""

    #: Each row with its path.
    rows: list[tuple[str, Row]]
    odd: list[OddRow]
    issues: list[Issue]


def fields_of(raw: bytes) -> result.Result[dict[str, codec.Raw], str]:
    """Returns the fields of a JSON map, each undecoded, or why it is none."""
    decoded = codec.decode_json(raw, dict[str, codec.Raw])
    if isinstance(decoded, result.Err):
        plain = codec.with_whole_text(codec.flattened(raw, MOST_DEPTH))
        decoded = codec.decode_json(plain, dict[str, codec.Raw])
    return decoded.map_err(lambda error: error.detail)


def read_table(
    raw: bytes,
    path: str,
    shape: Shape[Row],
) -> result.Result[Table[Row], str]:
    """Returns the rows of a table of `columns` and `rows`.

    The error says why it is no table at all, or why none of its rows can be read.
    """
    fields = codec.decode_json(raw, dict[str, codec.Raw])
    if isinstance(fields, result.Err):
        return result.Err(f'{path}: {fields.err_value.detail}')
    parts = fields.ok_value
    columns = codec.decode_json(bytes(parts.get('columns', b'')), list[str])
    rows = codec.decode_json(bytes(parts.get('rows', b'')), list[codec.Raw])
    if isinstance(columns, result.Err):
        return result.Err(f'{path}.columns: {columns.err_value.detail}')
    if isinstance(rows, result.Err):
        return result.Err(f'{path}.rows: {rows.err_value.detail}')
    table: Table[Row] = Table([], [], [])
    for number, row in enumerate(rows.ok_value):
        _add_row(
            table, shape, f'{path}[{number}]', (columns.ok_value, bytes(row))
        )
    if table.odd and not table.rows:
        cause = table.issues[0].cause
        return result.Err(f'{path}: no row can be read: {cause}')
    return result.Ok(table)


def _add_row(
    table: Table[Row],
    shape: Shape[Row],
    path: str,
    written: tuple[list[str], bytes],
) -> None:
    """Adds a row, given its columns and JSON, to the rows or to the odd ones."""
    columns, raw = written
    cells = _cells(raw)
    if cells is None or len(cells) != len(columns):
        table.issues.append(Issue(path, 'a row and its columns differ'))
        table.odd.append(OddRow(path, dict(zip(columns, cells or ()))))
        return
    fields = {
        name: cell
        for name, cell in zip(columns, cells, strict=True)
        if cell is not None
    }
    converted = codec.convert(fields, shape.kind)
    if isinstance(converted, result.Err):
        mended = _mended(fields, shape, path)
        table.issues.extend(mended.issues)
        converted = codec.convert(mended.fields, shape.kind)
    if isinstance(converted, result.Err):
        table.odd.append(OddRow(path, mended.fields))
        return
    table.rows.append((path, converted.ok_value))


class Mended(typing.NamedTuple):
    """The fields of a row without what is odd, and what was."""

    fields: dict[str, typing.Any]
    issues: list[Issue]


def read_fields(
    fields: abc.Mapping[str, codec.Raw],
    path: str,
    shape: Shape[Row],
) -> Mended:
    """Returns the readable ones of a map's fields, all of them optional."""
    plain = {name: _value(bytes(raw)) for name, raw in fields.items()}
    return _mended(plain, shape, path)


def _mended(
    fields: dict[str, typing.Any],
    shape: Shape[Row],
    path: str,
) -> Mended:
    """Returns fields of which as many as possible hold what they should.

    Needed fields that are odd are left as they are.
    """
    mended = Mended({}, [])
    hints = typing.get_type_hints(shape.kind, include_extras=True)
    for name, hint in hints.items():
        is_needed = typing.get_origin(hint) is not typing.NotRequired
        if name not in fields and not is_needed:
            continue
        cell = fields.get(name, Unreadable)
        kind = hint if is_needed else typing.get_args(hint)[0]
        cause = _cause(cell, kind)
        if cause:
            mended.issues.append(Issue(f'{path}.{name}', cause))
            cell = _substitute(name, cell, shape)
        if cell is not Unreadable or is_needed or name in shape.essential:
            mended.fields[name] = cell
    return mended


def _cause(cell: object, kind: typing.Any) -> str:
    """Returns why a cell is not of a kind; '' if it is."""
    converted = codec.convert(cell, kind)
    if isinstance(converted, result.Ok):
        return ''
    return 'missing' if cell is Unreadable else converted.err_value.detail


def _substitute(name: str, cell: typing.Any, shape: Shape[Row]) -> object:
    """Returns what stands in for an odd field; `Unreadable` if nothing does."""
    items = shape.items.get(name)
    if items is not None and isinstance(cell, list):
        return _readable(cell, items)
    return shape.careful.get(name, Unreadable)


def _readable(items: list[typing.Any], kind: type) -> list[typing.Any]:
    """Returns the items of a list that are what they should be."""
    return [
        item
        for item in items
        if isinstance(codec.convert(item, kind), result.Ok)
    ]


def _cells(raw: bytes) -> list[typing.Any] | None:
    """Returns the cells of a row; None if it is no list."""
    plain = codec.decode_json(raw, list[typing.Any])
    if isinstance(plain, result.Ok):
        return plain.ok_value
    cells = codec.decode_json(raw, list[codec.Raw])
    if isinstance(cells, result.Err):
        return None
    return [_value(bytes(cell)) for cell in cells.ok_value]


def _value(raw: bytes) -> typing.Any:
    """Returns a JSON value, or what stands for one that cannot be read."""
    return codec.decode_json(raw, typing.Any).unwrap_or(Unreadable)
