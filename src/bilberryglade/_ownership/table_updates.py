"""Announces the tables of key owners: full tables once, then the changes.

Tables grow with the number of targets, and every change is sent to every
instance; full tables each time would be most of the traffic between instances.
"""

from bilberryglade._membership import fleet
from bilberryglade._ownership import owners
from bilberryglade_schema import fleet as messages


class TableUpdates:
    """Sends table updates on the coordinator, applies them on the others."""

    def __init__(self, members: fleet.Fleet) -> None:
        """Starts with no tables announced; `members` sends the messages."""
        self.members = members
        #: Tables announced last; None before the first announcement of a term.
        self.announced: owners.Tables | None = None

    def begin_term(self) -> None:
        """Starts a term: the next announcement contains the full tables."""
        self.announced = None

    def announce(self, tables: owners.Tables) -> None:
        """Sends all instances the ranges changed since the last announcement."""
        announced = self.announced
        if announced is not None and not owners.is_newer(tables, announced):
            return
        self.announced = tables
        message = owners.to_message(tables, self.members.own.name)
        if (
            announced is not None
            and announced.services.keys() <= tables.services.keys()
        ):
            message = self._change_message(announced, tables)
        self.members.send_all(message)

    def handle_assignment(
        self,
        current: owners.Tables,
        message: messages.Assignment,
    ) -> owners.Tables:
        """Returns the tables after an update of the coordinator.

        If the update is based on tables other than `current`, the full tables
        are requested and `current` is returned.
        """
        received = owners.from_message(message, message['version'])
        if not owners.is_newer(received, current):
            return current
        version = message.get('base_version')
        if version is None:
            return received
        if (version, message.get('base_change')) != (
            current.version,
            current.change,
        ):
            self.request_full_tables(message['sender'])
            return current
        return owners.apply_changes(current, received)

    def request_full_tables(self, name: str) -> None:
        """Requests the full tables from the coordinator, instance `name`."""
        request: messages.AssignmentAsk = {
            'kind': 'assignment_ask',
            'sender': self.members.own.name,
        }
        self.members.send(name, request)

    def _change_message(
        self,
        announced: owners.Tables,
        tables: owners.Tables,
    ) -> messages.Assignment:
        """Returns the changes since `announced`, with the version they build on."""
        changed = tables._replace(
            services=owners.changed_ranges(announced, tables)
        )
        message = owners.to_message(changed, self.members.own.name)
        message['base_version'] = announced.version
        message['base_change'] = announced.change
        return message


def next_change(tables: owners.Tables) -> owners.Tables:
    """Returns tables marked as changed since the last announcement."""
    return tables._replace(change=tables.change + 1)
