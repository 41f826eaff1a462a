"""Tells the owners of keys to all instances: whole once, then what changes.

Tables grow with the targets and are told with each change, to every instance;
whole ones would be most of what instances send to one another.
"""

from bilberryglade._membership import fleet
from bilberryglade._ownership import owners
from bilberryglade_schema import fleet as messages


class TableNews:
    """What the coordinator tells, and what the others make of it."""

    def __init__(self, members: fleet.Fleet) -> None:
        """Has told nothing."""
        self.members = members
        #: What all others were told last; None before the first word.
        self.told: owners.Tables | None = None

    def begin(self) -> None:
        """Starts a term: the next word is the whole."""
        self.told = None

    def tell(self, tables: owners.Tables) -> None:
        """Tells the others what is not the same as in the last word."""
        told = self.told
        if told is not None and not owners.is_newer(tables, told):
            return
        self.told = tables
        message = owners.to_message(tables, self.members.own.name)
        if told is not None and told.services.keys() <= tables.services.keys():
            message = self._changes(told, tables)
        self.members.send_all(message)

    def take(
        self,
        known: owners.Tables,
        message: messages.Assignment,
    ) -> owners.Tables:
        """Returns the tables after a word of the coordinator.

        One on tables that are not known changes nothing; the whole is asked
        for instead.
        """
        heard = owners.from_message(message, message['version'])
        if not owners.is_newer(heard, known):
            return known
        version = message.get('base_version')
        if version is None:
            return heard
        if (version, message.get('base_change')) != (
            known.version,
            known.change,
        ):
            self.ask(message['sender'])
            return known
        return owners.overlaid(known, heard)

    def ask(self, name: str) -> None:
        """Asks the coordinator for the whole."""
        ask: messages.AssignmentAsk = {
            'kind': 'assignment_ask',
            'sender': self.members.own.name,
        }
        self.members.send(name, ask)

    def _changes(
        self,
        told: owners.Tables,
        tables: owners.Tables,
    ) -> messages.Assignment:
        others = tables._replace(services=owners.differing(told, tables))
        message = owners.to_message(others, self.members.own.name)
        message['base_version'] = told.version
        message['base_change'] = told.change
        return message
