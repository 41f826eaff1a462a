"""Operations on failure domains and targets."""

import result

from bilberryglade._operations import commits, failures, operations
from bilberryglade._state import state
from bilberryglade_schema import admin


@operations.operation_for(
    'failure_domain_take_out',
    'POST /failure-domains/{failure_domain}/take-out',
    admin.ChangeFailureDomain,
    admin.Committed,
    changes=True,
)
async def take_out(
    context: operations.Context,
    call: operations.Call,
) -> operations.Outcome:
    """Takes a failure domain out: it gets no new work."""
    return await _change_domain(context, call, 'out')


@operations.operation_for(
    'failure_domain_restore',
    'POST /failure-domains/{failure_domain}/restore',
    admin.ChangeFailureDomain,
    admin.Committed,
    changes=True,
)
async def restore(
    context: operations.Context,
    call: operations.Call,
) -> operations.Outcome:
    """Takes a failure domain back into service."""
    return await _change_domain(context, call, 'in_service')


@operations.operation_for(
    'target_drain',
    'POST /targets/{target}/drain',
    admin.ChangeTarget,
    admin.Committed,
    changes=True,
)
async def drain(
    context: operations.Context,
    call: operations.Call,
) -> operations.Outcome:
    """Drains a target: it gets no new work until it is undrained."""
    return await _change_target(context, call, 'drained')


@operations.operation_for(
    'target_undrain',
    'POST /targets/{target}/undrain',
    admin.ChangeTarget,
    admin.Committed,
    changes=True,
)
async def undrain(
    context: operations.Context,
    call: operations.Call,
) -> operations.Outcome:
    """Takes a drained target back into service."""
    return await _change_target(context, call, 'live')


def known_domains(view: state.ClusterState) -> frozenset[str]:
    """Returns the failure domains of all instances, targets and records."""
    return frozenset(
        (
            *view.failure_domains,
            *(member.failure_domain for member in view.members.values()),
            *(target.failure_domain for target in view.targets.values()),
        ),
    )


async def _change_domain(
    context: operations.Context,
    call: operations.Call,
    wanted: str,
) -> operations.Outcome:
    view = context.reader.view
    name = call.request['failure_domain']
    domains = known_domains(view)
    if name not in domains:
        return result.Err(failures.not_found('failure domain', name, domains))
    known = view.failure_domains.get(name)
    return await commits.commit(
        context,
        {
            'id': call.record_id,
            'kind': 'failure_domain_changed',
            'failure_domain': name,
            'state': wanted,
            'based_on': known.changed_at if known else 0,
            'by': call.request['by'],
        },
    )


async def _change_target(
    context: operations.Context,
    call: operations.Call,
    wanted: str,
) -> operations.Outcome:
    targets = context.reader.view.targets
    name = call.request['target']
    known = targets.get(name)
    if known is None:
        return result.Err(failures.not_found('target', name, targets))
    return await commits.commit(
        context,
        {
            'id': call.record_id,
            'kind': 'target_changed',
            'target': name,
            'service': known.service,
            'failure_domain': known.failure_domain,
            'address': known.address,
            'concurrency': known.concurrency,
            'fenced': known.fenced,
            'state': wanted,
            'based_on': known.changed_at,
        },
    )
