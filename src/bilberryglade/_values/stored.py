"""What is kept in the platform's store: records under keys, and their positions.

Outside of the store's client a position is one integer, `Position.packed`: the
era in the high bits, the store's offset in the low ones. Integers of different
eras are in the order of the tuples, so whatever follows from a position (claims,
epochs, versions, fences) rises with the era. Era 0 leaves offsets as they are.
"""

import enum
import typing

#: Bits of a packed position that hold the offset. A topic with 10,000 appends a
#: second gets there in three years.
OFFSET_BITS: typing.Final = 40
OFFSETS_PER_ERA: typing.Final = 1 << OFFSET_BITS
#: Bits of the integers that all readers of JSON keep exact, as of fences. A fence
#: is up to twice a packed position.
EXACT_BITS: typing.Final = 53
MAX_ERA: typing.Final = (1 << EXACT_BITS - 1 - OFFSET_BITS) - 1
#: Stands for the position before the first record, in any era.
NOWHERE: typing.Final = -1


class Position(typing.NamedTuple):
    """A place in a topic of the store; ordered by era, then by offset."""

    #: Counts how often the store has come back from an older copy.
    era: int
    #: Place in the topic as the store counts it in this era.
    offset: int

    @property
    def packed(self) -> int:
        """The position as one integer, in the same order."""
        return self.era * OFFSETS_PER_ERA + self.offset


def position_of(packed: int) -> Position:
    """Returns the position that an integer stands for.

    Negative integers stand before the first record of era 0.
    """
    if packed < 0:
        return Position(0, packed)
    return Position(*divmod(packed, OFFSETS_PER_ERA))


def era_of(packed: int) -> int:
    """Returns the era of a packed position."""
    return position_of(packed).era


class Record(typing.NamedTuple):
    """The newest record of a key."""

    key: str
    #: Its packed position in the topic; a later record has a higher one.
    offset: int
    #: None if the key was dropped.
    payload: bytes | None


class Batch(typing.NamedTuple):
    """Records of a topic in order of their offsets."""

    records: tuple[Record, ...]
    #: Packed position that the next record will get.
    end: int
    #: Whether these are all keys that the topic holds.
    is_whole: bool


class Failure(enum.StrEnum):
    """Why the store gave no usable answer."""

    #: Nothing was done.
    refused = 'refused'
    #: It may have been done, or be done later.
    unclear = 'unclear'
    #: The condition of an append does not hold, so nothing was done.
    conflict = 'conflict'
    #: The records asked for are not kept any more.
    expired = 'expired'
    unreadable = 'unreadable'


class Condition(typing.NamedTuple):
    """What must hold for an append to be carried out."""

    #: Packed position at which the topic must end; None if any.
    end: int | None = None
    #: Writers with a lower epoch under the same name are fenced off.
    writer: str = ''
    #: A packed position: epochs of a later era are higher than all earlier ones.
    epoch: int = 0
    sequence: int = 0


ALWAYS: typing.Final = Condition()
