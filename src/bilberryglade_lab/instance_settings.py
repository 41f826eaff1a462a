"""Settings of the entry instances of a deployment."""

import hashlib
import typing

from bilberryglade_schema import settings

ADMIN_TOKEN: typing.Final = 'operators-token'
TIMINGS: typing.Final[settings.TimingSettings] = {
    'heartbeat_ms': 200,
    'suspect_ms': 800,
    'authority_ms': 800,
    'lease_ms': 1000,
    'renew_ms': 250,
    'log_wait_ms': 250,
    'drift_permille': 10,
    'request_limit_ms': 5000,
    # The stand-in list has no lag unless a test gives it one.
    'list_lag_ms': 3000,
}
LIMITS: typing.Final[settings.LimitSettings] = {
    'body_bytes': 1_048_576,
    'queue_length': 200,
    'peer_queue_length': 10_000,
}


class Place(typing.NamedTuple):
    """An entry instance and its ports for callers, operators and peers."""

    name: str
    failure_domain: str
    ports: list[int]


def settings_of(
    place: Place,
    platform: settings.PlatformSettings,
    peers: settings.PeerSettings,
) -> settings.InstanceSettings:
    """Returns the settings of the instance at `place`."""
    callers, admin, receiver = (f'127.0.0.1:{port}' for port in place.ports)
    digest = hashlib.sha256(ADMIN_TOKEN.encode()).hexdigest()
    return {
        'instance': place.name,
        'failure_domain': place.failure_domain,
        'listen': {'callers': callers, 'admin': admin, 'peers': receiver},
        'platform': platform,
        'peers': peers,
        'timings': TIMINGS,
        'limits': LIMITS,
        'logs': {'format': 'text', 'level': 'WARNING'},
        'admin': {'token_digest': digest},
    }
