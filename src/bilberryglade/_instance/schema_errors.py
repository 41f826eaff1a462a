"""Finds all errors of a settings document that the schema tells of.

The generated check stops at the first error. Each error found is therefore
repaired with a sound value, and the document is checked again.
"""

import copy
import typing
from collections import abc

import fastjsonschema

from bilberryglade._instance import samples
from bilberryglade._values import registry
from bilberryglade_schema import settings_checks

MAX_ERRORS: typing.Final = 50
TOP: typing.Final = 'InstanceSettings'

Document: typing.TypeAlias = dict[str, typing.Any]
Path: typing.TypeAlias = tuple[str, ...]


class SettingsError(typing.NamedTuple):
    """A setting that is refused."""

    #: Path of the setting, such as `timings.lease_ms`; empty for the whole.
    path: str
    problem: str


class Finding(typing.NamedTuple):
    """An error of the schema in a document."""

    document: Document
    path: Path
    error: fastjsonschema.JsonSchemaValueException


class Repair(typing.NamedTuple):
    """What a finding says, and whether the document could be repaired."""

    errors: list[SettingsError]
    repaired: bool


RepairFunction: typing.TypeAlias = abc.Callable[[Finding], Repair]

#: Repairs by the keyword of the schema that is broken.
repairs: typing.Final = registry.Registry[RepairFunction]('settings repair')


def find(document: Document) -> list[SettingsError]:
    """Returns the errors of `document`, which is repaired on the way."""
    errors: list[SettingsError] = []
    while len(errors) < MAX_ERRORS:
        error = first_error(document)
        if error is None:
            break
        path = tuple(str(part) for part in error.path[2:])
        repair = repairs.find(str(error.rule)) or replace_value
        step = repair(Finding(document, path, error))
        errors.extend(step.errors)
        if not step.repaired:
            break
    return errors


def first_error(
    document: Document,
) -> fastjsonschema.JsonSchemaValueException | None:
    """Returns the first error of `document`, or None."""
    try:
        settings_checks.validate(  # type: ignore[no-untyped-call]
            {TOP: document},
        )
    except fastjsonschema.JsonSchemaValueException as error:
        return error
    return None


def is_sound(document: Document) -> bool:
    """Tells whether the schema finds nothing wrong."""
    return first_error(document) is None


@repairs.register('additionalProperties')
def remove_unknown(finding: Finding) -> Repair:
    """Removes names that the schema does not have."""
    present = _at(finding.document, finding.path)
    allowed = finding.error.definition['properties']
    unknown = [name for name in present if name not in allowed]
    for name in unknown:
        present.pop(name)
    words = ', '.join(allowed)
    problem = f'is not a known setting; allowed: {words}'
    return Repair(_errors_at(finding.path, unknown, problem), bool(unknown))


@repairs.register('required')
def add_missing(finding: Finding) -> Repair:
    """Adds names that the schema wants, with sound values."""
    present = _at(finding.document, finding.path)
    missing = [
        name for name in finding.error.rule_definition if name not in present
    ]
    errors = _errors_at(finding.path, missing, 'is missing')
    sound = {name: _sample_at((*finding.path, name)) for name in missing}
    if not missing or None in sound.values():
        return Repair(errors, repaired=False)
    present.update(copy.deepcopy(sound))
    return Repair(errors, repaired=True)


def replace_value(finding: Finding) -> Repair:
    """Replaces a value of a wrong type, range or pattern."""
    _, _, problem = finding.error.message.partition(' ')
    errors = [SettingsError('.'.join(finding.path), problem)]
    sound = _sample_at(finding.path)
    if not finding.path or sound is None:
        return Repair(errors, repaired=False)
    parent = _at(finding.document, finding.path[:-1])
    parent[finding.path[-1]] = copy.deepcopy(sound)
    return Repair(errors, repaired=True)


def _errors_at(
    path: Path,
    names: abc.Iterable[str],
    problem: str,
) -> list[SettingsError]:
    return [
        SettingsError('.'.join((*path, str(name))), problem) for name in names
    ]


def _at(node: typing.Any, path: Path) -> typing.Any:
    for name in path:
        node = node[name]
    return node


def _sample_at(path: Path) -> typing.Any:
    node: typing.Any = samples.SETTINGS
    for name in path:
        if not isinstance(node, dict):
            return None
        node = node.get(name)
    return node
