"""Which slots this instance leads, and since which change."""

from bilberryglade._delivery import intents
from bilberryglade._log import follower
from bilberryglade._ownership import leases
from bilberryglade._routing import roles
from bilberryglade._state import state


class Tenures:
    """Tenures of one instance by its newest state."""

    def __init__(
        self,
        instance: str,
        reader: follower.Follower,
        slot_leases: leases.Leases,
    ) -> None:
        """Looks from `instance`."""
        self.instance = instance
        self.reader = reader
        self.slot_leases = slot_leases

    def of_slot(self, service: str, slot: int) -> intents.Tenure | None:
        """Returns the tenure of a slot, or None if it is not led here."""
        view = self.reader.view
        slots = view.services.get(service, state.ServiceSlots())
        owner = slots.owners.get(slot)
        if owner is None:
            return None
        if roles.leader_of_target(view, owner.target) != self.instance:
            return None
        fence = self.slot_leases.may_dispatch(owner.target, slot)
        if not fence:
            return None
        return intents.Tenure(fence, view.topology_changed_at)

    def of_service(self, service: str) -> dict[int, intents.Tenure]:
        """Returns the tenures of all slots of a service that are led here."""
        slots = self.reader.view.services.get(service, state.ServiceSlots())
        tenures = {slot: self.of_slot(service, slot) for slot in slots.owners}
        return {
            slot: tenure
            for slot, tenure in tenures.items()
            if tenure is not None
        }
