"""Decides which target owns which keys.

Keys change owner only if the owner is gone, draining, taken out, or carries far
more load than others, because a move loses warm state at the target. The load
is expected to be skewed: some keys are much busier than others, busy keys lie
close together, and which keys are busy changes within minutes.
"""

import math
import statistics
import typing
from collections import abc

from bilberryglade._ownership import ranges
from bilberryglade._values import leases

#: Keys are taken from an owner whose load is at least this multiple of the mean.
HEAVY_RATIO: typing.Final = 1.2
#: Keys are given to an owner whose load is at most this multiple of the mean.
LIGHT_RATIO: typing.Final = 0.95
#: Standard deviations of the counted load by which an overloaded owner must
#: exceed its share, in addition to `SIGNIFICANT_LOAD`. A smaller excess can be
#: chance, and callers wait while keys move.
SIGNIFICANT_DEVIATIONS: typing.Final = 1.5
#: Requests a second by which an overloaded owner must exceed its share, in
#: addition to `SIGNIFICANT_DEVIATIONS`.
SIGNIFICANT_LOAD: typing.Final = 0.5
#: Time constant of the average by which loads are counted, in seconds.
LOAD_WINDOW_SECONDS: typing.Final = 6.0
#: Requests a second on a range below which moving it would balance nothing.
MIN_MOVED_LOAD: typing.Final = 0.5
#: Requests a second that each successor of a lost owner should get; more load
#: is divided over more successors.
LOAD_PER_SUCCESSOR: typing.Final = 4.0
#: A block of keys is hot if its load exceeds this part of its owner's capacity.
HOT_LOAD_RATIO: typing.Final = 0.6
#: A hot block moves only to an owner with at least this multiple of the present
#: owner's capacity, because its callers wait during the move.
MIN_HOT_MOVE_SPEEDUP: typing.Final = 1.3
#: An owner's load counts for the mean up to this multiple of the median.
MAX_MEDIAN_RATIO: typing.Final = 1.3
#: Maximum number of moves that one plan makes to balance load.
MAX_BALANCE_MOVES: typing.Final = 6
#: Maximum number of pieces into which a lost owner's range is divided.
MAX_SUCCESSORS: typing.Final = 3

NONE_MOVING: typing.Final[abc.Set[ranges.Range]] = frozenset()


class Plan(typing.NamedTuple):
    """A planned table, and whether it differs from the current one."""

    table: ranges.Table
    is_changed: bool


def plan(
    table: ranges.Table,
    candidates: abc.Sequence[ranges.Candidate],
    loads: ranges.Loads,
    may_balance: bool,
    moving: abc.Set[ranges.Range] = NONE_MOVING,
    *,
    relieves_hot_owners: bool = False,
) -> Plan:
    """Returns the planned table; without candidates the table stays as it is.

    The hottest block of keys may move in any plan; other load is balanced only
    if `may_balance` is true. Neither moves the `moving` ranges, which their
    owners have not been granted yet. With `relieves_hot_owners`, other keys leave
    the owner of a block that alone fills its places, however loaded the rest are.
    """
    if not candidates:
        return Plan(table, is_changed=False)
    loads = ranges.indexed(loads)
    if not table:
        initial = ranges.divide(0, leases.LAST_KEY, candidates, loads)
        return Plan(initial, is_changed=True)
    planned = _without_lost_owners(table, candidates, loads)
    planned = _with_newcomers(planned, candidates, loads)
    if planned == table:
        planned = _with_hot_block_moved(planned, candidates, loads, moving)
    if may_balance and planned == table:
        swamped = None
        if relieves_hot_owners:
            swamped = _owner_of_hot_block(planned, candidates, loads)
        for _ in range(MAX_BALANCE_MOVES):
            planned = _balanced(planned, candidates, loads, moving, swamped)
    planned = ranges.merged(planned)
    return Plan(planned, is_changed=planned != ranges.merged(table))


def owner_loads(
    table: ranges.Table,
    candidates: abc.Sequence[ranges.Candidate],
    loads: ranges.Loads,
) -> dict[ranges.Owner, float]:
    """Returns each candidate's load in a table, divided by its weight."""
    loads = ranges.indexed(loads)
    weights = {candidate.owner: candidate.weight for candidate in candidates}
    loads_by_owner: dict[ranges.Owner, float] = dict.fromkeys(weights, 0)
    for entry in table:
        weight = weights.get(entry.owner)
        if weight is not None:
            load = ranges.load_of(entry.first, entry.last, loads)
            loads_by_owner[entry.owner] += load / weight
    return loads_by_owner


def _without_lost_owners(
    table: ranges.Table,
    candidates: abc.Sequence[ranges.Candidate],
    loads: ranges.Loads,
) -> ranges.Table:
    """Returns a table in which keys of owners that are gone have new owners.

    A restarted target keeps its keys under its new incarnation: they need a new
    grant, but do not move.
    """
    candidates_by_owner = {
        candidate.owner: candidate for candidate in candidates
    }
    if all(entry.owner in candidates_by_owner for entry in table):
        return table
    candidates_by_target = {
        candidate.owner.target: candidate for candidate in candidates
    }
    loads_by_owner = owner_loads(table, candidates, loads)
    assigned: list[ranges.Range] = []
    for entry in table:
        restarted = candidates_by_target.get(entry.owner.target)
        if entry.owner in candidates_by_owner:
            assigned.append(entry)
        elif restarted is None:
            assigned.extend(
                _divide_among_successors(
                    entry, loads_by_owner, candidates_by_owner, loads
                )
            )
        else:
            assigned.append(
                entry._replace(owner=restarted.owner, fence=ranges.NEW_FENCE)
            )
    return tuple(assigned)


def _divide_among_successors(
    entry: ranges.Range,
    loads_by_owner: dict[ranges.Owner, float],
    candidates_by_owner: abc.Mapping[ranges.Owner, ranges.Candidate],
    loads: ranges.Loads,
) -> ranges.Table:
    """Divides a range over the least loaded candidates.

    Adds the load of the pieces to `loads_by_owner`.
    """
    successors = sorted(
        candidates_by_owner.values(),
        key=lambda successor: loads_by_owner[successor.owner],
    )
    pieces = ranges.divide(
        entry.first,
        entry.last,
        successors[: _successor_count(entry, loads)],
        loads,
    )
    for piece in pieces:
        load = ranges.load_of(piece.first, piece.last, loads)
        loads_by_owner[piece.owner] += (
            load / candidates_by_owner[piece.owner].weight
        )
    return pieces


def _successor_count(entry: ranges.Range, loads: ranges.Loads) -> int:
    """Returns over how many candidates a lost owner's range is divided."""
    load = ranges.load_of(entry.first, entry.last, loads)
    pieces = int(load / LOAD_PER_SUCCESSOR) + 1
    return min(pieces, MAX_SUCCESSORS)


def _with_newcomers(
    table: ranges.Table,
    candidates: abc.Sequence[ranges.Candidate],
    loads: ranges.Loads,
) -> ranges.Table:
    """Returns a table in which each candidate without keys gets some.

    They come from the most loaded owner that has a range to split.
    """
    owners = {entry.owner for entry in table}
    for candidate in candidates:
        if candidate.owner not in owners:
            table = _with_share_for(table, candidate, candidates, loads)
    return table


def _with_share_for(
    table: ranges.Table,
    receiver: ranges.Candidate,
    candidates: abc.Sequence[ranges.Candidate],
    loads: ranges.Loads,
) -> ranges.Table:
    """Returns a table in which `receiver` gets part of a busy owner's range.

    Tries the owners from the most to the least loaded; the table stays as it is
    if no range can be split.
    """
    loads_by_owner = owner_loads(table, candidates, loads)
    for donor in sorted(
        loads_by_owner, key=loads_by_owner.__getitem__, reverse=True
    ):
        index = _busiest_divisible(table, _indexes_of(table, donor), loads)
        if index is None:
            continue
        pieces = _split(table[index], receiver.owner, loads)
        if pieces:
            return (*table[:index], *pieces, *table[index + 1 :])
    return table


def _with_hot_block_moved(
    table: ranges.Table,
    candidates: abc.Sequence[ranges.Candidate],
    loads: ranges.Loads,
    moving: abc.Set[ranges.Range],
) -> ranges.Table:
    """Moves the hottest block of keys to the fastest candidate, if that helps.

    A block cannot be divided, so a faster owner is the only relief for it.
    """
    rates = {candidate.owner: candidate.rate for candidate in candidates}
    hottest = max(loads, key=lambda block: loads[block], default=None)
    if hottest is None:
        return table
    key = hottest * ranges.BLOCK_KEYS
    index = next(
        index for index, entry in enumerate(table) if entry.last >= key
    )
    entry = table[index]
    rate = rates.get(entry.owner, 0)
    fastest = max(rates, key=lambda owner: rates[owner])
    is_hot = rate and loads[hottest] > rate * HOT_LOAD_RATIO
    if (
        entry in moving
        or not is_hot
        or rates[fastest] < rate * MIN_HOT_MOVE_SPEEDUP
    ):
        return table
    pieces = _reassign_block(entry, hottest, fastest)
    return (*table[:index], *pieces, *table[index + 1 :])


def _reassign_block(
    entry: ranges.Range,
    block: int,
    receiver: ranges.Owner,
) -> ranges.Table:
    """Splits a range so that one block is a range of its own, for `receiver`."""
    first = max(block * ranges.BLOCK_KEYS, entry.first)
    last = min((block + 1) * ranges.BLOCK_KEYS - 1, entry.last)
    pieces = (
        entry._replace(last=first - 1),
        ranges.Range(first, last, receiver, ranges.NEW_FENCE),
        entry._replace(first=last + 1),
    )
    return tuple(piece for piece in pieces if piece.first <= piece.last)


def _indexes_of(table: ranges.Table, owner: ranges.Owner) -> list[int]:
    """Returns the indexes of an owner's ranges in a table."""
    return [index for index, entry in enumerate(table) if entry.owner == owner]


def _balanced(
    table: ranges.Table,
    candidates: abc.Sequence[ranges.Candidate],
    loads: ranges.Loads,
    moving: abc.Set[ranges.Range],
    swamped: ranges.Owner | None,
) -> ranges.Table:
    """Moves some keys of an overloaded owner to the least loaded one.

    Takes the most loaded owner that has keys to give. One that is overloaded by
    a single block has none; load of the other owners is balanced all the same.
    Keys leave the `swamped` owner, which has a hot block, even if no other owner
    is lightly loaded: their callers would get nothing behind those of the block.
    """
    loads_by_owner = owner_loads(table, candidates, loads)
    weights = {candidate.owner: candidate.weight for candidate in candidates}
    mean = _capped_mean(loads_by_owner.values())
    lightest = min(loads_by_owner, key=loads_by_owner.__getitem__)
    donors = sorted(
        loads_by_owner, key=loads_by_owner.__getitem__, reverse=True
    )
    if loads_by_owner[lightest] > mean * LIGHT_RATIO:
        donors = [donor for donor in donors if donor == swamped]
    for donor in donors:
        if loads_by_owner[donor] < mean * HEAVY_RATIO:
            return table
        if not _is_significant(
            loads_by_owner[donor] * weights[donor], mean * weights[donor]
        ):
            continue
        surplus = (
            (loads_by_owner[donor] - loads_by_owner[lightest])
            / 2
            * weights[donor]
        )
        movable = _movable_indexes(table, donor, moving)
        rebalanced = _with_load_moved(table, movable, lightest, loads, surplus)
        if rebalanced != table:
            return rebalanced
    return table


def _owner_of_hot_block(
    table: ranges.Table,
    candidates: abc.Sequence[ranges.Candidate],
    loads: ranges.Loads,
) -> ranges.Owner | None:
    """Returns the owner of the hottest block if that alone fills its places."""
    hottest = max(loads, key=lambda block: loads[block], default=None)
    if hottest is None:
        return None
    key = hottest * ranges.BLOCK_KEYS
    owner = next(entry.owner for entry in table if entry.last >= key)
    rates = {candidate.owner: candidate.rate for candidate in candidates}
    is_hot = loads[hottest] > rates.get(owner, 0) * HOT_LOAD_RATIO
    return owner if is_hot else None


def _is_significant(load: float, share: float) -> bool:
    """Returns whether a load exceeds an owner's share by more than chance."""
    deviation = math.sqrt(load / LOAD_WINDOW_SECONDS)
    return load - share > SIGNIFICANT_DEVIATIONS * deviation + SIGNIFICANT_LOAD


def _capped_mean(loads: abc.Collection[float]) -> float:
    """Returns the mean load, with outliers capped so that they raise it little."""
    max_load = MAX_MEDIAN_RATIO * statistics.median(loads)
    return statistics.fmean(min(load, max_load) for load in loads)


def _movable_indexes(
    table: ranges.Table,
    owner: ranges.Owner,
    moving: abc.Set[ranges.Range],
) -> list[int]:
    """Returns the indexes of an owner's ranges that it has been granted."""
    return [
        index
        for index in _indexes_of(table, owner)
        if table[index] not in moving and not ranges.is_new(table[index])
    ]


def _with_load_moved(
    table: ranges.Table,
    indexes: abc.Sequence[int],
    receiver: ranges.Owner,
    loads: ranges.Loads,
    max_load: float,
) -> ranges.Table:
    """Returns a table with up to `max_load` moved to `receiver`.

    The keys come from the ranges at `indexes`, all of one owner. A whole range
    moves if its load fits and it is not the owner's busiest; otherwise the
    busiest range that can be split loses its less loaded part.
    """
    if not indexes:
        return table
    range_loads = {
        index: ranges.load_of(table[index].first, table[index].last, loads)
        for index in indexes
    }
    busiest = max(range_loads, key=range_loads.__getitem__)
    fitting = [
        index
        for index, load in range_loads.items()
        if index != busiest and MIN_MOVED_LOAD < load <= max_load
    ]
    if fitting:
        index = max(fitting, key=range_loads.__getitem__)
        moved = table[index]._replace(owner=receiver, fence=ranges.NEW_FENCE)
        return (*table[:index], moved, *table[index + 1 :])
    divisible = _busiest_divisible(table, indexes, loads)
    if divisible is None:
        return table
    pieces = _split(table[divisible], receiver, loads, max_load)
    moved_load = sum(
        ranges.load_of(piece.first, piece.last, loads)
        for piece in pieces
        if piece.owner == receiver
    )
    if moved_load < MIN_MOVED_LOAD:
        return table
    return (*table[:divisible], *pieces, *table[divisible + 1 :])


def _busiest_divisible(
    table: ranges.Table,
    indexes: abc.Sequence[int],
    loads: ranges.Loads,
) -> int | None:
    """Returns the index of the busiest range of several blocks, or None."""
    divisible = [
        index
        for index in indexes
        if ranges.block_of(table[index].first)
        != ranges.block_of(table[index].last)
    ]
    if not divisible:
        return None
    return max(
        divisible,
        key=lambda index: ranges.load_of(
            table[index].first, table[index].last, loads
        ),
    )


def _split(
    entry: ranges.Range,
    receiver: ranges.Owner,
    loads: ranges.Loads,
    max_load: float | None = None,
) -> tuple[ranges.Range, ...]:
    """Splits a range in two and gives the less loaded part to `receiver`.

    That part has about `max_load`, and at most half of the range's load. A hot
    key so stays at its owner, and its neighbours move away from it.
    """
    total = ranges.load_of(entry.first, entry.last, loads)
    desired_load = total / 2 if max_load is None else min(max_load, total / 2)
    split_key = (
        _find_split_block(entry, loads, total, desired_load) * ranges.BLOCK_KEYS
    )
    left = entry._replace(last=split_key - 1)
    right = entry._replace(first=split_key)
    left_load = ranges.load_of(left.first, left.last, loads)
    if left_load <= total - left_load:
        moved_left = left._replace(owner=receiver, fence=ranges.NEW_FENCE)
        return (moved_left, right)
    return (left, right._replace(owner=receiver, fence=ranges.NEW_FENCE))


def _find_split_block(
    entry: ranges.Range,
    loads: ranges.Loads,
    total: float,
    desired_load: float,
) -> int:
    """Returns the first block of the right part of the best split of a range.

    The best split is the one whose less loaded part comes closest to
    `desired_load`.
    """
    first = ranges.block_of(entry.first)
    left_load: float = 0
    distances: dict[int, float] = {}
    for block in range(first + 1, ranges.block_of(entry.last) + 1):
        left_load += loads.get(block - 1, 0) + ranges.BASE_LOAD
        distances[block] = abs(min(left_load, total - left_load) - desired_load)
    return min(distances, key=distances.__getitem__)
