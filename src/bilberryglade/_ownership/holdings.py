"""Which slots an instance may dispatch, which it leaves, whom it waits for."""

import typing
from collections import abc

import immutables

from bilberryglade._membership import authority
from bilberryglade._ownership import activation
from bilberryglade._routing import roles
from bilberryglade._state import state

Changes: typing.TypeAlias = frozenset[activation.Change]


class Held(typing.NamedTuple):
    """The target and fence under which a slot is held."""

    target: str
    fence: int


class Leaving(typing.NamedTuple):
    """A slot that was held, on its way to another target."""

    target: str
    #: Fence under which it was held.
    old_fence: int
    #: Fence of the assignment that takes it away.
    fence: int
    #: Monotonic seconds up to which its requests in flight may be served.
    drain_until: float


class Wants(typing.NamedTuple):
    """What an instance waits for an earlier leader to release."""

    targets: frozenset[str] = frozenset()
    slots: Changes = frozenset()


class Holdings(typing.NamedTuple):
    """What an instance holds, as of one state."""

    #: Targets that it leads, whether or not earlier leaders have stopped.
    led: frozenset[str] = frozenset()
    #: Led targets whose earlier leaders have stopped.
    clear: frozenset[str] = frozenset()
    held: immutables.Map[activation.Slot, Held] = immutables.Map()
    leaving: immutables.Map[activation.Slot, Leaving] = immutables.Map()
    #: By instance that may still act.
    wants: immutables.Map[str, Wants] = immutables.Map()
    #: Whether time alone may give it more.
    is_waiting: bool = False
    #: Slots that their earlier owners may still run, by earlier owner.
    blocked: immutables.Map[str, Changes] = immutables.Map()


class Owned(typing.NamedTuple):
    """A slot with its owner."""

    slot: activation.Slot
    owner: state.SlotOwner


def assess(
    situation: activation.Situation,
    before: Holdings,
    acted_until: abc.Mapping[str, float],
) -> Holdings:
    """Returns what this instance holds in the situation.

    `acted_until` says by target until when it might act as of `before`.
    """
    view = situation.facts.view
    led = frozenset(_led_targets(situation.facts))
    clear = frozenset(
        target
        for target in led
        if activation.leadership_is_clear(situation, target)
    )
    owned = [row for row in owned_slots(view) if row.owner.target in led]
    held: dict[activation.Slot, Held] = {}
    blocked: list[Owned] = []
    for row in owned:
        holding = Held(row.owner.target, row.owner.fence)
        is_held = before.held.get(row.slot) == holding
        if is_held or activation.slot_is_clear(situation, *row):
            held[row.slot] = holding
        else:
            blocked.append(row)
    return Holdings(
        led=led,
        clear=clear,
        held=immutables.Map(held),
        leaving=_leaving(situation, before, led, acted_until),
        wants=_wants(situation, led - clear, blocked),
        is_waiting=bool(blocked) or led != clear,
        blocked=_by_earlier_owner(blocked),
    )


def owned_slots(view: state.ClusterState) -> abc.Iterator[Owned]:
    """Yields every slot that has an owner."""
    for service, slots in view.services.items():
        for number, owner in slots.owners.items():
            yield Owned(activation.Slot(service, number), owner)


def _led_targets(facts: authority.Facts) -> abc.Iterator[str]:
    if authority.own_member(facts) is None:
        return
    for target in facts.view.targets:
        if roles.leader_of_target(facts.view, target) == facts.instance:
            yield target


def _leaving(
    situation: activation.Situation,
    before: Holdings,
    led: frozenset[str],
    acted_until: abc.Mapping[str, float],
) -> immutables.Map[activation.Slot, Leaving]:
    view = situation.facts.view
    now = situation.now
    leaving = {
        slot: row
        for slot, row in before.leaving.items()
        if row.target in led and _fence_of(view, slot) == row.fence
    }
    for slot, holding in before.held.items():
        fence = _fence_of(view, slot)
        if fence == holding.fence or holding.target not in led:
            continue
        may_drain = now < acted_until.get(holding.target, 0)
        drain = situation.facts.bounds.request_limit if may_drain else 0
        leaving[slot] = Leaving(
            holding.target, holding.fence, fence, now + drain
        )
    return immutables.Map(leaving)


def _fence_of(view: state.ClusterState, slot: activation.Slot) -> int:
    owner = view.services[slot.service].owners.get(slot.number)
    return owner.fence if owner else 0


def _by_earlier_owner(
    blocked: list[Owned],
) -> immutables.Map[str, Changes]:
    rows: dict[str, Changes] = {}
    for slot, owner in blocked:
        known = rows.get(owner.previous_target, frozenset())
        rows[owner.previous_target] = known | {
            activation.Change(slot, owner.fence)
        }
    return immutables.Map(rows)


def _wants(
    situation: activation.Situation,
    unclear: frozenset[str],
    blocked: list[Owned],
) -> immutables.Map[str, Wants]:
    wants: dict[str, Wants] = {}
    boot = situation.facts.boot
    view = situation.facts.view
    for target in unclear:
        for row in activation.predecessors(view, target, boot):
            known = wants.get(row.instance, Wants())
            wants[row.instance] = known._replace(
                targets=known.targets | {target},
            )
    for owned in blocked:
        previous = owned.owner.previous_target
        for row in activation.predecessors(view, previous, boot):
            known = wants.get(row.instance, Wants())
            subject = activation.Change(owned.slot, owned.owner.fence)
            wants[row.instance] = known._replace(slots=known.slots | {subject})
    return immutables.Map(wants)
