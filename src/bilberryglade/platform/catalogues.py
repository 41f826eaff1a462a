"""Decodes configurations as operators publish them."""

import typing

import result

from bilberryglade._codec import codec
from bilberryglade._routing import catalogue
from bilberryglade.platform import durations
from bilberryglade_schema import provider

#: Kind of a route whose requests may run more than once.
REPEATABLE: typing.Final = 'safe'
KINDS: typing.Final = frozenset((REPEATABLE, 'unsafe'))
#: Requests a second: some one a day.
LEAST_RATE: typing.Final = 0.00001

Row = typing.TypeVar('Row')


def decode(raw: bytes) -> result.Result[catalogue.Catalogue, str]:
    """Returns the configuration in `raw`, or what is wrong with it."""
    decoded = codec.decode_json(raw, provider.ConfigValue)
    if isinstance(decoded, result.Err):
        return result.Err(decoded.err_value.detail)
    try:
        return result.Ok(_catalogue(decoded.ok_value))
    except (KeyError, TypeError, ValueError) as wrong:
        return result.Err(f'{type(wrong).__name__}: {wrong}')


def _catalogue(config: provider.ConfigValue) -> catalogue.Catalogue:
    services = {
        row['name']: _service(row)
        for row in _rows(config['services'], provider.ServiceRow)
    }
    routes: dict[str, dict[str, catalogue.Route]] = {}
    for row in _rows(config['routes'], provider.RouteRow):
        route = _route(row)
        for part in route.parts:
            if part.service not in services:
                raise ValueError(f'{route.name}: no service {part.service}')
        routes.setdefault(route.host, {})[route.prefix] = route
    holders = _rows(config.get('tenants', _empty()), provider.TenantRow)
    return catalogue.Catalogue(
        version=config['config_version'],
        routes=routes,
        services=services,
        organisations={row['name']: _organisation(row) for row in holders},
        api_keys={
            key: row['name'] for row in holders for key in row['api_keys']
        },
        caller_bounds=_caller_bounds(config.get('limits', {})),
    )


def _empty() -> provider.Columns:
    return {'columns': [], 'rows': []}


def _rows(table: provider.Columns, kind: type[Row]) -> list[Row]:
    rows: list[Row] = []
    for texts in table['rows']:
        if len(texts) != len(table['columns']):
            raise ValueError('a row and its columns differ in length')
        plain = {
            name: text
            for name, text in zip(table['columns'], texts, strict=True)
            if text is not None
        }
        converted = codec.convert(plain, kind)
        if isinstance(converted, result.Err):
            raise ValueError(converted.err_value.detail)
        rows.append(converted.ok_value)
    return rows


def _route(row: provider.RouteRow) -> catalogue.Route:
    if row['route_type'] not in KINDS:
        raise ValueError(f'{row["name"]}: kind {row["route_type"]!r}')
    prefix = row['path_prefix']
    if not prefix.startswith('/') or not prefix.endswith('/'):
        raise ValueError(f'{row["name"]}: prefix {prefix!r}')
    timeout = durations.seconds_of(row['timeout'])
    aim = row.get('target_latency')
    return catalogue.Route(
        name=row['name'],
        host=row['hostname'].lower(),
        prefix=prefix,
        repeatable=row['route_type'] == REPEATABLE,
        is_public=bool(row.get('public')),
        timeout=timeout,
        aim=durations.seconds_of(aim) if aim else timeout,
        priority=row.get('priority') or 0,
        attempts=row.get('attempts') or 1,
        parts=_parts(row),
    )


def _parts(row: provider.RouteRow) -> tuple[catalogue.Part, ...]:
    split = row.get('traffic_split')
    if not split:
        service = row.get('service')
        if not service:
            raise ValueError(f'{row["name"]}: no service')
        return (catalogue.Part(service, 1.0),)
    parts = tuple(
        catalogue.Part(part['service'], float(part['weight'])) for part in split
    )
    if sum(part.weight for part in parts) <= 0:
        raise ValueError(f'{row["name"]}: no weight')
    return parts


def _service(row: provider.ServiceRow) -> catalogue.Service:
    return catalogue.Service(
        name=row['name'],
        is_partitioned=bool(row.get('sharded')),
        cold_rate=_rate(row.get('warmup_per_s')),
        warmup=durations.seconds_of(row.get('warmup') or '0s'),
        health_path=row.get('health_check') or '/',
    )


def _rate(told: float | None) -> float:
    """Returns a rate whose reciprocal is a time; 0 if there is no limit."""
    return max(told, LEAST_RATE) if told else 0


def _organisation(row: provider.TenantRow) -> catalogue.Organisation:
    return catalogue.Organisation(
        name=row['name'],
        priority=row.get('priority'),
        rate=_rate(row.get('rate_per_s')),
        burst=float(row.get('burst') or 0),
    )


def _caller_bounds(table: provider.LimitsTable) -> catalogue.CallerBounds:
    usual = catalogue.CallerBounds()
    header_time = table.get('header_timeout')
    idle_time = table.get('idle_timeout')
    return catalogue.CallerBounds(
        header_bytes=table.get('max_header_bytes', usual.header_bytes),
        body_bytes=table.get('max_body_bytes', usual.body_bytes),
        header_seconds=(
            durations.seconds_of(header_time)
            if header_time
            else usual.header_seconds
        ),
        idle_seconds=(
            durations.seconds_of(idle_time) if idle_time else usual.idle_seconds
        ),
    )
