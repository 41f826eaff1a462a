"""Key ranges, their owners and fences; only the coordinator changes tables.

A table covers all keys of a service without gap or overlap. A range that
changes owner gets a new fence, computed from the offset of the table's record.
"""

import itertools
import typing
from collections import abc

from bilberryglade._values import leases

#: Keys in a block. Load is counted by block, and ranges begin at a block.
BLOCK_KEYS: typing.Final = 16
BLOCKS: typing.Final = (leases.LAST_KEY + 1) // BLOCK_KEYS
#: Fence of a range whose record has not been written yet.
NEW_FENCE: typing.Final = 0
#: Fences reserved for each record: one to release a range, one to grant it.
FENCES_PER_RECORD: typing.Final = 2


class Owner(typing.NamedTuple):
    """One incarnation of a target: its name and the time of its start."""

    target: str
    born: int


class Range(typing.NamedTuple):
    """Keys from `first` to `last`, both inclusive, of one owner."""

    first: int
    last: int
    owner: Owner
    fence: int


class Candidate(typing.NamedTuple):
    """A target that may own keys, with its share of the load and its speed."""

    owner: Owner
    #: Share of the load that it should carry, relative to other candidates.
    weight: float
    #: Requests a second that it can finish; 0 if unknown.
    rate: float = 0


Table: typing.TypeAlias = tuple[Range, ...]
#: Requests a second by block of keys.
Loads: typing.TypeAlias = abc.Mapping[int, float]
#: Requests a second added to the load of every block, so that idle blocks are
#: divided over the owners too.
BASE_LOAD: typing.Final = 0.005


class IndexedLoads(abc.Mapping[int, float]):
    """Loads by block with prefix sums: any span is summed in constant time."""

    def __init__(self, loads: Loads) -> None:
        """Computes the prefix sums of `loads`."""
        self.loads = loads
        dense = (loads.get(block, 0) for block in range(BLOCKS))
        self.sums = tuple(itertools.accumulate(dense, initial=0))

    def __getitem__(self, block: int) -> float:
        """Returns the requests a second on a block of keys."""
        return self.loads[block]

    def __iter__(self) -> abc.Iterator[int]:
        """Returns an iterator over the blocks with any load."""
        return iter(self.loads)

    def __len__(self) -> int:
        """Returns how many blocks have any load."""
        return len(self.loads)

    def between(self, first: int, last: int) -> float:
        """Returns the load on the blocks from `first` to `last`."""
        return self.sums[last + 1] - self.sums[first]


def indexed(loads: Loads) -> IndexedLoads:
    """Returns `loads` with prefix sums, which are computed if missing."""
    return loads if isinstance(loads, IndexedLoads) else IndexedLoads(loads)


def is_new(entry: Range) -> bool:
    """Returns whether a range has no fence yet, as its record is unwritten."""
    return entry.fence == NEW_FENCE


def fence_at(offset: int) -> int:
    """Returns the fence of ranges that the record at `offset` changed.

    Every second number is reserved for releases.
    """
    return offset * FENCES_PER_RECORD + FENCES_PER_RECORD


def release_fence(entry: Range) -> int:
    """Returns the fence with which earlier owners of a range release it.

    It is above the earlier owners' fences, so that a late grant with one of
    these is refused, and below the new owner's fence.
    """
    return entry.fence - 1


def block_of(key: int) -> int:
    """Returns the block of a key."""
    return key // BLOCK_KEYS


def load_of(first: int, last: int, loads: Loads) -> float:
    """Returns the requests a second on the keys from `first` to `last`.

    Both keys are inclusive; the load of the blocks that they are in counts
    whole, with `BASE_LOAD` for each block.
    """
    begin, end = block_of(first), block_of(last)
    counted = indexed(loads).between(begin, end)
    return counted + BASE_LOAD * (end - begin + 1)


def divide(
    first: int,
    last: int,
    owners: abc.Sequence[Candidate],
    loads: Loads,
) -> Table:
    """Divides the keys from `first` to `last` over `owners`.

    Each owner gets one range, whose load is in proportion to its weight.
    """
    total_weight = sum(owner.weight for owner in owners)
    total_load = load_of(first, last, loads)
    pieces: list[Range] = []
    begin = first
    cumulative_load: float = 0
    for index, candidate in enumerate(owners):
        cumulative_load += total_load * candidate.weight / total_weight
        owners_left = len(owners) - index - 1
        end = _piece_end(
            begin,
            last,
            cumulative_load - _load_of_pieces(pieces, loads),
            owners_left,
            loads,
        )
        if end < begin:
            break
        pieces.append(Range(begin, end, candidate.owner, NEW_FENCE))
        begin = end + 1
    return tuple(pieces)


def _piece_end(
    begin: int,
    last: int,
    load: float,
    owners_left: int,
    loads: Loads,
) -> int:
    """Returns the last key of a piece with `load`, at least one block long.

    One block is left for each of the `owners_left`; without any, the piece ends
    at `last`.
    """
    if not owners_left:
        return last
    max_block = block_of(last) - owners_left
    block = block_of(begin)
    if block > max_block:
        return min((block + 1) * BLOCK_KEYS - 1, last)
    piece_load = loads.get(block, 0) + BASE_LOAD
    while block < max_block and piece_load < load:
        block += 1
        piece_load += loads.get(block, 0) + BASE_LOAD
    return (block + 1) * BLOCK_KEYS - 1


def _load_of_pieces(pieces: abc.Sequence[Range], loads: Loads) -> float:
    if not pieces:
        return 0
    return load_of(pieces[0].first, pieces[-1].last, loads)


def merged(table: Table) -> Table:
    """Returns a table with adjacent ranges of one owner and fence joined."""
    joined: list[Range] = []
    for entry in table:
        if joined and _can_merge(joined[-1], entry):
            joined[-1] = joined[-1]._replace(last=entry.last)
        else:
            joined.append(entry)
    return tuple(joined)


def owners_in(table: Table) -> frozenset[Owner]:
    """Returns the owners of the ranges of a table."""
    return frozenset(entry.owner for entry in table)


def keys_moved(before: Table, after: Table) -> int:
    """Returns how many keys have another owner in `after` than in `before`."""
    moved = 0
    index = 0
    for entry in after:
        first = entry.first
        while index < len(before) and first <= entry.last:
            earlier = before[index]
            last = min(earlier.last, entry.last)
            if earlier.owner != entry.owner:
                moved += last - first + 1
            first = last + 1
            if earlier.last == last:
                index += 1
    return moved


def is_whole(table: Table) -> bool:
    """Returns whether a table covers every key exactly once."""
    next_key = 0
    for entry in table:
        if entry.first != next_key or entry.last < entry.first:
            return False
        next_key = entry.last + 1
    return next_key == leases.LAST_KEY + 1


def _can_merge(left: Range, right: Range) -> bool:
    return left.owner == right.owner and left.fence == right.fence
