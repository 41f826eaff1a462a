"""Determines which slots this instance leads, and since which change.

A slot is a group of a service's keys that one target owns. A tenure is the
time in which one instance leads a slot without interruption.
"""

from bilberryglade._delivery import intents
from bilberryglade._log import follower
from bilberryglade._ownership import leases
from bilberryglade._routing import roles
from bilberryglade._state import state


class Tenures:
    """Tenures of one instance, derived from the newest cluster state."""

    def __init__(
        self,
        instance: str,
        reader: follower.Follower,
        lease_granter: leases.LeaseGranter,
    ) -> None:
        """`instance` is the one whose tenures are determined.

        `reader` holds the newest cluster state, `lease_granter` the leases under
        which requests may be sent to the owners of slots.
        """
        self.instance = instance
        self.reader = reader
        self.lease_granter = lease_granter

    def of_slot(self, service: str, slot: int) -> intents.Tenure | None:
        """Returns the tenure of a slot, or None if another instance leads it.

        Also None if the slot's target may not be sent requests at present.
        """
        view = self.reader.view
        slots = view.services.get(service, state.ServiceSlots())
        owner = slots.owners.get(slot)
        if owner is None:
            return None
        if roles.leader_of_target(view, owner.target) != self.instance:
            return None
        fence = self.lease_granter.dispatch_fence(owner.target, slot)
        if not fence:
            return None
        return intents.Tenure(fence, view.topology_changed_at)

    def of_service(self, service: str) -> dict[int, intents.Tenure]:
        """Returns the tenures of the slots of a service led by this instance."""
        slots = self.reader.view.services.get(service, state.ServiceSlots())
        tenures = {slot: self.of_slot(service, slot) for slot in slots.owners}
        return {
            slot: tenure
            for slot, tenure in tenures.items()
            if tenure is not None
        }
