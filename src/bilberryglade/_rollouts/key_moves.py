"""Moves keys from the targets of one version to those of another, in steps.

A key's requests all go to its owner, so that the share of a new version is the
measured load of the keys that it owns. While a rollout runs, keys move for it
and for owners that are lost, and load is not balanced otherwise.
"""

import typing
from collections import abc

from bilberryglade._ownership import owners, planning, ranges
from bilberryglade._targets import directory

#: Ranges that may be on their way at one time: callers wait for the keys that
#: move, and as many grants are in flight at most.
MOST_MOVING: typing.Final = 24
#: Share of its aim from which the new version's load has grown too much: a key
#: that it owns has become hot.
TOO_MUCH: typing.Final = 1.5
#: Part of the aim below which keys are not worth moving.
LEAST_PART: typing.Final = 0.1
#: Owners over which the keys of a lost one are divided.
MOST_HEIRS: typing.Final = 3


class Sides(typing.NamedTuple):
    """The targets that may own keys, by version."""

    old: tuple[ranges.Candidate, ...]
    new: tuple[ranges.Candidate, ...]
    #: Those of the new version that get keys now.
    receivers: tuple[ranges.Candidate, ...]


def plan(
    table: ranges.Table,
    sides: Sides,
    loads: ranges.Loads,
    share: float,
    moving: abc.Set[ranges.Range],
) -> planning.Plan:
    """Returns the table for which the new version has about `share` of the load.

    Without a candidate the table stays as it is.
    """
    heirs = sides.receivers if share >= 1 and sides.receivers else sides.old
    heirs = heirs or sides.receivers
    if not table or not heirs:
        return planning.Plan(table, is_changed=False)
    loads = ranges.indexed(loads)
    planned = _without_lost(table, sides, heirs, loads)
    if planned == table and sides.receivers and sides.old:
        if share >= 1:
            planned = _all_moved(table, sides, loads, moving)
        else:
            planned = _with_share(table, sides, loads, share, moving)
    planned = ranges.merged(planned)
    return planning.Plan(planned, planned != ranges.merged(table))


def old_owners(
    tables: owners.Tables,
    listed: directory.Directory,
    service: str,
    version: str,
) -> int:
    """Returns how many ranges of keys a version does not hold yet."""
    return sum(
        owned.is_moving or _version_of(listed, owned) != version
        for owned in tables.services.get(service, ())
    )


def _version_of(
    listed: directory.Directory, owned: owners.OwnedRange
) -> str | None:
    target = listed.targets.get(owned.entry.owner.target)
    if target is None or target.born != owned.entry.owner.born:
        return None
    return target.version


def _without_lost(
    table: ranges.Table,
    sides: Sides,
    heirs: abc.Sequence[ranges.Candidate],
    loads: ranges.Loads,
) -> ranges.Table:
    """Returns a table in which the keys of lost owners are the heirs'."""
    live = {one.owner for one in (*sides.old, *sides.new)}
    by_name = {owner.target: owner for owner in live}
    carried = planning.owner_loads(table, heirs, loads)
    by_owner = {heir.owner: heir for heir in heirs}
    assigned: list[ranges.Range] = []
    for entry in table:
        restarted = by_name.get(entry.owner.target)
        if entry.owner in live:
            assigned.append(entry)
        elif restarted is None:
            least = sorted(carried, key=carried.__getitem__)
            pieces = ranges.divide(
                entry.first,
                entry.last,
                [by_owner[owner] for owner in least[:MOST_HEIRS]],
                loads,
            )
            for piece in pieces:
                carried[piece.owner] += _load(piece, loads)
            assigned.extend(pieces)
        else:
            assigned.append(
                entry._replace(owner=restarted, fence=ranges.NEW_FENCE)
            )
    return tuple(assigned)


def _all_moved(
    table: ranges.Table,
    sides: Sides,
    loads: ranges.Loads,
    moving: abc.Set[ranges.Range],
) -> ranges.Table:
    """Returns a table in which the next ranges are the new version's."""
    weights = {one.owner: one.weight for one in sides.receivers}
    carried = planning.owner_loads(table, sides.receivers, loads)
    old = {one.owner for one in sides.old}
    left = MOST_MOVING - len(moving)
    due = [
        entry for entry in table if entry.owner in old and entry not in moving
    ]
    due.sort(key=lambda entry: -_load(entry, loads))
    moved: dict[ranges.Range, ranges.Range] = {}
    for entry in due[: max(left, 0)]:
        receiver = min(carried, key=carried.__getitem__)
        carried[receiver] += _load(entry, loads) / weights[receiver]
        moved[entry] = entry._replace(owner=receiver, fence=ranges.NEW_FENCE)
    return tuple(moved.get(entry, entry) for entry in table)


def _with_share(
    table: ranges.Table,
    sides: Sides,
    loads: ranges.Loads,
    share: float,
    moving: abc.Set[ranges.Range],
) -> ranges.Table:
    """Returns a table in which the new version has about `share` of the load."""
    carried = _carried(table, loads)
    held = sum(carried.get(one.owner, 0) for one in sides.new)
    aim = sum(carried.values()) * share
    if held > aim * TOO_MUCH:
        return _with_busiest_back(table, sides, loads, moving)
    left = MOST_MOVING - len(moving)
    room = {
        one.owner: aim / len(sides.receivers) - carried.get(one.owner, 0)
        for one in sides.receivers
    }
    wanting = sorted(room, key=room.__getitem__, reverse=True)
    for receiver in wanting[: max(left, 0)]:
        amount = min(room[receiver], aim - held)
        if amount < aim * LEAST_PART / len(sides.receivers):
            break
        table, taken = _with_piece_for(
            table, sides, loads, moving, (receiver, amount)
        )
        held += taken
    return table


def _carried(
    table: ranges.Table, loads: ranges.Loads
) -> dict[ranges.Owner, float]:
    """Returns the load on the keys of each owner."""
    carried: dict[ranges.Owner, float] = {}
    for entry in table:
        carried[entry.owner] = carried.get(entry.owner, 0) + _load(entry, loads)
    return carried


def _with_busiest_back(
    table: ranges.Table,
    sides: Sides,
    loads: ranges.Loads,
    moving: abc.Set[ranges.Range],
) -> ranges.Table:
    """Returns a table in which the busiest range on trial is an old owner's."""
    new = {one.owner for one in sides.new}
    tried = [
        entry for entry in table if entry.owner in new and entry not in moving
    ]
    if not tried:
        return table
    busiest = max(tried, key=lambda entry: _load(entry, loads))
    carried = planning.owner_loads(table, sides.old, loads)
    receiver = min(carried, key=carried.__getitem__)
    back = busiest._replace(owner=receiver, fence=ranges.NEW_FENCE)
    return tuple(back if entry == busiest else entry for entry in table)


def _with_piece_for(
    table: ranges.Table,
    sides: Sides,
    loads: ranges.Loads,
    moving: abc.Set[ranges.Range],
    wanted: tuple[ranges.Owner, float],
) -> tuple[ranges.Table, float]:
    """Returns a table with a piece for a receiver, and the piece's load."""
    receiver, amount = wanted
    old = {one.owner for one in sides.old}
    donors = [
        index
        for index, entry in enumerate(table)
        if entry.owner in old and not (entry in moving or ranges.is_new(entry))
    ]
    donors.sort(key=lambda index: -_load(table[index], loads))
    for index in donors:
        last = _last_key(table[index], loads, amount)
        if last is None:
            continue
        entry = table[index]
        piece = ranges.Range(entry.first, last, receiver, ranges.NEW_FENCE)
        rest = (entry._replace(first=last + 1),) if last < entry.last else ()
        planned = (*table[:index], piece, *rest, *table[index + 1 :])
        return planned, _load(piece, loads)
    return table, 0


def _last_key(
    entry: ranges.Range, loads: ranges.Loads, amount: float
) -> int | None:
    """Returns the last key of the longest piece with at most `amount` of load.

    None if the range's first block has more.
    """
    last: int | None = None
    carried: float = 0
    for block in range(
        ranges.block_of(entry.first), ranges.block_of(entry.last) + 1
    ):
        carried += loads.get(block, 0) + ranges.BASE_LOAD
        if carried > amount:
            break
        last = min((block + 1) * ranges.BLOCK_KEYS - 1, entry.last)
    return last


def _load(entry: ranges.Range, loads: ranges.Loads) -> float:
    return ranges.load_of(entry.first, entry.last, loads)
