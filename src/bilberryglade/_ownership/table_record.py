"""Builds the record of new owner tables, with the owners that they replace."""

from collections import abc

from bilberryglade._ownership import owners, ranges
from bilberryglade_schema import fleet as messages


def to_record(
    new_tables: abc.Mapping[str, ranges.Table],
    current: owners.Tables,
    former: abc.Mapping[str, abc.Sequence[owners.Former]],
    addresses: owners.Addresses,
    sender: str,
) -> messages.Assignment:
    """Returns the record of the tables that replace `current`.

    `former` are, by service, earlier owners that may still hold keys;
    `addresses` are those of all owners.
    """
    moving = {
        (service, owned.entry): owned.is_moving
        for service, entries in current.services.items()
        for owned in entries
    }
    services = {
        service: tuple(
            owners.Owned(
                entry, moving.get((service, entry), ranges.is_new(entry))
            )
            for entry in table
        )
        for service, table in new_tables.items()
    }
    message = owners.to_message(
        owners.Tables(0, 0, services), sender, addresses
    )
    message['former'] = {
        service: owners.to_former_table(former_owners, addresses)
        for service, former_owners in former.items()
    }
    return message
