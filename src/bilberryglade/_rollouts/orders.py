"""Orders of operators to move a service to another version."""

import typing


class Order(typing.NamedTuple):
    """An order that is in force."""

    service: str
    #: Version to which the service is to move.
    version: str
    #: Seconds within which it is to be completed or rolled back.
    seconds: float
    #: Place of its record in the store.
    offset: int
    #: Monotonic seconds at which it was read.
    read_at: float


def is_repeat(before: Order | None, after: Order) -> bool:
    """Tells whether an order says the same as the one in force before.

    A store that comes back older is written to again, under other offsets, so
    that an order is told by what it says.
    """
    if before is None:
        return False
    return (before.version, before.seconds) == (after.version, after.seconds)
