"""A valid settings document, from which the checks take sound values.

A value that is refused is replaced by the one here, so that the checks can
go on and find the next error. The keys in it are public: never use them.
"""

import typing

from bilberryglade_schema import settings

KEY_LENGTH: typing.Final = 40
DIGEST_LENGTH: typing.Final = 64

SETTINGS: typing.Final[settings.InstanceSettings] = {  # noqa: WPS407
    'instance': 'entry-1',
    'failure_domain': 'north',
    'listen': {
        'callers': '127.0.0.1:8080',
        'admin': '127.0.0.1:8081',
        'peers': '127.0.0.1:8082',
    },
    'platform': {
        'log_url': 'http://127.0.0.1:9000',
        'list_url': 'http://127.0.0.1:9001',
    },
    'peers': {'public_key': '0' * KEY_LENGTH, 'secret_key': '0' * KEY_LENGTH},
    'timings': {
        'heartbeat_ms': 250,
        'suspect_ms': 1000,
        'authority_ms': 800,
        'lease_ms': 1000,
        'renew_ms': 250,
        'log_wait_ms': 250,
        'drift_permille': 10,
        'request_limit_ms': 5000,
        'stop_ms': 5000,
        'notice_ms': 500,
    },
    'limits': {
        'body_bytes': 1_048_576,
        'queue_length': 200,
        'peer_queue_length': 10_000,
        'header_bytes': 65_536,
        'connections': 4096,
    },
    'logs': {'format': 'json', 'level': 'INFO'},
    'admin': {'token_digest': '0' * DIGEST_LENGTH},
}
