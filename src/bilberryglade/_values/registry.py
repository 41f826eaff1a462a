"""Registries that decorators fill: the project's only way to vary behaviour."""

import typing
from collections import abc

Entry = typing.TypeVar('Entry')


class DuplicateEntryError(Exception):
    """Two entries were registered under one name, a fault of the program."""


class Registry(typing.Generic[Entry]):
    """Entries of one kind by name, filled at import time by a decorator."""

    def __init__(self, kind: str) -> None:
        """Starts empty; `kind` names the entries in error messages."""
        self.kind = kind
        self.entries: dict[str, Entry] = {}

    def register(self, name: str) -> abc.Callable[[Entry], Entry]:
        """Returns a decorator that files its argument under `name`."""

        def decorator(entry: Entry) -> Entry:  # noqa: WPS430
            if name in self.entries:
                raise DuplicateEntryError(
                    f'{self.kind} {name!r} exists already'
                )
            self.entries[name] = entry
            return entry

        return decorator

    def find(self, name: str) -> Entry | None:
        """Returns the entry called `name`, or None."""
        return self.entries.get(name)

    def names(self) -> list[str]:
        """Returns all names in alphabetical order."""
        return sorted(self.entries)
