"""Divides the places of a pool among kinds of requests that want more of them.

The share of a kind that is admitted follows from the shadow price of a place:
the most urgent kinds get what they want as long as there is room, the others
what is left, but each gets at least a floor. Shares never rise as urgency
falls, so a more urgent kind is not served less often than a less urgent one.
"""

import typing
from collections import abc

#: Part of an even division that each kind gets in any case, so that none
#: starves. docs/design/admission.md has the figures of other values.
FLOOR_PART: typing.Final = 0.4
#: Least rate that is reckoned with, in requests a second.
LEAST_RATE: typing.Final = 0.001


def shares(
    demand: abc.Mapping[int | None, float],
    capacity: float,
) -> dict[int | None, float]:
    """Returns the share of each kind's requests that gets a place, 0 to 1.

    `demand` is in requests a second by urgency, `capacity` in requests a
    second. Requests of no known urgency get an even share, as they did when
    no urgency was told.
    """
    total = sum(demand.values())
    if total <= capacity:
        return dict.fromkeys(demand, 1.0)
    even = capacity / total
    floor = even * FLOOR_PART
    divided: dict[int | None, float] = {None: even}
    room = capacity - floor * total
    room -= demand.get(None, 0) * (even - floor)
    for urgency in sorted(one for one in demand if one is not None):
        wanted = max(demand[urgency], LEAST_RATE)
        extra = min(wanted * (1 - floor), max(room, 0))
        room -= extra
        divided[urgency] = floor + extra / wanted
    return divided
