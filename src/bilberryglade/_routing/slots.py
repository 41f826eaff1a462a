"""Keys to slots, and rendezvous hashing of names."""

import typing
from collections import abc

import xxhash

SLOTS_PER_SERVICE: typing.Final = 256


def key_digest(key: str) -> str:
    """Returns 16 hexadecimal digits that stand for a key in records."""
    return xxhash.xxh3_64_hexdigest(key.encode())


def slot_of(key: str) -> int:
    """Returns the hashed slot of a key, from 0 to `SLOTS_PER_SERVICE` - 1."""
    return xxhash.xxh3_64_intdigest(key.encode()) % SLOTS_PER_SERVICE


def ranked(subject: str, names: abc.Iterable[str]) -> list[str]:
    """Returns `names` by rendezvous weight for `subject`, best first."""
    return sorted(
        names,
        key=lambda name: (weight(subject, name), name),
        reverse=True,
    )


def best(subject: str, names: abc.Iterable[str]) -> str:
    """Returns the name with the highest weight, or '' if there is none."""
    return max(
        names,
        key=lambda name: (weight(subject, name), name),
        default='',
    )


def weight(subject: str, name: str) -> int:
    """Returns the rendezvous weight of `name` for `subject`, 64 bits."""
    return xxhash.xxh3_64_intdigest(f'{subject}|{name}'.encode())
