"""What an instance knows of the owners of keys, from the coordinator."""

import bisect
import math
import typing
from collections import abc

import immutables
import result

from bilberryglade._ownership import ranges
from bilberryglade_schema import fleet as messages

MILLISECONDS: typing.Final = 1000
#: Where targets take orders.
Addresses: typing.TypeAlias = abc.Mapping[ranges.Owner, str]
NO_ADDRESSES: typing.Final[Addresses] = immutables.Map()


class Owned(typing.NamedTuple):
    """A range of keys as routing sees it."""

    entry: ranges.Range
    #: Whether its owner has not been granted it yet.
    is_moving: bool


class Former(typing.NamedTuple):
    """Keys on which an earlier owner may still hold a lease."""

    entry: ranges.Range
    #: Longest time that the lease may last.
    seconds: float


class Tables(typing.NamedTuple):
    """The owners of all keys of all services, in one version."""

    #: Offset of the record in the store.
    version: int = -1
    #: Counts what became known of one version.
    change: int = 0
    services: abc.Mapping[str, tuple[Owned, ...]] = immutables.Map()


def is_newer(tables: Tables, other: Tables) -> bool:
    """Tells whether tables were made later than others."""
    own = (tables.version, tables.change)
    return own > (other.version, other.change)


def newer(known: Tables, other: Tables) -> Tables:
    """Returns the one of two that was made later."""
    return other if is_newer(other, known) else known


def differing(
    before: Tables,
    after: Tables,
) -> abc.Mapping[str, tuple[Owned, ...]]:
    """Returns the ranges of `after` that are not the same in `before`."""
    found: dict[str, tuple[Owned, ...]] = {}
    for service, entries in after.services.items():
        known = set(before.services.get(service, ()))
        others = tuple(owned for owned in entries if owned not in known)
        if others:
            found[service] = others
    return found


def overlaid(known: Tables, news: Tables) -> Tables:
    """Returns `known` with the ranges of `news` in place of those they cover.

    Every range that is not the same is among `news`, so that these cover
    whole ranges.
    """
    services = dict(known.services)
    for service, entries in news.services.items():
        kept = [
            owned
            for owned in services.get(service, ())
            if not _is_covered(owned.entry, entries)
        ]
        services[service] = tuple(
            sorted((*kept, *entries), key=lambda owned: owned.entry.first)
        )
    return Tables(news.version, news.change, services)


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


def owners_of(tables: Tables, service: str) -> frozenset[ranges.Owner]:
    """Returns everybody who owns keys of a service."""
    return frozenset(
        owned.entry.owner for owned in tables.services.get(service, ())
    )


def moving(tables: Tables, service: str) -> frozenset[ranges.Range]:
    """Returns the ranges that their owners have not been granted yet."""
    return frozenset(
        owned.entry
        for owned in tables.services.get(service, ())
        if owned.is_moving
    )


def sound(
    message: messages.Assignment,
) -> result.Result[messages.Assignment, str]:
    """Returns a message or record if it is a table, or why it is none.

    Rows name owners that there are; those of a service are in order, so that
    no key has two. Earlier owners may have had the same keys.
    """
    for service, table in message['services'].items():
        wrong = _wrong_rows(table['owners'], table['rows'])
        lasts = [-1, *(row[1] for row in table['rows'])]
        if any(row[0] <= last for row, last in zip(table['rows'], lasts)):
            wrong = wrong or 'ranges are not in order'
        if wrong:
            return result.Err(f'{service}: {wrong}')
    for name, former in message.get('former', {}).items():
        wrong = _wrong_rows(former['owners'], former['rows'])
        if wrong:
            return result.Err(f'{name}, earlier owners: {wrong}')
    return result.Ok(message)


def from_message(message: messages.Assignment, version: int) -> Tables:
    """Returns the tables in a message or record; new fences get `version`.

    A record is written before its offset is known; its new ranges have no
    fence then.
    """
    services = {
        service: _from_table(table, version)
        for service, table in message['services'].items()
    }
    return Tables(version, message.get('change', 0), services)


def to_message(
    tables: Tables,
    sender: str,
    addresses: Addresses = NO_ADDRESSES,
) -> messages.Assignment:
    """Returns the message for other instances, or the record to append."""
    return {
        'kind': 'assignment',
        'sender': sender,
        'version': tables.version,
        'change': tables.change,
        'services': {
            service: to_table(entries, addresses)
            for service, entries in tables.services.items()
        },
    }


def to_table(
    found: abc.Iterable[Owned],
    addresses: Addresses = NO_ADDRESSES,
) -> messages.OwnedTable:
    """Returns ranges as they stand in a message; each owner is named once.

    `addresses` are those of owners that the message is to name with them.
    """
    places: dict[ranges.Owner, int] = {}
    rows = [
        (*_row(owned.entry, places), int(owned.is_moving)) for owned in found
    ]
    return {'owners': _lives(places, addresses), 'rows': rows}


def to_former_table(
    found: abc.Iterable[Former],
    addresses: Addresses,
) -> messages.FormerTable:
    """Returns earlier owners as they stand in a record."""
    places: dict[ranges.Owner, int] = {}
    rows = [
        (*_row(former.entry, places), math.ceil(former.seconds * MILLISECONDS))
        for former in found
    ]
    return {'owners': _lives(places, addresses), 'rows': rows}


def former_of(table: messages.FormerTable | None) -> tuple[Former, ...]:
    """Returns the earlier owners in a record; none if there is none."""
    if table is None:
        return ()
    lives = [_owner(owner) for owner in table['owners']]
    return tuple(
        Former(
            ranges.Range(first, last, lives[place], fence),
            left_ms / MILLISECONDS,
        )
        for first, last, place, fence, left_ms in table['rows']
    )


def addresses_of(message: messages.Assignment) -> dict[ranges.Owner, str]:
    """Returns the addresses of all owners, also earlier ones, in a record."""
    lives = [
        life
        for table in message['services'].values()
        for life in table['owners']
    ]
    former = message.get('former', {})
    lives += [life for table in former.values() for life in table['owners']]
    return {_owner(life): life.get('address', '') for life in lives}


def slots(tables: Tables) -> frozenset[tuple[str, ranges.Range]]:
    """Returns every range with its service."""
    return frozenset(
        (service, owned.entry)
        for service, entries in tables.services.items()
        for owned in entries
    )


def _wrong_rows(
    lives: abc.Sequence[messages.OwnerLife],
    rows: abc.Iterable[tuple[int, int, int, int, int]],
) -> str:
    for first, last, place, _, _ in rows:
        if first > last:
            return f'a range ends at {last}, before {first}'
        if place >= len(lives):
            return f'no owner at {place}'
    return ''


def _is_covered(entry: ranges.Range, news: abc.Sequence[Owned]) -> bool:
    """Tells whether a range overlaps one of `news`, which are in order."""
    place = bisect.bisect(news, entry.first, key=_last_key)
    return place < len(news) and news[place].entry.first <= entry.last


def _last_key(owned: Owned) -> int:
    # The range that ends at a key covers it as well.
    return owned.entry.last + 1


def _row(
    entry: ranges.Range,
    places: dict[ranges.Owner, int],
) -> tuple[int, int, int, int]:
    place = places.setdefault(entry.owner, len(places))
    return (entry.first, entry.last, place, entry.fence)


def _lives(
    owners: abc.Iterable[ranges.Owner],
    addresses: Addresses,
) -> list[messages.OwnerLife]:
    lives: list[messages.OwnerLife] = []
    for owner in owners:
        life: messages.OwnerLife = {
            'target': owner.target,
            'born': owner.born,
        }
        address = addresses.get(owner, '')
        if address:
            life['address'] = address
        lives.append(life)
    return lives


def _owner(life: messages.OwnerLife) -> ranges.Owner:
    return ranges.Owner(life['target'], life['born'])


def _from_table(
    table: messages.OwnedTable,
    version: int,
) -> tuple[Owned, ...]:
    lives = [_owner(owner) for owner in table['owners']]
    return tuple(
        Owned(
            ranges.Range(
                first, last, lives[place], fence or ranges.fence_at(version)
            ),
            bool(moving),
        )
        for first, last, place, fence, moving in table['rows']
    )
