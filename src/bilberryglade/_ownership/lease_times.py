"""How long leases on keys are made, and how often they are renewed."""

import typing

#: Seconds of a usual lease: a key of a lost owner is to be served again within
#: 3 s, and a lost coordinator is mostly replaced before leases end.
LEASE_SECONDS: typing.Final = 2.8
RENEWAL_SECONDS: typing.Final = 0.6
#: Renewals a second from which they follow one another less closely, and the
#: longest time between two of a range: half of a lease.
MOST_RENEWALS_PER_SECOND: typing.Final = 160
LONGEST_RENEWAL_SECONDS: typing.Final = 1.4
#: Seconds without the store's word from which leases are made as long as
#: targets accept, so that they outlast an outage.
STORE_SILENCE_SECONDS: typing.Final = 1.0


def lease_seconds(silence: float, longest: float) -> float:
    """Returns how long a lease is made after the store's `silence`."""
    return longest if silence > STORE_SILENCE_SECONDS else LEASE_SECONDS


def renewal_seconds(count: int) -> float:
    """Returns the time between two renewals of each of `count` ranges."""
    needed = count / MOST_RENEWALS_PER_SECOND
    return min(max(needed, RENEWAL_SECONDS), LONGEST_RENEWAL_SECONDS)
