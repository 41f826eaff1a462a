"""Registered placement policies: which target is to own which slot."""

import typing
from collections import abc

from bilberryglade._routing import roles, slots
from bilberryglade._rules import rules
from bilberryglade._state import state
from bilberryglade._values import registry


class Placement(typing.NamedTuple):
    """Slots of a service and the targets that are to own them."""

    service: str
    #: `changed_at` of the assignment that the moves start from.
    based_on: int
    moves: tuple[tuple[int, str], ...]


Placer: typing.TypeAlias = abc.Callable[
    [state.ServiceSlots, tuple[str, ...]],
    dict[int, str],
]

#: Slots in service that move to another target in one step.
MOST_VOLUNTARY: typing.Final = 8
NONE_SILENT: typing.Final[frozenset[str]] = frozenset()

placers: typing.Final = registry.Registry[Placer]('placement policy')


@placers.register('plain')
def place_plain(
    current: state.ServiceSlots,
    usable: tuple[str, ...],
) -> dict[int, str]:
    """Returns the rendezvous winner of each slot, whatever the balance."""
    return {slot: slots.best(str(slot), usable) for slot in _all_slots(current)}


@placers.register('bounded')
def place_bounded(
    current: state.ServiceSlots,
    usable: tuple[str, ...],
) -> dict[int, str]:
    """Keeps slots whose owner is usable and evens out the rest.

    A target takes at most the mean number of slots, rounded up, so a loss
    moves only the lost target's slots.
    """
    every = _all_slots(current)
    most = -(-len(every) // len(usable))
    counts = dict.fromkeys(usable, 0)
    wanted: dict[int, str] = {}
    for slot in every:
        owner = current.owners.get(slot)
        if owner is None or counts.get(owner.target, most) >= most:
            continue
        wanted[slot] = owner.target
        counts[owner.target] += 1
    for slot in every:
        if slot in wanted:
            continue
        order = slots.ranked(str(slot), usable)
        chosen = next(name for name in order if counts[name] < most)
        wanted[slot] = chosen
        counts[chosen] += 1
    return wanted


def usable_targets(
    view: state.ClusterState,
    service: str,
    silent: frozenset[str] = NONE_SILENT,
) -> tuple[str, ...]:
    """Returns live, led targets of `service` in domains that take work.

    Targets in `silent` failure domains count as lost unless the service keeps
    its keys where they are.
    """
    lost = NONE_SILENT if keeps(view, service) else silent
    return tuple(
        sorted(
            target.target
            for target in view.targets.values()
            if target.service == service
            and target.failure_domain not in lost
            and _takes_work(view, target)
        ),
    )


def _takes_work(view: state.ClusterState, target: state.TargetState) -> bool:
    if target.state != 'live':
        return False
    if not in_service(view, target.failure_domain):
        return False
    return bool(roles.leader_of_target(view, target.target))


def keeps(view: state.ClusterState, service: str) -> bool:
    """Tells whether a service's keys stay in a domain that is cut off."""
    return any(
        rule.isolation is rules.Isolation.keep
        for rule in view.rules.book.services
        if rule.service == service
    )


def in_service(view: state.ClusterState, failure_domain: str) -> bool:
    """Tells whether operators have left a failure domain in service."""
    domain = view.failure_domains.get(failure_domain)
    return domain is None or domain.in_service


def plan(
    view: state.ClusterState,
    service: str,
    policy: str = 'bounded',
    silent: frozenset[str] = NONE_SILENT,
    most_voluntary: int = MOST_VOLUNTARY,
) -> Placement | None:
    """Returns the moves that `policy` wants, or None if all is in place.

    Slots that are served move `most_voluntary` at a time, so that targets that
    come back, as a rule cold, are given work in steps; slots that are not
    served move at once.
    """
    usable = usable_targets(view, service, silent)
    if not usable:
        return None
    current = view.services.get(service, state.ServiceSlots())
    wanted = placers.entries[policy](current, usable)
    moves = tuple(
        (slot, target)
        for slot, target in sorted(wanted.items())
        if _owner_name(current, slot) != target
    )
    due = gated(current, usable, moves, most_voluntary)
    if not due:
        return None
    return Placement(service, current.changed_at, due)


def gated(
    current: state.ServiceSlots,
    usable: tuple[str, ...],
    moves: tuple[tuple[int, str], ...],
    most_voluntary: int,
) -> tuple[tuple[int, str], ...]:
    """Returns the moves away from lost owners and a few of the others."""
    forced = tuple(
        move for move in moves if _owner_name(current, move[0]) not in usable
    )
    voluntary = [move for move in moves if move not in forced]
    return (*forced, *voluntary[:most_voluntary])


def _owner_name(current: state.ServiceSlots, slot: int) -> str:
    owner = current.owners.get(slot)
    return owner.target if owner else ''


def _all_slots(current: state.ServiceSlots) -> list[int]:
    hashed = range(slots.SLOTS_PER_SERVICE)
    return [*hashed, *sorted(current.hot_slots.values())]
