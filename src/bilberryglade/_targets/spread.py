"""Spreads requests that any target of a service may run."""

import random
import typing

from bilberryglade._routing import placement
from bilberryglade._state import state
from bilberryglade._targets import balancing
from bilberryglade._values import outcomes, requests

POLICY: typing.Final = 'two_choices'


class Choices(typing.NamedTuple):
    """One slot of each target that takes work, as of an assignment."""

    #: Offset of the newest change that the choices depend on.
    offset: int
    slots: dict[str, int]


class Spread:
    """What this instance saw of each target, and its choices from that."""

    def __init__(self, policy: str = POLICY) -> None:
        """Chooses by the registered balancing `policy`."""
        self.choose = balancing.balancers.entries[policy]
        self.chance = random.Random()
        self.views: dict[str, balancing.TargetView] = {}
        self.choices: dict[str, Choices] = {}

    def slot_for(
        self,
        view: state.ClusterState,
        request: requests.RoutedRequest,
    ) -> int:
        """Returns the slot of the target chosen for `request`.

        Requests with a key, and those that their caller has named, keep
        their slot.
        """
        if requests.is_bound(request):
            return request.slot
        slots = self._choices(view, request.service).slots
        if not slots:
            return request.slot
        known = [self._view(target) for target in slots]
        return slots[self.choose(known, self.chance)]

    def sent(self, target: str) -> None:
        """Counts a request that is on its way to `target`."""
        known = self._view(target)
        self.views[target] = known._replace(outstanding=known.outstanding + 1)

    def ended(
        self,
        target: str,
        outcome: outcomes.Outcome | None,
        seconds: float,
    ) -> None:
        """Counts the end of a request; None stands for a cancelled one."""
        known = self._view(target)
        known = known._replace(outstanding=known.outstanding - 1)
        if not isinstance(outcome, outcomes.NotRun):
            known = balancing.after_answer(known, seconds)
        self.views[target] = known

    def _choices(self, view: state.ClusterState, service: str) -> Choices:
        slots = view.services.get(service, state.ServiceSlots())
        offset = max(slots.changed_at, view.topology_changed_at)
        known = self.choices.get(service)
        if known is not None and known.offset == offset:
            return known
        usable = frozenset(placement.usable_targets(view, service))
        owned = {
            owner.target: slot
            for slot, owner in slots.owners.items()
            if owner.target in usable
        }
        self.choices[service] = Choices(offset, owned)
        return self.choices[service]

    def _view(self, target: str) -> balancing.TargetView:
        return self.views.get(target, balancing.TargetView(target))
