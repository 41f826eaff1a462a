"""The operation that shows the fleet as one instance knows it."""

import collections
import time
import typing

import result

from bilberryglade._membership import signs
from bilberryglade._operations import operations, topology
from bilberryglade._routing import placement, roles
from bilberryglade._rules import rules
from bilberryglade._state import state
from bilberryglade_schema import admin

MILLISECONDS: typing.Final = 1000
#: Stands for an age that is not known.
UNKNOWN_MS: typing.Final = -1


@operations.operation_for(
    'status',
    'GET /status',
    admin.NoParameters,
    admin.Status,
)
async def show_status(
    context: operations.Context,
    call: operations.Call,
) -> operations.Outcome:
    """Shows instances, leaders, owners, revision in force and limits."""
    view = context.reader.view
    answer: admin.Status = {
        'instance': context.config['instance'],
        'ready': context.is_ready(),
        'offset': view.offset,
        'age_ms': _own_age_ms(context),
        'log_case': context.log_case(),
        'revision': view.rules.revision,
        'revision_by': view.rules.by,
        'instances': _instance_rows(context),
        'failure_domains': _domain_rows(view),
        'targets': target_rows(view),
        'limits': limit_rows(view.rules.book),
    }
    return result.Ok(answer)


def instance_row(
    view: state.ClusterState,
    member: state.Member,
    sign: signs.Sign | None,
    now: float,
) -> admin.InstanceRow:
    """Returns what a peer's newest heartbeat says of it at `now`."""
    fresh = sign is not None and sign.joined_at in {0, member.joined_at}
    offset = sign.offset if sign and fresh else 0
    row: admin.InstanceRow = {
        'instance': member.instance,
        'failure_domain': member.failure_domain,
        'joined_at': member.joined_at,
        'offset': offset,
        'age_ms': UNKNOWN_MS,
        'heard_ms': UNKNOWN_MS,
        'rules_in_force': offset >= view.rules.revision,
        'leads': 0,
    }
    if sign and fresh:
        row['age_ms'] = int(sign.age_seconds * MILLISECONDS)
        row['heard_ms'] = int((now - sign.heard_at) * MILLISECONDS)
    return row


def target_rows(view: state.ClusterState) -> list[admin.TargetRow]:
    """Returns all targets with their leaders and numbers of slots."""
    owned = collections.Counter(
        owner.target
        for service in view.services.values()
        for owner in service.owners.values()
    )
    return [
        {
            'target': target.target,
            'service': target.service,
            'failure_domain': target.failure_domain,
            'address': target.address,
            'state': target.state,
            'leader': roles.leader_of_target(view, target.target),
            'slots': owned[target.target],
        }
        for target in sorted(view.targets.values())
    ]


def limit_rows(book: rules.RuleBook) -> list[admin.LimitRow]:
    """Returns the limits that the rules set."""
    named: list[admin.LimitRow] = [
        {
            'organisation': rule.organisation,
            'service': rule.service,
            'rate': rule.rate,
            'burst': rule.burst,
        }
        for rule in book.allows
    ]
    opened: list[admin.LimitRow] = [
        {
            'organisation': '*',
            'service': rule.service,
            'rate': rule.rate,
            'burst': rule.burst,
        }
        for rule in book.opens
    ]
    return named + opened


def _own_age_ms(context: operations.Context) -> int:
    age_seconds = context.reader.age_seconds
    if age_seconds == float('inf'):
        return UNKNOWN_MS
    return int(age_seconds * MILLISECONDS)


def _instance_rows(context: operations.Context) -> list[admin.InstanceRow]:
    view = context.reader.view
    now = time.monotonic()
    led = collections.Counter(
        roles.leader_of_target(view, target) for target in view.targets
    )
    rows: list[admin.InstanceRow] = []
    for name, member in sorted(view.members.items()):
        row = instance_row(
            view, member, context.heartbeats.signs.get(name), now
        )
        if name == context.config['instance']:
            row['offset'] = view.offset
            row['age_ms'] = _own_age_ms(context)
            row['heard_ms'] = 0
            row['rules_in_force'] = True
        row['leads'] = led[name]
        rows.append(row)
    return rows


def _domain_rows(view: state.ClusterState) -> list[admin.FailureDomainRow]:
    instances = collections.Counter(
        member.failure_domain for member in view.members.values()
    )
    targets = collections.Counter(
        target.failure_domain for target in view.targets.values()
    )
    return [
        {
            'failure_domain': name,
            'in_service': placement.in_service(view, name),
            'instances': instances[name],
            'targets': targets[name],
        }
        for name in sorted(topology.known_domains(view))
    ]
