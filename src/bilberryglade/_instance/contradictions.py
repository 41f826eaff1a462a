"""Registered checks for settings that contradict each other."""

import ipaddress
import typing
from collections import abc

from bilberryglade._values import registry

MAX_PORT: typing.Final = 65535
LISTENERS: typing.Final = ('callers', 'admin', 'peers')

Document: typing.TypeAlias = abc.Mapping[str, typing.Any]
#: Returns what is wrong, or ''.
Check: typing.TypeAlias = abc.Callable[[Document], str]


class Contradiction(typing.NamedTuple):
    """A check of settings whose types and ranges are sound."""

    #: Paths of the settings compared; the first one is blamed.
    paths: tuple[str, ...]
    check: Check


contradictions: typing.Final = registry.Registry[Contradiction](
    'settings contradiction',
)


def contradiction_for(name: str, *paths: str) -> abc.Callable[[Check], Check]:
    """Returns a decorator that registers a check of the settings at `paths`."""

    def decorator(check: Check) -> Check:  # noqa: WPS430
        contradictions.register(name)(Contradiction(paths, check))
        return check

    return decorator


@contradiction_for('renewal', 'timings.renew_ms', 'timings.lease_ms')
def check_renewal(document: Document) -> str:
    """A lease outlives one lost renewal."""
    timings = document['timings']
    if timings['renew_ms'] * 2 < timings['lease_ms']:
        return ''
    return f'must be less than half of lease_ms ({timings["lease_ms"]})'


@contradiction_for('suspicion', 'timings.suspect_ms', 'timings.heartbeat_ms')
def check_suspicion(document: Document) -> str:
    """One lost heartbeat makes no instance suspect."""
    timings = document['timings']
    if timings['suspect_ms'] > timings['heartbeat_ms'] * 2:
        return ''
    heartbeat = timings['heartbeat_ms']
    return f'must be more than twice heartbeat_ms ({heartbeat})'


@contradiction_for('authority', 'timings.authority_ms', 'timings.lease_ms')
def check_authority(document: Document) -> str:
    """Nobody grants on knowledge older than a lease."""
    timings = document['timings']
    if timings['authority_ms'] < timings['lease_ms']:
        return ''
    return f'must be less than lease_ms ({timings["lease_ms"]})'


@contradiction_for('log_wait', 'timings.log_wait_ms', 'timings.authority_ms')
def check_log_wait(document: Document) -> str:
    """A quiet log is read again well before the authority ends."""
    timings = document['timings']
    if timings['log_wait_ms'] * 2 < timings['authority_ms']:
        return ''
    authority = timings['authority_ms']
    return f'must be less than half of authority_ms ({authority})'


@contradiction_for(
    'listeners',
    'listen',
    'listen.callers',
    'listen.admin',
    'listen.peers',
)
def check_listeners(document: Document) -> str:
    """Each listener has an address of its own."""
    addresses = [document['listen'][name] for name in LISTENERS]
    if len(set(addresses)) == len(addresses):
        return ''
    return 'callers, admin and peers must have different addresses'


@contradiction_for('callers_address', 'listen.callers')
def check_callers_address(document: Document) -> str:
    """The callers' listener has an IP number and a port."""
    return address_problem(document['listen']['callers'])


@contradiction_for('admin_address', 'listen.admin')
def check_admin_address(document: Document) -> str:
    """The admin listener has an IP number and a port."""
    return address_problem(document['listen']['admin'])


@contradiction_for('peers_address', 'listen.peers')
def check_peers_address(document: Document) -> str:
    """The listener of peers has an IP number and a port."""
    return address_problem(document['listen']['peers'])


def address_problem(address: str) -> str:
    """Returns what is wrong with `address`, or ''."""
    host, _, port = address.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return f'{host!r} is no IP number; four numbers from 0 to 255 are'
    if 1 <= int(port) <= MAX_PORT:
        return ''
    return f'port {port} is not from 1 to {MAX_PORT}'
