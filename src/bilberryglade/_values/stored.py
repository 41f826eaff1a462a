"""What is kept in the platform's store: records under keys."""

import enum
import typing


class Record(typing.NamedTuple):
    """The newest record of a key."""

    key: str
    #: Its place in the topic; a later record has a higher one.
    offset: int
    #: None if the key was dropped.
    payload: bytes | None


class Batch(typing.NamedTuple):
    """Records of a topic in order of their offsets."""

    records: tuple[Record, ...]
    #: Offset that the next record will get.
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

    #: Offset at which the topic must end; None if any.
    end: int | None = None
    #: Writers with a lower epoch under the same name are fenced off.
    writer: str = ''
    epoch: int = 0
    sequence: int = 0


ALWAYS: typing.Final = Condition()
