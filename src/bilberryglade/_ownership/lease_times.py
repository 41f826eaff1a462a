"""Duration of leases on keys, and how often they are renewed."""

import typing

#: Usual duration of a lease. Keys of a crashed owner must be served again within
#: 3 s, and a lost coordinator is usually replaced before the leases end.
LEASE_SECONDS: typing.Final = 2.8
RENEWAL_INTERVAL_SECONDS: typing.Final = 0.6
#: Total rate of renewals above which the interval per range grows, up to
#: `MAX_RENEWAL_INTERVAL_SECONDS`, which is half a lease.
MAX_RENEWALS_PER_SECOND: typing.Final = 160
MAX_RENEWAL_INTERVAL_SECONDS: typing.Final = 1.4
#: Time without confirmation from the store after which leases are as long as
#: targets accept, so that they outlast an outage of the store.
STORE_SILENCE_SECONDS: typing.Final = 1.0


def lease_seconds(store_silence: float, max_seconds: float) -> float:
    """Returns the duration of a new lease.

    `store_silence` is the time since the store last confirmed the coordinator's
    claim; `max_seconds` is the longest lease that targets accept.
    """
    return (
        max_seconds if store_silence > STORE_SILENCE_SECONDS else LEASE_SECONDS
    )


def renewal_interval_seconds(range_count: int) -> float:
    """Returns the time between two renewals of each of `range_count` ranges."""
    interval = range_count / MAX_RENEWALS_PER_SECOND
    return min(
        max(interval, RENEWAL_INTERVAL_SECONDS), MAX_RENEWAL_INTERVAL_SECONDS
    )
