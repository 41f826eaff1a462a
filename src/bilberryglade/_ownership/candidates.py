"""Targets that may own keys, and how much load each of them should carry."""

import statistics
import typing
from collections import abc

from bilberryglade._knowledge import reading
from bilberryglade._ownership import (
    key_loads,
    lease_manager,
    order_addresses,
    ranges,
    shares,
)
from bilberryglade._targets import directory, standing

#: How much longer than usual work at a cold target is counted.
COLD_SLOWNESS: typing.Final = 2.5


class Candidates:
    """Looks at what is known of the targets of services with keys."""

    def __init__(
        self,
        reader: reading.Reader,
        leasing: lease_manager.LeaseManager,
        load_sum: key_loads.LoadSum,
    ) -> None:
        """Reads what the coordinator knows."""
        self.reader = reader
        self.lessor = leasing
        self.load_sum = load_sum

    def services(self) -> list[str]:
        """Returns the services whose keys have owners."""
        catalogue = self.reader.known.catalogue
        if catalogue is None:
            return []
        return [
            service.name
            for service in catalogue.services.values()
            if service.is_partitioned
        ]

    def health_path(self, service: str) -> str:
        """Returns where targets of a service tell that they are there."""
        known = self.reader.known.service(service)
        return '/' if known is None else known.health_path

    def targets(
        self,
        service: str,
        owning: abc.Set[ranges.Owner],
        now: float,
    ) -> list[directory.Target]:
        """Returns the targets that may own keys, neighbours side by side.

        The store drops the entry of a target that falls silent, and rewrites
        none that lives unchanged, so an entry's age says nothing.
        """
        chosen = [
            target
            for target in self.reader.known.in_use(service)
            if not target.is_draining and self._is_sound(target, owning, now)
        ]
        return sorted(chosen, key=_place)

    def weigh(
        self,
        targets: abc.Sequence[directory.Target],
        loads: ranges.Loads,
        now: float,
    ) -> list[ranges.Candidate]:
        """Returns targets with the load that each should carry."""
        load = sum(loads.values())
        capacities = self._capacities(targets, now)
        weights = shares.divide(capacities, max(load, len(targets)))
        return [
            ranges.Candidate(
                order_addresses.owner_of(target), weight, capacity.rate
            )
            for target, weight, capacity in zip(
                targets, weights, capacities, strict=True
            )
        ]

    def _is_sound(
        self,
        target: directory.Target,
        owning: abc.Set[ranges.Owner],
        now: float,
    ) -> bool:
        owner = order_addresses.owner_of(target)
        if self.lessor.reachability.is_unreachable(owner, now):
            return False
        if owner in owning:
            return True
        # One that may be gone could not confirm keys given to it anew.
        return target.name not in self.reader.known.directory.lapsed

    def _capacities(
        self,
        targets: abc.Sequence[directory.Target],
        now: float,
    ) -> list[shares.Capacity]:
        """Returns what targets can do; an unknown one is as fast as most."""
        seconds = self.load_sum.seconds
        told = [
            seconds[target.name] for target in targets if target.name in seconds
        ]
        usual = statistics.median(told) if told else standing.UNKNOWN_SECONDS
        found: list[shares.Capacity] = []
        for target in targets:
            work = seconds.get(target.name, usual)
            if target.cold_until > now:
                work *= COLD_SLOWNESS
            found.append(shares.Capacity(target.places, work))
        return found


def lives_of(
    targets: abc.Iterable[directory.Target],
) -> frozenset[ranges.Owner]:
    """Returns the lives that targets are in."""
    return frozenset(map(order_addresses.owner_of, targets))


def _place(target: directory.Target) -> tuple[str, str]:
    return (target.failure_domain, target.name)
