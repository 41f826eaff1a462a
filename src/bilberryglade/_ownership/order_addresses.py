"""Where each life of a target takes orders, also when it is not listed."""

from collections import abc

from bilberryglade._knowledge import reading
from bilberryglade._ownership import owners, ranges
from bilberryglade._targets import directory


class OrderAddresses:
    """Addresses of targets that may hold keys."""

    def __init__(self, reader: reading.Reader) -> None:
        """Knows what the list of targets says."""
        self.reader = reader
        #: Where each life was reached last.
        self.last_addresses: dict[ranges.Owner, str] = {}

    def add(self, addresses: owners.Addresses) -> None:
        """Takes in addresses that an earlier coordinator left."""
        self.last_addresses.update(addresses)

    def record(self, owner: ranges.Owner, address: str) -> None:
        """Takes in where an order is sent."""
        self.last_addresses[owner] = address

    def retain_owners(self, holders: abc.Container[ranges.Owner]) -> None:
        """Forgets all who hold nothing."""
        self.last_addresses = {
            owner: address
            for owner, address in self.last_addresses.items()
            if owner in holders
        }

    def release_address(self, owner: ranges.Owner) -> str:
        """Returns where the keys of a life can be taken back, or ''.

        A later life may have taken them; it answers for those before it.
        """
        target = self._listed().get(owner.target)
        if target is not None and target.born >= owner.born:
            return target.address
        return self.last_addresses.get(owner, '')

    def all_addresses(self) -> dict[ranges.Owner, str]:
        """Returns the address of each life that is known."""
        listed = {
            owner_of(target): target.address
            for target in self._listed().values()
        }
        return {**self.last_addresses, **listed}

    def _listed(self) -> abc.Mapping[str, directory.Target]:
        listed = self.reader.known.directory
        return listed.targets


def owner_of(target: directory.Target) -> ranges.Owner:
    """Returns the life of a target that may own keys."""
    return ranges.Owner(target.name, target.born)
