"""Tells the owners of keys to all instances: whole once, then what changes.

Tables grow with the targets and are told with each change, to every instance;
whole ones would be most of what instances send to one another.
"""

from bilberryglade._membership import fleet
from bilberryglade._ownership import owners
from bilberryglade_schema import fleet as messages


class TableUpdates:
    """What the coordinator tells, and what the others make of it."""

    def __init__(self, members: fleet.Fleet) -> None:
        """Has told nothing."""
        self.members = members
        #: What all others were told last; None before the first word.
        self.announced: owners.Tables | None = None

    def begin_term(self) -> None:
        """Starts a term: the next word is the whole."""
        self.announced = None

    def announce(self, tables: owners.Tables) -> None:
        """Tells the others what is not the same as in the last word."""
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
        """Returns the tables after a word of the coordinator.

        One on tables that are not known changes nothing; the whole is asked
        for instead.
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
        """Asks the coordinator for the whole."""
        ask: messages.AssignmentAsk = {
            'kind': 'assignment_ask',
            'sender': self.members.own.name,
        }
        self.members.send(name, ask)

    def _change_message(
        self,
        announced: owners.Tables,
        tables: owners.Tables,
    ) -> messages.Assignment:
        changed = tables._replace(
            services=owners.changed_ranges(announced, tables)
        )
        message = owners.to_message(changed, self.members.own.name)
        message['base_version'] = announced.version
        message['base_change'] = announced.change
        return message
