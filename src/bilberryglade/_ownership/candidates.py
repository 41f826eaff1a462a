"""Selects the targets that may own keys and weighs them by speed."""

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

#: Factor by which work at a cold target is assumed to take longer.
COLD_SLOWDOWN: typing.Final = 2.5


class Candidates:
    """Selects and weighs the targets that may own a service's keys."""

    def __init__(
        self,
        reader: reading.Reader,
        leasing: lease_manager.LeaseManager,
        load_sum: key_loads.LoadSum,
    ) -> None:
        """`reader` provides the targets, `load_sum` their measured speed.

        `leasing` provides which targets are unreachable.
        """
        self.reader = reader
        self.lease_manager = leasing
        self.load_sum = load_sum

    def services(self) -> list[str]:
        """Returns the names of the services whose keys have owners."""
        catalogue = self.reader.known.catalogue
        if catalogue is None:
            return []
        return [
            service.name
            for service in catalogue.services.values()
            if service.is_partitioned
        ]

    def health_path(self, service: str) -> str:
        """Returns the path of a service's health check; '/' if unknown."""
        known = self.reader.known.service(service)
        return '/' if known is None else known.health_path

    def targets(
        self,
        service: str,
        current_owners: abc.Set[ranges.Owner],
        now: float,
    ) -> list[directory.Target]:
        """Returns the targets that may own keys, sorted by failure domain.

        `current_owners` are the present owners of the service's keys. The age of
        a target's entry in the store is not considered: the store drops the
        entry of a target that stops reporting, and rewrites no entry that is
        unchanged.
        """
        eligible = [
            target
            for target in self.reader.known.in_use(service)
            if not target.is_draining
            and self._is_eligible(target, current_owners, now)
        ]
        return sorted(eligible, key=_sort_key)

    def weigh(
        self,
        targets: abc.Sequence[directory.Target],
        loads: ranges.Loads,
        now: float,
    ) -> list[ranges.Candidate]:
        """Returns targets as candidates, weighted by the load for each.

        The weight is the load that the target should carry, in requests a
        second.
        """
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

    def _is_eligible(
        self,
        target: directory.Target,
        current_owners: abc.Set[ranges.Owner],
        now: float,
    ) -> bool:
        """Returns whether a target may own keys, or keep those it owns."""
        owner = order_addresses.owner_of(target)
        if self.lease_manager.reachability.is_unreachable(owner, now):
            return False
        if owner in current_owners:
            return True
        # A target with a lapsed entry may be gone and could not confirm the
        # grant of keys that it does not own yet.
        return target.name not in self.reader.known.directory.lapsed

    def _capacities(
        self,
        targets: abc.Sequence[directory.Target],
        now: float,
    ) -> list[shares.Capacity]:
        """Returns the capacity of each target, in the order of `targets`.

        A target of unknown speed counts with the median speed of the others.
        """
        work_seconds = self.load_sum.work_seconds
        reported = [
            work_seconds[target.name]
            for target in targets
            if target.name in work_seconds
        ]
        default_seconds = (
            statistics.median(reported)
            if reported
            else standing.UNKNOWN_SECONDS
        )
        capacities: list[shares.Capacity] = []
        for target in targets:
            target_seconds = work_seconds.get(target.name, default_seconds)
            if target.cold_until > now:
                target_seconds *= COLD_SLOWDOWN
            capacities.append(shares.Capacity(target.places, target_seconds))
        return capacities


def incarnations_of(
    targets: abc.Iterable[directory.Target],
) -> frozenset[ranges.Owner]:
    """Returns the current incarnation of each target."""
    return frozenset(map(order_addresses.owner_of, targets))


def _sort_key(target: directory.Target) -> tuple[str, str]:
    """Returns a target's failure domain and name, by which targets are sorted."""
    return (target.failure_domain, target.name)
