"""Grants leases to the targets that this instance leads."""

import asyncio

from bilberryglade._log import follower
from bilberryglade._routing import roles
from bilberryglade._state import state
from bilberryglade._targets import client
from bilberryglade_schema import platform, settings


class Leases:
    """Renews the grants of led targets."""

    def __init__(
        self,
        instance: str,
        reader: follower.Follower,
        targets: client.TargetClient,
        timings: settings.TimingSettings,
    ) -> None:
        """Acts as `instance`."""
        self.instance = instance
        self.reader = reader
        self.targets = targets
        self.timings = timings
        #: Newest granted fence by target and slot.
        self.granted: dict[tuple[str, int], int] = {}

    async def renew(self) -> None:
        """Renews until cancelled."""
        while True:
            await self.renew_once()
            await asyncio.sleep(self.timings['renew_ms'] / 1000)

    async def renew_once(self) -> None:
        """Grants every owned slot of every led target once."""
        if not self.has_authority:
            return
        view = self.reader.view
        owned = owned_slots(view)
        led = [
            target
            for target in view.targets.values()
            if roles.leader_of_target(view, target.target) == self.instance
        ]
        await asyncio.gather(
            *(
                self._grant(target, owned.get(target.target, []))
                for target in led
            ),
        )

    @property
    def has_authority(self) -> bool:
        """Whether the newest read of the log is young enough to act on."""
        bound = self.timings['authority_ms'] / 1000
        return self.reader.age_seconds < bound

    def may_dispatch(self, target: str, slot: int) -> int:
        """Returns the fence under which a slot may be served, or 0."""
        if not self.has_authority:
            return 0
        return self.granted.get((target, slot), 0)

    async def _grant(
        self,
        target: state.TargetState,
        owned: list[platform.Grant],
    ) -> None:
        if not owned:
            return
        lease_ms = self.timings['lease_ms']
        grants: list[platform.Grant] = [
            {**grant, 'lease_ms': lease_ms} for grant in owned
        ]
        taken = await self.targets.grant(target.address, grants)
        if not taken:
            return
        for grant in grants:
            self.granted[(target.target, grant['slot'])] = grant['fence']


def owned_slots(
    view: state.ClusterState,
) -> dict[str, list[platform.Grant]]:
    """Returns the grants due to each target, with no lease time yet."""
    owned: dict[str, list[platform.Grant]] = {}
    for service in view.services.values():
        for slot, owner in service.owners.items():
            grant: platform.Grant = {
                'slot': slot,
                'fence': owner.fence,
                'lease_ms': 0,
            }
            owned.setdefault(owner.target, []).append(grant)
    return owned
