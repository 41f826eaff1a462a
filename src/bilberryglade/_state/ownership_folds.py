"""Folds of records about slots, hot keys and quarantined requests."""

import immutables

from bilberryglade._state import folding, state
from bilberryglade_schema import records

#: Name of the group of voters that has every member.
GROUP_OF_ALL = ''
NO_OWNER = state.SlotOwner('', 0, '', 0)


@folding.fold_for('slots_assigned', records.SlotsAssigned)
def fold_slots_assigned(
    before: state.ClusterState,
    offset: int,
    record: records.SlotsAssigned,
) -> folding.FoldStep:
    """Moves slots if nobody else changed the service's assignment meanwhile."""
    service = record['service']
    slots = before.services.get(service, state.ServiceSlots())
    if record['based_on'] != slots.changed_at:
        return _lost_race(before, offset, service)
    unknown = _unknown_target(before, record)
    if unknown:
        reason = f'{unknown} is no target of {service}'
        return folding.reject(before, offset, reason)
    owners = _moved(slots.owners, offset, record['moves'])
    moved = slots._replace(changed_at=offset, owners=owners)
    return _changed(before, offset, service, moved)


@folding.fold_for('hot_key_split', records.HotKeySplit)
def fold_hot_key_split(
    before: state.ClusterState,
    offset: int,
    record: records.HotKeySplit,
) -> folding.FoldStep:
    """Gives a hot key a slot of its own, owned by the slot's old owner."""
    service = record['service']
    slots = before.services.get(service, state.ServiceSlots())
    if record['based_on'] != slots.changed_at:
        return _lost_race(before, offset, service)
    hot_slots = slots.hot_slots.set(record['key_digest'], record['slot'])
    split = slots._replace(changed_at=offset, hot_slots=hot_slots)
    return _changed(before, offset, service, split)


@folding.fold_for('request_quarantined', records.RequestQuarantined)
def fold_request_quarantined(
    before: state.ClusterState,
    offset: int,
    record: records.RequestQuarantined,
) -> folding.FoldStep:
    """Refuses a request that crashed its targets, by its fingerprint."""
    quarantined = before.quarantined.set(record['fingerprint'], offset)
    return folding.accept(before._replace(quarantined=quarantined), offset)


@folding.fold_for('authority_ended', records.AuthorityEnded)
def fold_authority_ended(
    before: state.ClusterState,
    offset: int,
    record: records.AuthorityEnded,
) -> folding.FoldStep:
    """Notes below which offset nobody acts, and drops epochs that ended."""
    ended = before.ended
    for entry in record['ends']:
        newest = max(ended.get(entry['group'], 0), entry['offset'])
        ended = ended.set(entry['group'], min(newest, offset))
    groups = {GROUP_OF_ALL}.union(
        member.failure_domain
        for epoch in before.epochs
        for member in epoch.members.values()
    )
    lowest = min(ended.get(group, 0) for group in groups)
    epochs = tuple(row for row in before.epochs if row.ended_at > lowest)
    changed = before._replace(
        ended=ended,
        epochs=epochs,
        departed=before.departed if epochs else immutables.Map(),
    )
    return folding.accept(changed, offset)


def _lost_race(
    before: state.ClusterState,
    offset: int,
    service: str,
) -> folding.FoldStep:
    changed_at = before.services.get(service, state.ServiceSlots()).changed_at
    reason = f'{service} was assigned at {changed_at}'
    return folding.reject(before, offset, reason, winner=changed_at)


def _changed(
    before: state.ClusterState,
    offset: int,
    service: str,
    slots: state.ServiceSlots,
) -> folding.FoldStep:
    services = before.services.set(service, slots)
    changed = before._replace(services=services, ownership_changed_at=offset)
    return folding.accept(changed, offset)


def _unknown_target(
    before: state.ClusterState,
    record: records.SlotsAssigned,
) -> str:
    for move in record['moves']:
        target = before.targets.get(move['target'])
        if target is None or target.service != record['service']:
            return move['target']
    return ''


def _moved(
    owners: immutables.Map[int, state.SlotOwner],
    offset: int,
    moves: list[records.SlotMove],
) -> immutables.Map[int, state.SlotOwner]:
    with owners.mutate() as changing:
        for move in moves:
            old = owners.get(move['slot'], NO_OWNER)
            changing[move['slot']] = state.SlotOwner(
                target=move['target'],
                fence=offset,
                previous_target=old.target,
                previous_fence=old.fence,
            )
        moved: immutables.Map[int, state.SlotOwner] = changing.finish()
    return moved
