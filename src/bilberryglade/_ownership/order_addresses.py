"""Addresses for orders to each incarnation of a target, listed or not."""

from collections import abc

from bilberryglade._knowledge import reading
from bilberryglade._ownership import owners, ranges
from bilberryglade._targets import directory


class OrderAddresses:
    """Addresses of all targets that are listed or may hold keys."""

    def __init__(self, reader: reading.Reader) -> None:
        """Starts with only the addresses in the list of targets."""
        self.reader = reader
        #: Address to which orders for each incarnation went last.
        self.last_addresses: dict[ranges.Owner, str] = {}

    def add(self, addresses: owners.Addresses) -> None:
        """Adds addresses from the record of an earlier coordinator."""
        self.last_addresses.update(addresses)

    def record(self, owner: ranges.Owner, address: str) -> None:
        """Records the address to which an order is sent."""
        self.last_addresses[owner] = address

    def retain_owners(self, holders: abc.Container[ranges.Owner]) -> None:
        """Forgets the addresses of all owners that are not in `holders`."""
        self.last_addresses = {
            owner: address
            for owner, address in self.last_addresses.items()
            if owner in holders
        }

    def release_address(self, owner: ranges.Owner) -> str:
        """Returns the address for releasing an owner's keys, or ''.

        If a later incarnation of the target is listed, it is used: it may hold
        the keys, and its answer covers the earlier ones.
        """
        target = self._listed().get(owner.target)
        if target is not None and target.born >= owner.born:
            return target.address
        return self.last_addresses.get(owner, '')

    def all_addresses(self) -> dict[ranges.Owner, str]:
        """Returns the known address of each incarnation."""
        listed = {
            owner_of(target): target.address
            for target in self._listed().values()
        }
        return {**self.last_addresses, **listed}

    def _listed(self) -> abc.Mapping[str, directory.Target]:
        listed = self.reader.known.directory
        return listed.targets


def owner_of(target: directory.Target) -> ranges.Owner:
    """Returns the incarnation of a listed target as an owner of keys."""
    return ranges.Owner(target.name, target.born)
