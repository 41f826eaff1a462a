"""Sizes of a deployment of stand-ins and instances."""

import types
import typing


class ServiceShape(typing.NamedTuple):
    """The targets of one service."""

    service: str
    targets: int
    #: Requests that a target runs at the same time.
    concurrency: int
    #: Seconds of work of one request on a warm target.
    work_seconds: float
    fenced: bool = True
    #: Requests that warm a target up.
    warm_after: int = 20
    #: Requests at once that a cold target bears.
    cold_limit: int = 1


class DeploymentShape(typing.NamedTuple):
    """Failure domains, instances, services, rules and organisations."""

    name: str
    failure_domains: tuple[str, ...]
    instances: int
    services: tuple[ServiceShape, ...]
    rules: str
    organisations: tuple[str, ...]


SMALL_RULES: typing.Final = """
service ledger path /ledger key path 2 isolation yield # asked for by operations
service claims path /claims key none                   # asked for by operations
allow minders to ledger rate 200/s burst 200           # asked for by accounts
allow minders to claims rate 50/s burst 50             # asked for by accounts
allow office to ledger rate 20/s burst 20              # asked for by accounts
allow office to claims rate 20/s burst 20              # asked for by accounts
once claims POST /claims                               # asked for by accounts
"""

SMALL: typing.Final = DeploymentShape(
    name='small',
    failure_domains=('north', 'south'),
    instances=4,
    services=(
        ServiceShape('ledger', targets=4, concurrency=2, work_seconds=0.005),
        ServiceShape('claims', targets=2, concurrency=2, work_seconds=0.01),
    ),
    rules=SMALL_RULES,
    organisations=('minders', 'office'),
)

HOLLINGSWORTH_RULES: typing.Final = """
service ledger path /ledger key path 2 isolation yield    # asked for by operations
service claims path /claims key none                      # asked for by operations
service settlement path /settlement key none              # asked for by operations
once claims POST /claims                                  # asked for by the office
once settlement POST /settlement                          # asked for by accounts
"""

PRAIRIE_RULES: typing.Final = """
service listing path /listing key path 2 isolation yield  # asked for by operations
service licensing path /licensing key none                # asked for by operations
service billing path /billing key none                    # asked for by operations
once licensing POST /licensing                            # asked for by the rights desk
once billing POST /billing                                # asked for by accounts
"""

LARGE_RATE: typing.Final = 120
SMALL_RATE: typing.Final = 15
LARGE_ORGANISATIONS: typing.Final = 2
ORGANISATIONS: typing.Final = tuple(f'member-{number}' for number in range(8))


def _with_allows(rules: str, services: tuple[str, ...]) -> str:
    lines = [rules]
    for number, organisation in enumerate(ORGANISATIONS):
        is_large = number < LARGE_ORGANISATIONS
        rate = LARGE_RATE if is_large else SMALL_RATE
        lines.extend(
            f'allow {organisation} to {service} rate {rate}/s burst {rate} '
            '# asked for by accounts'
            for service in services
        )
    return '\n'.join(lines)


HOLLINGSWORTH: typing.Final = DeploymentShape(
    name='hollingsworth',
    failure_domains=('north', 'south', 'west'),
    instances=12,
    services=(
        ServiceShape('ledger', targets=25, concurrency=2, work_seconds=0.008),
        ServiceShape('claims', targets=10, concurrency=2, work_seconds=0.02),
        ServiceShape('settlement', targets=5, concurrency=2, work_seconds=0.02),
    ),
    rules=_with_allows(
        HOLLINGSWORTH_RULES,
        ('ledger', 'claims', 'settlement'),
    ),
    organisations=ORGANISATIONS,
)

PRAIRIE: typing.Final = DeploymentShape(
    name='prairie',
    failure_domains=('regina', 'winnipeg', 'calgary'),
    instances=12,
    services=(
        ServiceShape('listing', targets=20, concurrency=3, work_seconds=0.006),
        ServiceShape('licensing', targets=10, concurrency=3, work_seconds=0.02),
        ServiceShape('billing', targets=5, concurrency=3, work_seconds=0.02),
    ),
    rules=_with_allows(PRAIRIE_RULES, ('listing', 'licensing', 'billing')),
    organisations=ORGANISATIONS,
)

SHAPES: typing.Final = types.MappingProxyType(
    {shape.name: shape for shape in (SMALL, HOLLINGSWORTH, PRAIRIE)},
)
