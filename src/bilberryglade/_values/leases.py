"""Leases on ranges of keys, as targets are given them."""

import enum
import typing

#: Keys are whole numbers from 0 to this one.
LAST_KEY: typing.Final = 65_535


class Lease(typing.NamedTuple):
    """Sole ownership of a range of keys for a limited time."""

    #: First and last key, both inclusive.
    first: int
    last: int
    #: Fencing token; a target refuses a lower one than it has seen.
    fence: int
    #: Seconds from the arrival of the order.
    seconds: float = 0
    #: Word of the previous owner that its warm state can be taken over.
    handover: str = ''
    #: Whether its holder confirmed an earlier order of it that still runs.
    is_renewal: bool = False


class Holder(typing.NamedTuple):
    """Where an order goes, and which target alone may take it."""

    name: str
    #: IP number and port; another target may have it by now.
    address: str


class Failure(enum.StrEnum):
    """Why an order to a target was not confirmed."""

    #: No byte of it went out.
    unreachable = 'unreachable'
    #: It was sent; it may be carried out, also later.
    unclear = 'unclear'
    #: The target has seen a higher fence.
    fenced = 'fenced'
    rejected = 'rejected'
