"""How long leases on keys are made, and how often they are renewed."""

import typing

#: Seconds of a usual lease: a key of a lost owner is to be served again within
#: 3 s, and a lost coordinator is mostly replaced before leases end.
LEASE_SECONDS: typing.Final = 2.8
RENEWAL_INTERVAL_SECONDS: typing.Final = 0.6
#: Renewals a second from which they follow one another less closely, and the
#: longest time between two of a range: half of a lease.
MAX_RENEWALS_PER_SECOND: typing.Final = 160
MAX_RENEWAL_INTERVAL_SECONDS: typing.Final = 1.4
#: Seconds without the store's word from which leases are made as long as
#: targets accept, so that they outlast an outage.
STORE_SILENCE_SECONDS: typing.Final = 1.0


def lease_seconds(store_silence: float, max_seconds: float) -> float:
    """Returns how long a lease is made after the store's `silence`."""
    return (
        max_seconds if store_silence > STORE_SILENCE_SECONDS else LEASE_SECONDS
    )


def renewal_interval_seconds(range_count: int) -> float:
    """Returns the time between two renewals of each of `count` ranges."""
    interval = range_count / MAX_RENEWALS_PER_SECOND
    return min(
        max(interval, RENEWAL_INTERVAL_SECONDS), MAX_RENEWAL_INTERVAL_SECONDS
    )
