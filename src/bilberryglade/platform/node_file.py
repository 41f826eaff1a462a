"""Reads the settings file that the platform writes for each process."""

import typing

import result

from bilberryglade._codec import codec
from bilberryglade._values import site
from bilberryglade.platform import durations
from bilberryglade_schema import provider

#: Environment variable that holds the path of the settings file.
PATH_VARIABLE: typing.Final = 'BILBERRYGLADE_NODE_FILE'
DEFAULT_PATH: typing.Final = '/etc/bilberryglade/node.json'


def read(raw: bytes) -> result.Result[site.Site, str]:
    """Returns the site that a settings file describes, or what is wrong."""
    decoded = codec.decode_json(raw, provider.NodeFile)
    if isinstance(decoded, result.Err):
        return result.Err(decoded.err_value.detail)
    try:
        return result.Ok(_site(decoded.ok_value))
    except (KeyError, IndexError) as missing:
        return result.Err(f'a field is missing: {missing}')
    except (TypeError, ValueError) as wrong:
        return result.Err(str(wrong))


def _site(node: provider.NodeFile) -> site.Site:
    process = node['self']
    network = node['network']
    port = network['internal_ports'][0]
    return site.Site(
        instance=process['node'],
        failure_domain=process['zone'],
        ip=process['ip'],
        callers_address=network['listen']['front'],
        readiness_address=network['listen']['ready'],
        peer_address=f'{process["ip"]}:{port}',
        store_address=node['provider']['provider']['address'],
        target_beat=durations.seconds_of(node['provider']['heartbeat']),
        bounds=_bounds(node['terms']['bounds']),
        processor=_processor(process.get('limits', {})),
        link_mbps=process.get('limits', {}).get(
            'link_mbps', site.USUAL_LINK_MBPS
        ),
        contracts=_contracts(node['terms'].get('contracts')),
    )


def _contracts(named: object) -> frozenset[str]:
    """Returns the names in a list of contracts; none if it is no list."""
    if not isinstance(named, list):
        return frozenset()
    return frozenset(name for name in named if isinstance(name, str))


def _processor(limits: provider.ProcessLimits) -> float:
    return limits.get('cpu_share', 1) * limits.get('cores', 1)


def _bounds(table: dict[str, typing.Any]) -> site.Bounds:
    return site.Bounds(
        config_apply=durations.seconds_of(table['config_apply']),
        drain=durations.seconds_of(table['drain']),
        grace=durations.seconds_of(table['grace']),
        longest_lease=durations.seconds_of(table['hold_max']),
        retry_ratio=float(table['retry_budget_ratio']),
        retry_slack=float(table['budget_slack']),
        retry_window=durations.seconds_of(table['budget_window']),
        cold_factor=float(table['warmup_overshoot']),
        cold_slack=float(table['warmup_slack']),
        exposure_share=float(table.get('exposure_share', site.EXPOSURE_SHARE)),
        exposure_slack=float(table.get('exposure_slack', site.EXPOSURE_SLACK)),
        rollback=durations.seconds_of(table.get('rollback', '5000ms')),
    )
