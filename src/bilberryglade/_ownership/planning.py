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
SURE_DEVIATIONS: typing.Final = 1.5
SURE_LOAD: typing.Final = 0.5
#: Seconds over which loads are counted.
COUNTED_SECONDS: typing.Final = 6.0
#: Requests a second on a range below which moving it evens nothing out.
LEAST_GIVEN_LOAD: typing.Final = 0.5
#: Requests a second that one heir should take of a lost owner.
HEIR_LOAD: typing.Final = 4.0
#: Part of what an owner can finish from which one block of keys is hot.
HOT_PART: typing.Final = 0.6
#: How much more than a hot block's owner its next owner must finish: moving
#: it keeps its callers waiting.
HOT_GAIN: typing.Final = 1.3
#: A load counts for the mean up to so many times the median.
MOST_OF_MEDIAN: typing.Final = 1.3
#: Most pieces of keys that one plan moves for balance.
MOST_SHIFTS: typing.Final = 6
#: Most pieces that the keys of a lost owner are divided into.
MOST_HEIRS: typing.Final = 3

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
        fresh = ranges.divide(0, leases.LAST_KEY, candidates, loads)
        return Plan(fresh, is_changed=True)
    wanted = _inherited(table, candidates, loads)
    wanted = _with_newcomers(wanted, candidates, loads)
    if wanted == table:
        wanted = _hot_moved(wanted, candidates, loads, moving)
    if may_balance and wanted == table:
        for _ in range(MOST_SHIFTS):
            wanted = _balanced(wanted, candidates, loads, moving)
    wanted = ranges.merged(wanted)
    return Plan(wanted, is_changed=wanted != ranges.merged(table))


def owner_loads(
    table: ranges.Table,
    candidates: abc.Sequence[ranges.Candidate],
    loads: ranges.Loads,
) -> dict[ranges.Owner, float]:
    """Returns the load of each candidate by weight."""
    loads = ranges.indexed(loads)
    weights = {one.owner: one.weight for one in candidates}
    found: dict[ranges.Owner, float] = dict.fromkeys(weights, 0)
    for entry in table:
        weight = weights.get(entry.owner)
        if weight is not None:
            load = ranges.load_of(entry.first, entry.last, loads)
            found[entry.owner] += load / weight
    return found


def _inherited(
    table: ranges.Table,
    candidates: abc.Sequence[ranges.Candidate],
    loads: ranges.Loads,
) -> ranges.Table:
    """Gives the keys of owners that are no candidates to others.

    A target that started again keeps its keys: it has to be granted them
    anew, which is no move.
    """
    alive = {candidate.owner: candidate for candidate in candidates}
    if all(entry.owner in alive for entry in table):
        return table
    lives = {candidate.owner.target: candidate for candidate in candidates}
    busy = owner_loads(table, candidates, loads)
    kept: list[ranges.Range] = []
    for entry in table:
        reborn = lives.get(entry.owner.target)
        if entry.owner in alive:
            kept.append(entry)
        elif reborn is None:
            kept.extend(_bequeathed(entry, busy, alive, loads))
        else:
            kept.append(
                entry._replace(owner=reborn.owner, fence=ranges.NEW_FENCE)
            )
    return tuple(kept)


def _bequeathed(
    entry: ranges.Range,
    busy: dict[ranges.Owner, float],
    alive: abc.Mapping[ranges.Owner, ranges.Candidate],
    loads: ranges.Loads,
) -> ranges.Table:
    """Divides a range over the least loaded, and counts it to them."""
    heirs = sorted(alive.values(), key=lambda heir: busy[heir.owner])
    pieces = ranges.divide(
        entry.first, entry.last, heirs[: _heirs_for(entry, loads)], loads
    )
    for piece in pieces:
        load = ranges.load_of(piece.first, piece.last, loads)
        busy[piece.owner] += load / alive[piece.owner].weight
    return pieces


def _heirs_for(entry: ranges.Range, loads: ranges.Loads) -> int:
    load = ranges.load_of(entry.first, entry.last, loads)
    pieces = int(load / HEIR_LOAD) + 1
    return min(pieces, MOST_HEIRS)


def _with_newcomers(
    table: ranges.Table,
    candidates: abc.Sequence[ranges.Candidate],
    loads: ranges.Loads,
) -> ranges.Table:
    """Gives each candidate without keys a part of the heaviest owner's."""
    owners = {entry.owner for entry in table}
    for candidate in candidates:
        if candidate.owner not in owners:
            table = _shared(table, candidate, candidates, loads)
    return table


def _shared(
    table: ranges.Table,
    taker: ranges.Candidate,
    candidates: abc.Sequence[ranges.Candidate],
    loads: ranges.Loads,
) -> ranges.Table:
    busy = owner_loads(table, candidates, loads)
    for giver in sorted(busy, key=busy.__getitem__, reverse=True):
        place = _largest(table, _places(table, giver), loads)
        if place is None:
            continue
        pieces = _cut(table[place], taker.owner, loads)
        if pieces:
            return (*table[:place], *pieces, *table[place + 1 :])
    return table


def _hot_moved(
    table: ranges.Table,
    candidates: abc.Sequence[ranges.Candidate],
    loads: ranges.Loads,
    moving: abc.Set[ranges.Range],
) -> ranges.Table:
    """Moves the hottest block of keys to the fastest owner, if that helps.

    One block has one owner, so its speed is all that can be done for it.
    """
    rates = {one.owner: one.rate for one in candidates}
    hottest = max(loads, key=lambda block: loads[block], default=None)
    if hottest is None:
        return table
    key = hottest * ranges.BLOCK_KEYS
    place = next(
        place for place, entry in enumerate(table) if entry.last >= key
    )
    entry = table[place]
    rate = rates.get(entry.owner, 0)
    fastest = max(rates, key=lambda owner: rates[owner])
    is_hot = rate and loads[hottest] > rate * HOT_PART
    if entry in moving or not is_hot or rates[fastest] < rate * HOT_GAIN:
        return table
    pieces = _carved(entry, hottest, fastest)
    return (*table[:place], *pieces, *table[place + 1 :])


def _carved(
    entry: ranges.Range,
    block: int,
    taker: ranges.Owner,
) -> ranges.Table:
    """Returns a range without one block, and the block with its new owner."""
    first = max(block * ranges.BLOCK_KEYS, entry.first)
    last = min((block + 1) * ranges.BLOCK_KEYS - 1, entry.last)
    pieces = (
        entry._replace(last=first - 1),
        ranges.Range(first, last, taker, ranges.NEW_FENCE),
        entry._replace(first=last + 1),
    )
    return tuple(piece for piece in pieces if piece.first <= piece.last)


def _places(table: ranges.Table, owner: ranges.Owner) -> list[int]:
    return [place for place, entry in enumerate(table) if entry.owner == owner]


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
    busy = owner_loads(table, candidates, loads)
    weights = {one.owner: one.weight for one in candidates}
    mean = _usual(busy.values())
    light = min(busy, key=busy.__getitem__)
    if busy[light] > mean * LIGHT_RATIO:
        return table
    for giver in sorted(busy, key=busy.__getitem__, reverse=True):
        if busy[giver] < mean * HEAVY_RATIO:
            return table
        if not _is_sure(busy[giver] * weights[giver], mean * weights[giver]):
            continue
        spare = (busy[giver] - busy[light]) / 2 * weights[giver]
        free = _free_places(table, giver, moving)
        given = _given(table, free, light, loads, spare)
        if given != table:
            return given
    return table


def _is_sure(load: float, part: float) -> bool:
    """Tells whether a load exceeds an owner's part by more than chance."""
    deviation = math.sqrt(load / COUNTED_SECONDS)
    return load - part > SURE_DEVIATIONS * deviation + SURE_LOAD


def _usual(loads: abc.Collection[float]) -> float:
    """Returns the mean load; one that stands out does not raise it much."""
    most = MOST_OF_MEDIAN * statistics.median(loads)
    return statistics.fmean(min(load, most) for load in loads)


def _free_places(
    table: ranges.Table,
    owner: ranges.Owner,
    moving: abc.Set[ranges.Range],
) -> list[int]:
    """Returns the places of an owner's ranges that have arrived."""
    return [
        place
        for place in _places(table, owner)
        if table[place] not in moving and not ranges.is_new(table[place])
    ]


def _given(
    table: ranges.Table,
    places: abc.Sequence[int],
    taker: ranges.Owner,
    loads: ranges.Loads,
    spare: float,
) -> ranges.Table:
    """Returns the table after the ranges at `places` gave up to `spare`.

    A whole range goes if it fits and is not the giver's busiest; else the
    busiest that can be cut loses its lighter part.
    """
    if not places:
        return table
    own = {
        place: ranges.load_of(table[place].first, table[place].last, loads)
        for place in places
    }
    busiest = max(own, key=own.__getitem__)
    fitting = [
        place
        for place, load in own.items()
        if place != busiest and LEAST_GIVEN_LOAD < load <= spare
    ]
    if fitting:
        place = max(fitting, key=own.__getitem__)
        moved = table[place]._replace(owner=taker, fence=ranges.NEW_FENCE)
        return (*table[:place], moved, *table[place + 1 :])
    cut = _largest(table, places, loads)
    if cut is None:
        return table
    pieces = _cut(table[cut], taker, loads, spare)
    moved_load = sum(
        ranges.load_of(piece.first, piece.last, loads)
        for piece in pieces
        if piece.owner == taker
    )
    if moved_load < LEAST_GIVEN_LOAD:
        return table
    return (*table[:cut], *pieces, *table[cut + 1 :])


def _largest(
    table: ranges.Table,
    places: abc.Sequence[int],
    loads: ranges.Loads,
) -> int | None:
    """Returns the place of the busiest of some ranges that can be cut."""
    divisible = [
        place
        for place in places
        if ranges.block_of(table[place].first)
        != ranges.block_of(table[place].last)
    ]
    if not divisible:
        return None
    return max(
        divisible,
        key=lambda place: ranges.load_of(
            table[place].first, table[place].last, loads
        ),
    )


def _cut(
    entry: ranges.Range,
    taker: ranges.Owner,
    loads: ranges.Loads,
    most_load: float | None = None,
) -> tuple[ranges.Range, ...]:
    """Cuts a range where the smaller part has half its load, or less.

    The part without the busiest block goes to `taker`, so that a hot key
    stays where it is and what lies beside it moves away from it.
    """
    total = ranges.load_of(entry.first, entry.last, loads)
    wanted = total / 2 if most_load is None else min(most_load, total / 2)
    border = _border(entry, loads, total, wanted) * ranges.BLOCK_KEYS
    left = entry._replace(last=border - 1)
    right = entry._replace(first=border)
    left_load = ranges.load_of(left.first, left.last, loads)
    if left_load <= total - left_load:
        moved_left = left._replace(owner=taker, fence=ranges.NEW_FENCE)
        return (moved_left, right)
    return (left, right._replace(owner=taker, fence=ranges.NEW_FENCE))


def _border(
    entry: ranges.Range,
    loads: ranges.Loads,
    total: float,
    wanted: float,
) -> int:
    """Returns the block at which the smaller part comes closest to `wanted`."""
    first = ranges.block_of(entry.first)
    passed: float = 0
    gaps: dict[int, float] = {}
    for block in range(first + 1, ranges.block_of(entry.last) + 1):
        passed += loads.get(block - 1, 0) + ranges.BASE_LOAD
        gaps[block] = abs(min(passed, total - passed) - wanted)
    return min(gaps, key=gaps.__getitem__)
