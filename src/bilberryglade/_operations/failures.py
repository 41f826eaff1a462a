"""Why an operation was not done, as values."""

import enum
import typing

from bilberryglade_schema import admin


class FailureKind(enum.StrEnum):
    """Kinds of failures; each front end words them its own way."""

    invalid = 'invalid'
    not_found = 'not_found'
    #: The fold refused the change; nothing changed.
    rejected = 'rejected'
    #: The change may still come into force.
    unclear = 'unclear'
    too_large = 'too_large'
    unauthorized = 'unauthorized'
    wrong_method = 'wrong_method'
    internal = 'internal'


class Failure(typing.NamedTuple):
    """An operation that was not done, or whose outcome is unclear."""

    kind: FailureKind
    detail: str
    #: Id of the record to ask again for, empty if none was appended.
    record_id: str = ''
    #: Offset of the record that won a race, 0 if there was none.
    winner: int = 0
    errors: tuple[admin.ErrorEntry, ...] = ()
    #: Both sides of a lost race of rules files.
    race: admin.Race | None = None


def not_found(noun: str, name: str, known: typing.Iterable[str]) -> Failure:
    """Returns the failure that `name` is none of the `known` ones."""
    allowed = ', '.join(sorted(known)) or 'none is known'
    entry: admin.ErrorEntry = {
        'path': noun.replace(' ', '_'),
        'line': 0,
        'column': 0,
        'problem': f'no {noun} {name!r}',
        'allowed': allowed,
    }
    return Failure(
        FailureKind.not_found,
        f'no {noun} {name!r}; known: {allowed}',
        errors=(entry,),
    )
