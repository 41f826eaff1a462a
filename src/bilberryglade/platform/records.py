"""Records of the store's log: a length, then bytes; keyed ones name a key."""

import struct
import typing

from bilberryglade._values import stored

LENGTH: typing.Final = struct.Struct('>I')
#: The end of the partition and its first retained offset.
HEAD: typing.Final = struct.Struct('>QQ')


class Read(typing.NamedTuple):
    """The answer to a read of a partition."""

    end: int
    first: int
    records: tuple[bytes, ...]


def frame(record: bytes) -> bytes:
    """Returns one record as the store takes it in."""
    return LENGTH.pack(len(record)) + record


def keyed(key: str, payload: bytes) -> bytes:
    """Returns a record of a keyed topic; no payload drops the key."""
    name = key.encode()
    return bytes((len(name),)) + name + payload


def parse_read(raw: bytes) -> Read:
    """Returns what a read answered; raises `ValueError` if it is cut."""
    if len(raw) < HEAD.size:
        raise ValueError('the answer to a read has no head')
    end, first = HEAD.unpack_from(raw)
    found: list[bytes] = []
    place = HEAD.size
    while place < len(raw):
        if place + LENGTH.size > len(raw):
            raise ValueError('a length is cut short')
        size = LENGTH.unpack_from(raw, place)[0]
        place += LENGTH.size
        if place + size > len(raw):
            raise ValueError('a record is cut short')
        found.append(raw[place : place + size])
        place += size
    return Read(end, first, tuple(found))


def parse_keyed(raw: bytes, offset: int) -> stored.Record | None:
    """Returns a record of a keyed topic, or None if it names no key."""
    if not raw or len(raw) < 1 + raw[0]:
        return None
    size = 1 + raw[0]
    name = raw[1:size].decode('utf-8', 'replace')
    payload = raw[size:]
    return stored.Record(name, offset, payload or None)
