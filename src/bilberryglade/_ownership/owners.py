"""What an instance knows of the owners of keys, from the coordinator."""

import bisect
import math
import typing
from collections import abc

import immutables
import result

from bilberryglade._ownership import ranges
from bilberryglade_schema import fleet as messages

MS_PER_SECOND: typing.Final = 1000
#: Where targets take orders.
Addresses: typing.TypeAlias = abc.Mapping[ranges.Owner, str]
NO_ADDRESSES: typing.Final[Addresses] = immutables.Map()


class OwnedRange(typing.NamedTuple):
    """A range of keys as routing sees it."""

    entry: ranges.Range
    #: Whether its owner has not been granted it yet.
    is_moving: bool


class FormerOwner(typing.NamedTuple):
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
    services: abc.Mapping[str, tuple[OwnedRange, ...]] = immutables.Map()


def is_newer(tables: Tables, other: Tables) -> bool:
    """Tells whether tables were made later than others."""
    own = (tables.version, tables.change)
    return own > (other.version, other.change)


def newer(current: Tables, other: Tables) -> Tables:
    """Returns the one of two that was made later."""
    return other if is_newer(other, current) else current


def changed_ranges(
    before: Tables,
    after: Tables,
) -> abc.Mapping[str, tuple[OwnedRange, ...]]:
    """Returns the ranges of `after` that are not the same in `before`."""
    changed: dict[str, tuple[OwnedRange, ...]] = {}
    for service, entries in after.services.items():
        unchanged = set(before.services.get(service, ()))
        differing = tuple(owned for owned in entries if owned not in unchanged)
        if differing:
            changed[service] = differing
    return changed


def apply_changes(current: Tables, changes: Tables) -> Tables:
    """Returns `known` with the ranges of `news` in place of those they cover.

    Every range that is not the same is among `news`, so that these cover
    whole ranges.
    """
    services = dict(current.services)
    for service, entries in changes.services.items():
        kept = [
            owned
            for owned in services.get(service, ())
            if not _overlaps_any(owned.entry, entries)
        ]
        services[service] = tuple(
            sorted((*kept, *entries), key=lambda owned: owned.entry.first)
        )
    return Tables(changes.version, changes.change, services)


def find(tables: Tables, service: str, key: int) -> OwnedRange | None:
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


def moving_ranges(tables: Tables, service: str) -> frozenset[ranges.Range]:
    """Returns the ranges that their owners have not been granted yet."""
    return frozenset(
        owned.entry
        for owned in tables.services.get(service, ())
        if owned.is_moving
    )


def validate(
    message: messages.Assignment,
) -> result.Result[messages.Assignment, str]:
    """Returns a message or record if it is a table, or why it is none.

    Rows name owners that there are; those of a service are in order, so that
    no key has two. Earlier owners may have had the same keys.
    """
    for service, table in message['services'].items():
        error = _find_row_error(table['owners'], table['rows'])
        previous_lasts = [-1, *(row[1] for row in table['rows'])]
        if any(
            row[0] <= previous_last
            for row, previous_last in zip(table['rows'], previous_lasts)
        ):
            error = error or 'ranges are not in order'
        if error:
            return result.Err(f'{service}: {error}')
    for name, former in message.get('former', {}).items():
        error = _find_row_error(former['owners'], former['rows'])
        if error:
            return result.Err(f'{name}, earlier owners: {error}')
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
    owned_ranges: abc.Iterable[OwnedRange],
    addresses: Addresses = NO_ADDRESSES,
) -> messages.OwnedTable:
    """Returns ranges as they stand in a message; each owner is named once.

    `addresses` are those of owners that the message is to name with them.
    """
    indexes: dict[ranges.Owner, int] = {}
    rows = [
        (*_to_row(owned.entry, indexes), int(owned.is_moving))
        for owned in owned_ranges
    ]
    return {'owners': _owner_messages(indexes, addresses), 'rows': rows}


def to_former_table(
    former_owners: abc.Iterable[FormerOwner],
    addresses: Addresses,
) -> messages.FormerTable:
    """Returns earlier owners as they stand in a record."""
    indexes: dict[ranges.Owner, int] = {}
    rows = [
        (
            *_to_row(former.entry, indexes),
            math.ceil(former.seconds * MS_PER_SECOND),
        )
        for former in former_owners
    ]
    return {'owners': _owner_messages(indexes, addresses), 'rows': rows}


def from_former_table(
    table: messages.FormerTable | None,
) -> tuple[FormerOwner, ...]:
    """Returns the earlier owners in a record; none if there is none."""
    if table is None:
        return ()
    owners = [_to_owner(owner) for owner in table['owners']]
    return tuple(
        FormerOwner(
            ranges.Range(first, last, owners[index], fence),
            left_ms / MS_PER_SECOND,
        )
        for first, last, index, fence, left_ms in table['rows']
    )


def addresses_of(message: messages.Assignment) -> dict[ranges.Owner, str]:
    """Returns the addresses of all owners, also earlier ones, in a record."""
    listed = [
        owner
        for table in message['services'].values()
        for owner in table['owners']
    ]
    former = message.get('former', {})
    listed += [owner for table in former.values() for owner in table['owners']]
    return {_to_owner(owner): owner.get('address', '') for owner in listed}


def service_ranges(tables: Tables) -> frozenset[tuple[str, ranges.Range]]:
    """Returns every range with its service."""
    return frozenset(
        (service, owned.entry)
        for service, entries in tables.services.items()
        for owned in entries
    )


def _find_row_error(
    owners: abc.Sequence[messages.OwnerLife],
    rows: abc.Iterable[tuple[int, int, int, int, int]],
) -> str:
    for first, last, index, _, _ in rows:
        if first > last:
            return f'a range ends at {last}, before {first}'
        if index >= len(owners):
            return f'no owner at {index}'
    return ''


def _overlaps_any(
    entry: ranges.Range, ordered_ranges: abc.Sequence[OwnedRange]
) -> bool:
    """Tells whether a range overlaps one of `news`, which are in order."""
    index = bisect.bisect(ordered_ranges, entry.first, key=_end_key)
    return (
        index < len(ordered_ranges)
        and ordered_ranges[index].entry.first <= entry.last
    )


def _end_key(owned: OwnedRange) -> int:
    # The range that ends at a key covers it as well.
    return owned.entry.last + 1


def _to_row(
    entry: ranges.Range,
    indexes: dict[ranges.Owner, int],
) -> tuple[int, int, int, int]:
    index = indexes.setdefault(entry.owner, len(indexes))
    return (entry.first, entry.last, index, entry.fence)


def _owner_messages(
    owners: abc.Iterable[ranges.Owner],
    addresses: Addresses,
) -> list[messages.OwnerLife]:
    owner_messages: list[messages.OwnerLife] = []
    for owner in owners:
        message: messages.OwnerLife = {
            'target': owner.target,
            'born': owner.born,
        }
        address = addresses.get(owner, '')
        if address:
            message['address'] = address
        owner_messages.append(message)
    return owner_messages


def _to_owner(message: messages.OwnerLife) -> ranges.Owner:
    return ranges.Owner(message['target'], message['born'])


def _from_table(
    table: messages.OwnedTable,
    version: int,
) -> tuple[OwnedRange, ...]:
    owners = [_to_owner(owner) for owner in table['owners']]
    return tuple(
        OwnedRange(
            ranges.Range(
                first, last, owners[index], fence or ranges.fence_at(version)
            ),
            bool(moving),
        )
        for first, last, index, fence, moving in table['rows']
    )
