"""Decodes configurations as operators publish them.

What cannot be understood of a route, a service or an organisation is left out or
read carefully, and the rest is in force. Requests that need what was left out are
refused as not run; they are never matched by a shorter route instead.
"""

import functools
import typing

import immutables
import result

from bilberryglade._codec import codec
from bilberryglade._routing import catalogue
from bilberryglade.platform import durations, rows
from bilberryglade_schema import provider

#: Kinds of routes whose requests may run more than once.
REPEATABLE: typing.Final = frozenset(('safe', 'download'))
#: Kind of routes whose requests run at most once; the careful reading.
UNREPEATABLE: typing.Final = 'unsafe'
#: Kind of routes whose answers are large.
LARGE: typing.Final = 'download'
KINDS: typing.Final = REPEATABLE | {UNREPEATABLE}
#: Requests a second: some one a day.
LEAST_RATE: typing.Final = 0.00001
#: Time limit of a route whose own cannot be read; its callers mostly wait less.
CAREFUL_TIMEOUT: typing.Final = '30s'
#: Requests a second to a cold target of which the limit cannot be read.
CAREFUL_COLD_RATE: typing.Final = 1.0
#: Version of a configuration whose own cannot be read.
UNKNOWN_VERSION: typing.Final = 0

ROUTES: typing.Final = rows.Shape(
    provider.RouteRow,
    careful=immutables.Map(
        {'route_type': UNREPEATABLE, 'timeout': CAREFUL_TIMEOUT, 'name': ''}
    ),
    essential=frozenset(('service', 'traffic_split')),
    items=immutables.Map({'traffic_split': provider.SplitPart}),
)
SERVICES: typing.Final = rows.Shape(
    provider.ServiceRow,
    careful=immutables.Map({'warmup_per_s': CAREFUL_COLD_RATE}),
    essential=frozenset(('sharded',)),
)
ORGANISATIONS: typing.Final = rows.Shape(
    provider.TenantRow,
    essential=frozenset(('rate_per_s', 'burst')),
    items=immutables.Map({'api_keys': str}),
)
LIMITS: typing.Final = rows.Shape(provider.LimitsTable)


class Decoded(typing.NamedTuple):
    """A configuration, and what could not be understood of it."""

    catalogue: catalogue.Catalogue
    issues: tuple[rows.Issue, ...]


class Tables(typing.NamedTuple):
    """The tables of a configuration, as far as they can be read."""

    routes: rows.Table[provider.RouteRow]
    services: rows.Table[provider.ServiceRow]
    organisations: rows.Table[provider.TenantRow]


def decode(raw: bytes) -> result.Result[Decoded, str]:
    """Returns the configuration in `raw`, or why nothing can be made of it."""
    fields = rows.fields_of(raw)
    if isinstance(fields, result.Err):
        return fields
    tables = _tables(fields.ok_value)
    if isinstance(tables, result.Err):
        return tables
    issues = [issue for table in tables.ok_value for issue in table.issues]
    issues.extend(_unknown_kinds(tables.ok_value.routes))
    version = codec.decode_json(
        bytes(fields.ok_value.get('config_version', b'')), provider.Rank
    )
    if isinstance(version, result.Err):
        issues.append(rows.Issue('config_version', version.err_value.detail))
    empty = catalogue.Catalogue(
        version=version.unwrap_or(UNKNOWN_VERSION),
        routes={},
        services={},
        organisations={},
        api_keys={},
        caller_bounds=_caller_bounds(fields.ok_value, issues),
    )
    filled = _catalogue(tables.ok_value, issues, empty)
    if tables.ok_value.routes.rows and not _has_served_route(filled):
        return result.Err(f'no route can be served: {issues[-1].cause}')
    return result.Ok(Decoded(filled, tuple(issues)))


def _has_served_route(known: catalogue.Catalogue) -> bool:
    return any(
        route.parts
        for prefixes in known.routes.values()
        for route in prefixes.values()
    )


def _tables(fields: dict[str, codec.Raw]) -> result.Result[Tables, str]:
    """Returns the tables; one that is none has no part that could be used."""
    routes = rows.read_table(bytes(fields.get('routes', b'')), 'routes', ROUTES)
    services = rows.read_table(
        bytes(fields.get('services', b'')), 'services', SERVICES
    )
    organisations = rows.read_table(
        bytes(fields.get('tenants', b'{"columns":[],"rows":[]}')),
        'tenants',
        ORGANISATIONS,
    )
    if isinstance(routes, result.Err):
        return routes
    if isinstance(services, result.Err):
        return services
    if isinstance(organisations, result.Err):
        return organisations
    return result.Ok(
        Tables(routes.ok_value, services.ok_value, organisations.ok_value)
    )


def _catalogue(
    tables: Tables,
    issues: list[rows.Issue],
    empty: catalogue.Catalogue,
) -> catalogue.Catalogue:
    """Returns `empty` with what `tables` hold; adds to `issues`."""
    for path, service in tables.services.rows:
        made = codec.attempt(functools.partial(_service, service))
        if isinstance(made, result.Err):
            issues.append(rows.Issue(path, made.err_value.detail))
            continue
        empty.services[made.ok_value.name] = made.ok_value
    _add_routes(empty, tables.routes, issues)
    for odd_holder in tables.organisations.odd:
        _add_odd_organisation(empty, odd_holder.fields)
    for _, holder in tables.organisations.rows:
        empty.organisations[holder['name']] = _organisation(holder)
        empty.api_keys.update(dict.fromkeys(holder['api_keys'], holder['name']))
    return empty


def _add_routes(
    known: catalogue.Catalogue,
    table: rows.Table[provider.RouteRow],
    issues: list[rows.Issue],
) -> None:
    """Adds routes to the services that are known; adds to `issues`."""
    for odd_route in table.odd:
        _add_refused(known, odd_route.fields)
    for path, route in table.rows:
        decoded = codec.attempt(
            functools.partial(_route, route, known.services)
        )
        if isinstance(decoded, result.Err):
            issues.append(rows.Issue(path, decoded.err_value.detail))
            _add_refused(known, dict(route))
            continue
        found = decoded.ok_value
        known.routes.setdefault(found.host, {})[found.prefix] = found
        if len(found.parts) < len(route.get('traffic_split') or ()):
            issues.append(
                rows.Issue(f'{path}.traffic_split', 'names an unknown service')
            )


def _add_refused(
    known: catalogue.Catalogue, fields: dict[str, typing.Any]
) -> None:
    """Adds a route that refuses, so that no other route takes its requests."""
    host, prefix = fields.get('hostname'), fields.get('path_prefix')
    if not isinstance(host, str) or not isinstance(prefix, str):
        return
    refused = catalogue.Route(
        name=str(fields.get('name', '')),
        host=host.lower(),
        prefix=prefix,
        repeatable=False,
        is_public=False,
        timeout=0,
        aim=0,
        priority=0,
        attempts=1,
        parts=(),
    )
    known.routes.setdefault(refused.host, {}).setdefault(prefix, refused)


def _add_odd_organisation(
    known: catalogue.Catalogue, fields: dict[str, typing.Any]
) -> None:
    """Adds an organisation whose requests are refused until it is understood."""
    named, listed = fields.get('name'), fields.get('api_keys')
    name = named if isinstance(named, str) else ''
    keys = listed if isinstance(listed, list) else []
    known.organisations[name] = catalogue.Organisation(
        name, priority=None, rate=LEAST_RATE, burst=0, is_understood=False
    )
    known.api_keys.update(
        dict.fromkeys((key for key in keys if isinstance(key, str)), name)
    )


def _route(
    row: provider.RouteRow,
    services: dict[str, catalogue.Service],
) -> catalogue.Route:
    prefix = row['path_prefix']
    if not prefix.startswith('/') or not prefix.endswith('/'):
        raise ValueError(f'{row["name"]}: prefix {prefix!r}')
    timeout = durations.seconds_of(row['timeout'])
    aim = row.get('target_latency')
    return catalogue.Route(
        name=row['name'],
        host=row['hostname'].lower(),
        prefix=prefix,
        repeatable=row['route_type'] in REPEATABLE,
        is_public=bool(row.get('public')),
        timeout=timeout,
        aim=durations.seconds_of(aim) if aim else timeout,
        priority=row.get('priority') or 0,
        attempts=row.get('attempts') or 1,
        parts=_parts(row, services),
        has_large_answers=row['route_type'] == LARGE,
    )


def _parts(
    row: provider.RouteRow,
    services: dict[str, catalogue.Service],
) -> tuple[catalogue.Part, ...]:
    split = row.get('traffic_split')
    service = row.get('service')
    if split:
        parts = tuple(
            catalogue.Part(part['service'], float(part['weight']))
            for part in split
        )
    elif service:
        parts = (catalogue.Part(service, 1.0),)
    else:
        raise ValueError(f'{row["name"]}: no service')
    known = tuple(part for part in parts if part.service in services)
    if sum(part.weight for part in known) <= 0:
        raise ValueError(f'{row["name"]}: none of its services is known')
    return known


def _unknown_kinds(
    table: rows.Table[provider.RouteRow],
) -> list[rows.Issue]:
    """Returns an issue for each route of a kind that is not known here."""
    return [
        rows.Issue(
            f'{path}.route_type',
            f'unknown kind {row["route_type"]!r}, run at most once',
        )
        for path, row in table.rows
        if row['route_type'] not in KINDS
    ]


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


def _caller_bounds(
    fields: dict[str, codec.Raw], issues: list[rows.Issue]
) -> catalogue.CallerBounds:
    """Returns the bounds on callers; usual ones for what cannot be read."""
    usual = catalogue.CallerBounds()
    written = rows.fields_of(bytes(fields.get('limits', b'{}')))
    if isinstance(written, result.Err):
        issues.append(rows.Issue('limits', written.err_value))
        return usual
    mended = rows.read_fields(written.ok_value, 'limits', LIMITS)
    issues.extend(mended.issues)
    table = mended.fields
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
