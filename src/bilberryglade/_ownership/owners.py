"""Tables of key owners as values, and their form in messages and records."""

import bisect
import math
import typing
from collections import abc

import immutables
import result

from bilberryglade._ownership import ranges
from bilberryglade_schema import fleet as messages

MS_PER_SECOND: typing.Final = 1000
#: Addresses to which lease orders are sent, by incarnation of a target.
Addresses: typing.TypeAlias = abc.Mapping[ranges.Owner, str]
NO_ADDRESSES: typing.Final[Addresses] = immutables.Map()


class OwnedRange(typing.NamedTuple):
    """A range of keys, and whether requests on it can be routed yet."""

    entry: ranges.Range
    #: Whether the owner has not been granted the range yet.
    is_moving: bool


class FormerOwner(typing.NamedTuple):
    """Keys on which an earlier owner may still hold a lease."""

    entry: ranges.Range
    #: Longest time for which the lease may still last, in seconds.
    seconds: float


class Tables(typing.NamedTuple):
    """The owners of all keys of all services, in one version."""

    #: Offset of the tables' record in the store; -1 if there is none.
    version: int = -1
    #: Count of changes within a version, such as ranges that were granted.
    change: int = 0
    services: abc.Mapping[str, tuple[OwnedRange, ...]] = immutables.Map()


def is_newer(tables: Tables, other: Tables) -> bool:
    """Returns whether `tables` are newer than `other`."""
    own = (tables.version, tables.change)
    return own > (other.version, other.change)


def newer(current: Tables, other: Tables) -> Tables:
    """Returns the newer tables of the two."""
    return other if is_newer(other, current) else current


def changed_ranges(
    before: Tables,
    after: Tables,
) -> abc.Mapping[str, tuple[OwnedRange, ...]]:
    """Returns the ranges of `after`, by service, that differ from `before`."""
    changed: dict[str, tuple[OwnedRange, ...]] = {}
    for service, entries in after.services.items():
        unchanged = set(before.services.get(service, ()))
        differing = tuple(owned for owned in entries if owned not in unchanged)
        if differing:
            changed[service] = differing
    return changed


def apply_changes(current: Tables, changes: Tables) -> Tables:
    """Returns `current` with the ranges that `changes` overlap replaced.

    `changes` has every range that differs, so each replaced range is covered
    completely.
    """
    services = dict(current.services)
    for service, entries in changes.services.items():
        end_keys = [owned.entry.last + 1 for owned in entries]
        kept = [
            owned
            for owned in services.get(service, ())
            if not _overlaps_any(owned.entry, entries, end_keys)
        ]
        services[service] = tuple(
            sorted((*kept, *entries), key=lambda owned: owned.entry.first)
        )
    return Tables(changes.version, changes.change, services)


def find(tables: Tables, service: str, key: int) -> OwnedRange | None:
    """Returns the range that contains `key`, or None if it has no owner."""
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
    """Returns the owners of a service's keys."""
    return frozenset(
        owned.entry.owner for owned in tables.services.get(service, ())
    )


def moving_ranges(tables: Tables, service: str) -> frozenset[ranges.Range]:
    """Returns a service's ranges that their owners were not granted yet."""
    return frozenset(
        owned.entry
        for owned in tables.services.get(service, ())
        if owned.is_moving
    )


def validate(
    message: messages.Assignment,
) -> result.Result[messages.Assignment, str]:
    """Returns a message or record if its tables are valid, else the error.

    Each row must refer to a listed owner, and a service's rows must be in order
    of keys, so that no key has two owners. Rows of earlier owners may overlap.
    """
    for service, table in message['services'].items():
        error = _find_row_error(table['owners'], table['rows'])
        previous_lasts = [-1, *(row[1] for row in table['rows'])]
        if any(
            row[0] <= previous_last
            for row, previous_last in zip(table['rows'], previous_lasts)
        ):
            error = error or 'ranges overlap or are not sorted by key'
        if error:
            return result.Err(f'{service}: {error}')
    for name, former in message.get('former', {}).items():
        error = _find_row_error(former['owners'], former['rows'])
        if error:
            return result.Err(f'{name}, earlier owners: {error}')
    return result.Ok(message)


def from_message(message: messages.Assignment, version: int) -> Tables:
    """Returns the tables in a message or record; `version` is its offset.

    New ranges are recorded without a fence, as the offset of a record is not
    known before it is written; they get the fence of `version` here.
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
    """Returns tables as a message to other instances or as a record.

    `addresses` are included for the owners that they name.
    """
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
    """Returns ranges in the form of a message, each owner listed once.

    Rows refer to owners by index. `addresses` are included for the owners that
    they name.
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
    """Returns earlier owners in the form of a record, with remaining lease times.

    Remaining times are rounded up to milliseconds.
    """
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
    """Returns the earlier owners in a record's table; none without a table."""
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
    """Returns the addresses of all owners in a record, earlier ones included.

    An owner without an address has an empty one.
    """
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
    """Returns what is wrong with the rows of a table, or an empty string."""
    for first, last, index, _, _ in rows:
        if first > last:
            return f'a range ends at key {last}, before its first key {first}'
        if index >= len(owners):
            return f'row refers to unlisted owner {index}'
    return ''


def _overlaps_any(
    entry: ranges.Range,
    ordered_ranges: abc.Sequence[OwnedRange],
    end_keys: abc.Sequence[int],
) -> bool:
    """Returns whether a range overlaps one of `ordered_ranges`, sorted by key.

    `end_keys` are the first keys behind each of them: `last` is inclusive.
    """
    index = bisect.bisect(end_keys, entry.first)
    return (
        index < len(ordered_ranges)
        and ordered_ranges[index].entry.first <= entry.last
    )


def _to_row(
    entry: ranges.Range,
    indexes: dict[ranges.Owner, int],
) -> tuple[int, int, int, int]:
    """Returns a range's keys, index of its owner and fence.

    An owner without an index gets the next one in `indexes`.
    """
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
