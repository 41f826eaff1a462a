"""Folds of records about instances, failure domains and targets."""

import immutables

from bilberryglade._state import folding, state
from bilberryglade_schema import records


@folding.fold_for('instance_joined', records.InstanceJoined)
def fold_instance_joined(
    before: state.ClusterState,
    offset: int,
    record: records.InstanceJoined,
) -> folding.FoldStep:
    """Adds an instance; a newer process of the same name replaces the older."""
    member = state.Member(
        instance=record['instance'],
        boot=record['boot'],
        failure_domain=record['failure_domain'],
        peer_address=record['peer_address'],
        admin_address=record['admin_address'],
        joined_at=offset,
    )
    members = before.members.set(member.instance, member)
    return folding.accept(_with_members(before, offset, members), offset)


@folding.fold_for('instance_left', records.InstanceLeft)
def fold_instance_left(
    before: state.ClusterState,
    offset: int,
    record: records.InstanceLeft,
) -> folding.FoldStep:
    """Removes the process that joined at the named offset, and no other."""
    member = before.members.get(record['instance'])
    if member is None or member.joined_at != record['joined_at']:
        reason = f'{record["instance"]} did not join at {record["joined_at"]}'
        return folding.reject(before, offset, reason)
    by_joined_at = record.get('by_joined_at', 0)
    if by_joined_at and not _is_joined(before, by_joined_at):
        reason = f'who joined at {by_joined_at} is no member any more'
        return folding.reject(before, offset, reason)
    members = before.members.delete(record['instance'])
    changed = _with_members(before, offset, members)
    if record['reason'] == 'planned':
        departed = before.departed.set(member.joined_at, offset)
        changed = changed._replace(departed=departed)
    return folding.accept(changed, offset)


@folding.fold_for('instance_off', records.InstanceOff)
def fold_instance_off(
    before: state.ClusterState,
    offset: int,
    record: records.InstanceOff,
) -> folding.FoldStep:
    """Counts a process that is no member as one that gives no vote."""
    joined_at = record['joined_at']
    if _is_joined(before, joined_at):
        reason = f'who joined at {joined_at} is a member'
        return folding.reject(before, offset, reason)
    if not _is_joined(before, record['by_joined_at']):
        reason = f'who joined at {record["by_joined_at"]} is no member any more'
        return folding.reject(before, offset, reason)
    departed = before.departed.set(joined_at, offset)
    return folding.accept(before._replace(departed=departed), offset)


@folding.fold_for('failure_domain_changed', records.FailureDomainChanged)
def fold_failure_domain_changed(
    before: state.ClusterState,
    offset: int,
    record: records.FailureDomainChanged,
) -> folding.FoldStep:
    """Takes a failure domain out or restores it."""
    name = record['failure_domain']
    known = before.failure_domains.get(name)
    changed_at = known.changed_at if known else 0
    if record['based_on'] != changed_at:
        reason = f'{name} was changed at {changed_at}'
        return folding.reject(before, offset, reason, winner=changed_at)
    domain = state.FailureDomain(
        name=name,
        in_service=record['state'] == 'in_service',
        changed_at=offset,
        confirmed_off=record.get('confirmed_off', False),
    )
    changed = before._replace(
        failure_domains=before.failure_domains.set(name, domain),
        topology_changed_at=offset,
        ownership_changed_at=offset,
    )
    return folding.accept(changed, offset)


@folding.fold_for('target_changed', records.TargetChanged)
def fold_target_changed(
    before: state.ClusterState,
    offset: int,
    record: records.TargetChanged,
) -> folding.FoldStep:
    """Registers a target or changes its state."""
    name = record['target']
    known = before.targets.get(name)
    changed_at = known.changed_at if known else 0
    if record['based_on'] != changed_at:
        reason = f'{name} was changed at {changed_at}'
        return folding.reject(before, offset, reason, winner=changed_at)
    if known and known.failure_domain != record['failure_domain']:
        reason = f'{name} belongs to {known.failure_domain}'
        return folding.reject(before, offset, reason)
    target = state.TargetState(
        target=name,
        service=record['service'],
        failure_domain=record['failure_domain'],
        address=record['address'],
        concurrency=record['concurrency'],
        fenced=record['fenced'],
        state=record['state'],
        changed_at=offset,
    )
    changed = before._replace(
        targets=before.targets.set(name, target),
        topology_changed_at=offset,
        ownership_changed_at=offset,
    )
    return folding.accept(changed, offset)


def _is_joined(before: state.ClusterState, joined_at: int) -> bool:
    return any(
        member.joined_at == joined_at for member in before.members.values()
    )


def _with_members(
    before: state.ClusterState,
    offset: int,
    members: immutables.Map[str, state.Member],
) -> state.ClusterState:
    epoch = state.Epoch(before.members_changed_at, offset, before.members)
    return before._replace(
        members=members,
        epochs=(*before.epochs, epoch),
        topology_changed_at=offset,
        ownership_changed_at=offset,
        members_changed_at=offset,
    )
