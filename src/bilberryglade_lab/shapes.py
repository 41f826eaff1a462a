"""Sizes of a deployment of stand-ins and instances."""

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
