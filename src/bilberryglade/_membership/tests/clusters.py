"""Small clusters for the tests of membership and ownership."""

import typing
from collections import abc

from bilberryglade._membership import authority, signs
from bilberryglade._state import (
    folding,
    ownership_folds,
    rule_folds,
    state,
    topology_folds,
)

#: Modules whose import registers the folds.
FOLDS: typing.Final = (ownership_folds, rule_folds, topology_folds)
BOUNDS: typing.Final = authority.Bounds(
    authority=2,
    lease=1,
    request_limit=1,
    drift=0,
)


def folded(
    records: abc.Iterable[folding.Record],
    start: state.ClusterState | None = None,
) -> state.ClusterState:
    """Returns the state after `records`, one offset each."""
    view = start or state.ClusterState()
    for record in records:
        offset = view.offset + 1
        step = folding.fold(
            view,
            offset,
            {'id': f'record-{offset:04}', **record},
        )
        if not step.verdict.accepted:
            raise AssertionError(step.verdict.reason)
        view = step.state
    return view


def joined(
    name: str, failure_domain: str = 'north', boot: str = ''
) -> folding.Record:
    """Returns the record of a join."""
    return {
        'kind': 'instance_joined',
        'instance': name,
        'boot': boot or f'boot-of-{name}',
        'failure_domain': failure_domain,
        'peer_address': f'peer-of-{name}',
        'admin_address': f'admin-of-{name}',
    }


def left(
    view: state.ClusterState,
    name: str,
    reason: str = 'lost',
) -> folding.Record:
    """Returns the record of a leave."""
    return {
        'kind': 'instance_left',
        'instance': name,
        'joined_at': view.members[name].joined_at,
        'reason': reason,
    }


def target(name: str, failure_domain: str, *, fenced: bool) -> folding.Record:
    """Returns the record that registers a target of the service `ledger`."""
    return {
        'kind': 'target_changed',
        'target': name,
        'service': 'ledger',
        'failure_domain': failure_domain,
        'address': '127.0.0.1:1',
        'concurrency': 2,
        'fenced': fenced,
        'state': 'live',
        'based_on': 0,
    }


def assigned(view: state.ClusterState, name: str) -> folding.Record:
    """Returns the record that gives slot 0 to a target."""
    service = view.services.get('ledger', state.ServiceSlots())
    return {
        'kind': 'slots_assigned',
        'service': 'ledger',
        'based_on': service.changed_at,
        'moves': [{'slot': 0, 'target': name}],
    }


def settled(view: state.ClusterState, *groups: str) -> folding.Record:
    """Returns the record that ends all authority over earlier states."""
    return {
        'kind': 'authority_ended',
        'by': 'entry-a',
        'ends': [
            {'group': group, 'offset': view.offset} for group in ('', *groups)
        ],
    }


def sign_of(
    view: state.ClusterState,
    name: str,
    asked_at: float,
) -> signs.Sign:
    """Returns what `name` answers once it has folded `view`."""
    member = view.members.get(name)
    return signs.Sign(
        instance=name,
        boot=f'boot-of-{name}',
        joined_at=member.joined_at if member else 0,
        offset=view.offset,
        ownership_at=view.ownership_changed_at,
        age_seconds=0,
        asked_at=asked_at,
        heard_at=asked_at,
    )


def facts_of(
    view: state.ClusterState,
    name: str,
    heard: abc.Iterable[signs.Sign] = (),
    fresh_at: float = authority.NEVER,
) -> authority.Facts:
    """Returns the facts of the instance `name`."""
    return authority.Facts(
        view=view,
        instance=name,
        boot=f'boot-of-{name}',
        fresh_at=fresh_at,
        signs={sign.instance: sign for sign in heard},
        bounds=BOUNDS,
    )
