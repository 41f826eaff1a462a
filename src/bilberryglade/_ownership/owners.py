"""What an instance knows of the owners of keys, from the coordinator."""

import typing
from collections import abc

import immutables

from bilberryglade._ownership import ranges
from bilberryglade_schema import fleet as messages


class Owned(typing.NamedTuple):
    """A range of keys as routing sees it."""

    entry: ranges.Range
    #: Whether its owner has not been granted it yet.
    is_moving: bool


class Tables(typing.NamedTuple):
    """The owners of all keys of all services, in one version."""

    #: Offset of the record in the store.
    version: int = -1
    #: Counts what became known of one version.
    change: int = 0
    services: abc.Mapping[str, tuple[Owned, ...]] = immutables.Map()


def newer(known: Tables, other: Tables) -> Tables:
    """Returns the one of two that was made later."""
    if (other.version, other.change) > (known.version, known.change):
        return other
    return known


def find(tables: Tables, service: str, key: int) -> Owned | None:
    """Returns the range of `key`, or None if nobody was assigned it."""
    owned = tables.services.get(service, ())
    low, high = 0, len(owned)
    while low < high:
        middle = (low + high) // 2
        if owned[middle].entry.last < key:
            low = middle + 1
        else:
            high = middle
    if low == len(owned) or owned[low].entry.first > key:
        return None
    return owned[low]


def from_message(message: messages.Assignment, version: int) -> Tables:
    """Returns the tables in a message or record; new fences get `version`.

    A record is written before its offset is known; its new ranges have no
    fence then.
    """
    services = {
        service: tuple(_owned(entry, version) for entry in entries)
        for service, entries in message['services'].items()
    }
    return Tables(version, message.get('change', 0), services)


def to_message(tables: Tables, sender: str) -> messages.Assignment:
    """Returns the message for other instances, or the record to append."""
    return {
        'kind': 'assignment',
        'sender': sender,
        'version': tables.version,
        'change': tables.change,
        'services': {
            service: [
                {**_plain(owned.entry), 'is_moving': owned.is_moving}
                for owned in entries
            ]
            for service, entries in tables.services.items()
        },
    }


def to_entries(
    found: abc.Iterable[ranges.Range],
) -> list[messages.OwnedRange]:
    """Returns ranges as they stand in a message."""
    return [_plain(entry) for entry in sorted(found)]


def entries_of(
    entries: abc.Iterable[messages.OwnedRange],
) -> tuple[ranges.Range, ...]:
    """Returns the ranges of a message, with their fences as they are."""
    return tuple(_owned(entry, -1).entry for entry in entries)


def slots(tables: Tables) -> frozenset[tuple[str, ranges.Range]]:
    """Returns every range with its service."""
    return frozenset(
        (service, owned.entry)
        for service, entries in tables.services.items()
        for owned in entries
    )


def _plain(entry: ranges.Range) -> messages.OwnedRange:
    return {
        'first': entry.first,
        'last': entry.last,
        'target': entry.owner.target,
        'born': entry.owner.born,
        'fence': entry.fence,
    }


def _owned(entry: messages.OwnedRange, version: int) -> Owned:
    fence = entry['fence'] or ranges.fence_at(version)
    owner = ranges.Owner(entry['target'], entry['born'])
    return Owned(
        ranges.Range(entry['first'], entry['last'], owner, fence),
        entry.get('is_moving', False),
    )
