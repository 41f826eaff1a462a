"""Decides which target owns which keys.

Keys leave their owner only if it is gone, leaving, taken out, or carries far
more than others; a move costs warm state. The load that this answers: some
keys are much busier than others, busy keys are close together and change
within minutes.
"""

import math
import statistics
import typing
from collections import abc

from bilberryglade._ownership import ranges
from bilberryglade._values import leases

#: An owner gives keys away from this many times the mean load on.
HEAVY_RATIO: typing.Final = 1.2
#: An owner takes keys up to this many times the mean load.
LIGHT_RATIO: typing.Final = 0.95
#: Standard deviations of a counted load, and requests a second beyond them, by
#: which a heavy owner must exceed its part: less is chance, and every move
#: keeps callers waiting.
SIGNIFICANT_DEVIATIONS: typing.Final = 1.5
SIGNIFICANT_LOAD: typing.Final = 0.5
#: Seconds over which loads are counted.
LOAD_WINDOW_SECONDS: typing.Final = 6.0
#: Requests a second on a range below which moving it evens nothing out.
MIN_MOVED_LOAD: typing.Final = 0.5
#: Requests a second that one heir should take of a lost owner.
LOAD_PER_SUCCESSOR: typing.Final = 4.0
#: Part of what an owner can finish from which one block of keys is hot.
HOT_LOAD_RATIO: typing.Final = 0.6
#: How much more than a hot block's owner its next owner must finish: moving
#: it keeps its callers waiting.
MIN_HOT_MOVE_SPEEDUP: typing.Final = 1.3
#: A load counts for the mean up to so many times the median.
MAX_MEDIAN_RATIO: typing.Final = 1.3
#: Most pieces of keys that one plan moves for balance.
MAX_BALANCE_MOVES: typing.Final = 6
#: Most pieces that the keys of a lost owner are divided into.
MAX_SUCCESSORS: typing.Final = 3

NONE_MOVING: typing.Final[abc.Set[ranges.Range]] = frozenset()


class Plan(typing.NamedTuple):
    """The table that is wanted, and what it changes."""

    table: ranges.Table
    is_changed: bool


def plan(
    table: ranges.Table,
    candidates: abc.Sequence[ranges.Candidate],
    loads: ranges.Loads,
    may_balance: bool,
    moving: abc.Set[ranges.Range] = NONE_MOVING,
) -> Plan:
    """Returns the wanted table; it is empty while there is no candidate.

    The hottest block of keys may always move; the rest is evened out only if
    `may_balance` says so, and `moving` ranges are left to arrive before.
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
        for _ in range(MAX_BALANCE_MOVES):
            planned = _balanced(planned, candidates, loads, moving)
    planned = ranges.merged(planned)
    return Plan(planned, is_changed=planned != ranges.merged(table))


def owner_loads(
    table: ranges.Table,
    candidates: abc.Sequence[ranges.Candidate],
    loads: ranges.Loads,
) -> dict[ranges.Owner, float]:
    """Returns the load of each candidate by weight."""
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
    """Gives the keys of owners that are no candidates to others.

    A target that started again keeps its keys: it has to be granted them
    anew, which is no move.
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
    """Divides a range over the least loaded, and counts it to them."""
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
    load = ranges.load_of(entry.first, entry.last, loads)
    pieces = int(load / LOAD_PER_SUCCESSOR) + 1
    return min(pieces, MAX_SUCCESSORS)


def _with_newcomers(
    table: ranges.Table,
    candidates: abc.Sequence[ranges.Candidate],
    loads: ranges.Loads,
) -> ranges.Table:
    """Gives each candidate without keys a part of the heaviest owner's."""
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
    """Moves the hottest block of keys to the fastest owner, if that helps.

    One block has one owner, so its speed is all that can be done for it.
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
    """Returns a range without one block, and the block with its new owner."""
    first = max(block * ranges.BLOCK_KEYS, entry.first)
    last = min((block + 1) * ranges.BLOCK_KEYS - 1, entry.last)
    pieces = (
        entry._replace(last=first - 1),
        ranges.Range(first, last, receiver, ranges.NEW_FENCE),
        entry._replace(first=last + 1),
    )
    return tuple(piece for piece in pieces if piece.first <= piece.last)


def _indexes_of(table: ranges.Table, owner: ranges.Owner) -> list[int]:
    return [index for index, entry in enumerate(table) if entry.owner == owner]


def _balanced(
    table: ranges.Table,
    candidates: abc.Sequence[ranges.Candidate],
    loads: ranges.Loads,
    moving: abc.Set[ranges.Range],
) -> ranges.Table:
    """Moves some keys of the heaviest owner that can give to the lightest.

    An owner whose one block of keys is hotter than it bears cannot give; that
    must not keep the others from being evened out.
    """
    loads_by_owner = owner_loads(table, candidates, loads)
    weights = {candidate.owner: candidate.weight for candidate in candidates}
    mean = _capped_mean(loads_by_owner.values())
    lightest = min(loads_by_owner, key=loads_by_owner.__getitem__)
    if loads_by_owner[lightest] > mean * LIGHT_RATIO:
        return table
    for donor in sorted(
        loads_by_owner, key=loads_by_owner.__getitem__, reverse=True
    ):
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


def _is_significant(load: float, share: float) -> bool:
    """Tells whether a load exceeds an owner's part by more than chance."""
    deviation = math.sqrt(load / LOAD_WINDOW_SECONDS)
    return load - share > SIGNIFICANT_DEVIATIONS * deviation + SIGNIFICANT_LOAD


def _capped_mean(loads: abc.Collection[float]) -> float:
    """Returns the mean load; one that stands out does not raise it much."""
    max_load = MAX_MEDIAN_RATIO * statistics.median(loads)
    return statistics.fmean(min(load, max_load) for load in loads)


def _movable_indexes(
    table: ranges.Table,
    owner: ranges.Owner,
    moving: abc.Set[ranges.Range],
) -> list[int]:
    """Returns the places of an owner's ranges that have arrived."""
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
    """Returns the table after the ranges at `places` gave up to `spare`.

    A whole range goes if it fits and is not the giver's busiest; else the
    busiest that can be cut loses its lighter part.
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
    """Returns the place of the busiest of some ranges that can be cut."""
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
    """Cuts a range where the smaller part has half its load, or less.

    The part without the busiest block goes to `taker`, so that a hot key
    stays where it is and what lies beside it moves away from it.
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
    """Returns the block at which the smaller part comes closest to `wanted`."""
    first = ranges.block_of(entry.first)
    left_load: float = 0
    distances: dict[int, float] = {}
    for block in range(first + 1, ranges.block_of(entry.last) + 1):
        left_load += loads.get(block - 1, 0) + ranges.BASE_LOAD
        distances[block] = abs(min(left_load, total - left_load) - desired_load)
    return min(distances, key=distances.__getitem__)
