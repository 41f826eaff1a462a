"""The record of new tables: owners, and earlier ones that may still hold keys."""

from collections import abc

from bilberryglade._ownership import owners, ranges
from bilberryglade_schema import fleet as messages


def written(
    wanted: abc.Mapping[str, ranges.Table],
    before: owners.Tables,
    former: abc.Mapping[str, abc.Sequence[owners.FormerOwner]],
    addresses: owners.Addresses,
    sender: str,
) -> messages.Assignment:
    """Returns the record of wanted tables, which follow those of before."""
    known = {
        (service, owned.entry): owned.is_moving
        for service, entries in before.services.items()
        for owned in entries
    }
    services = {
        service: tuple(
            owners.OwnedRange(
                entry, known.get((service, entry), ranges.is_new(entry))
            )
            for entry in table
        )
        for service, table in wanted.items()
    }
    message = owners.to_message(
        owners.Tables(0, 0, services), sender, addresses
    )
    message['former'] = {
        service: owners.to_former_table(found, addresses)
        for service, found in former.items()
    }
    return message
