"""Bytes as the platform writes them."""

import json
import typing

NODE_FILE: typing.Final[dict[str, typing.Any]] = {  # noqa: WPS407
    'grants': 'rpc',
    'self': {
        'node': 'edge-a-1',
        'ip': '127.0.0.1',
        'zone': 'a',
        'region': 'r',
        'bootstrap': True,
        'data_dir': None,
    },
    'network': {
        'listen': {
            'front': '127.0.0.1:8388',
            'ready': '127.0.0.1:8384',
            'control': '127.0.0.1:8381',
        },
        'internal_ports': [7560, 7575],
        'seeds': [],
        'zones': {'a': 'r', 'b': 'r'},
    },
    'provider': {
        'heartbeat': '870ms',
        'provider': {'address': '127.0.0.1:8382', 'form': 'log'},
    },
    'terms': {
        'bounds': {
            'config_apply': '2000ms',
            'drain': '2000ms',
            'grace': '6s',
            'hold_max': '10000ms',
            'retry_budget_ratio': 0.2,
            'budget_slack': 64,
            'budget_window': '10s',
            'warmup_overshoot': 1.5,
            'warmup_slack': 5,
        },
    },
}

ROUTE_COLUMNS: typing.Final = (
    'name',
    'hostname',
    'path_prefix',
    'route_type',
    'timeout',
    'target_latency',
    'priority',
    'service',
    'attempts',
    'public',
    'traffic_split',
)


def configuration(version: int = 7, **changes: typing.Any) -> bytes:
    """Returns a configuration with two routes, two services, one holder."""
    split = [
        {'service': 'ledger', 'weight': 90},
        {'service': 'other', 'weight': 10},
    ]
    config: dict[str, typing.Any] = {
        'config_version': version,
        'routes': {
            'columns': list(ROUTE_COLUMNS),
            'rows': [
                [
                    'r-claims',
                    'Host.example',
                    '/claims/',
                    'unsafe',
                    '1200ms',
                    '400ms',
                    1,
                    'claims',
                    2,
                    False,
                    None,
                ],
                [
                    'r-look',
                    'host.example',
                    '/look/',
                    'safe',
                    '1s',
                    None,
                    2,
                    None,
                    2,
                    True,
                    split,
                ],
            ],
        },
        'services': {
            'columns': ['name', 'warmup', 'warmup_per_s', 'sharded'],
            'rows': [
                ['ledger', '3s', 6.6, True],
                ['other', '3s', 6.6, None],
                ['claims', '3s', 6.6, None],
            ],
        },
        'limits': {'max_body_bytes': 1000, 'idle_timeout': '15000ms'},
        'tenants': {
            'columns': ['name', 'api_keys', 'priority', 'rate_per_s', 'burst'],
            'rows': [['office', ['key-1', 'key-2'], 0, 110, 110]],
        },
    }
    config.update(changes)
    return json.dumps(config).encode()


def entry(**changes: typing.Any) -> bytes:
    """Returns what a target writes of itself."""
    fields: dict[str, typing.Any] = {
        'service': 'ledger',
        'address': '127.0.0.1:8080',
        'zone': 'a',
        'config_version': 'v1',
        'slots': 2,
        'state': 'ready',
        'warmup_left': '0ms',
        'seq': 4,
        'born': 1_000,
    }
    fields.update(changes)
    return json.dumps(fields).encode()
