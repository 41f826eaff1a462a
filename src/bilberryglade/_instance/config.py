"""Reads and checks the settings file of an instance."""

import copy
import re
import typing

import result

from bilberryglade._codec import codec
from bilberryglade._instance import contradictions, schema_errors
from bilberryglade_schema import settings

YAML_PLACE: typing.Final = re.compile(r'line \d+, column \d+')

Checked: typing.TypeAlias = result.Result[
    settings.InstanceSettings,
    tuple[schema_errors.SettingsError, ...],
]


def read_settings(raw: bytes) -> Checked:
    """Decodes YAML settings and checks them.

    All errors are returned together: names, types, ranges, patterns, and
    contradictions between settings that are each sound. No error repeats a
    secret value.
    """
    plain = codec.decode_yaml(raw, object)
    if isinstance(plain, result.Err):
        return _single(_yaml_problem(plain.err_value))
    if not isinstance(plain.ok_value, dict):
        return _single('must be a map of settings')
    repaired = copy.deepcopy(plain.ok_value)
    errors = schema_errors.find(repaired)
    if schema_errors.is_sound(repaired):
        errors.extend(_contradictions(repaired, errors))
    if errors:
        return result.Err(tuple(sorted(errors)))
    return codec.convert(plain.ok_value, settings.InstanceSettings).map_err(
        lambda problem: (schema_errors.SettingsError('', problem.detail),),
    )


def line_of(error: schema_errors.SettingsError) -> str:
    """Returns an error as `path: problem`."""
    return f'{error.path}: {error.problem}' if error.path else error.problem


def _yaml_problem(error: codec.DecodeError) -> str:
    """Tells where the YAML breaks, without its text, which has secrets."""
    place = YAML_PLACE.search(error.detail)
    return f'no YAML at {place.group()}' if place else 'no YAML'


def _single(problem: str) -> Checked:
    return result.Err((schema_errors.SettingsError('', problem),))


def _contradictions(
    document: contradictions.Document,
    errors: list[schema_errors.SettingsError],
) -> list[schema_errors.SettingsError]:
    unsound = frozenset(error.path for error in errors)
    found: list[schema_errors.SettingsError] = []
    for entry in contradictions.contradictions.entries.values():
        if any(_covers(unsound, path) for path in entry.paths):
            continue
        problem = entry.check(document)
        if problem:
            found.append(schema_errors.SettingsError(entry.paths[0], problem))
    return found


def _covers(unsound: frozenset[str], path: str) -> bool:
    section = path.partition('.')[0]
    return path in unsound or section in unsound
