"""Reads and checks the settings file of an instance."""

import typing

import fastjsonschema
import result

from bilberryglade._codec import codec
from bilberryglade_schema import settings, settings_checks


class SettingsError(typing.NamedTuple):
    """A setting that is refused."""

    #: Path of the setting, such as `timings.lease_ms`.
    path: str
    problem: str


def read_settings(
    raw: bytes,
) -> result.Result[settings.InstanceSettings, SettingsError]:
    """Decodes YAML settings and checks names, types, ranges and patterns."""
    plain = codec.decode_yaml(raw, object)
    if isinstance(plain, result.Err):
        return result.Err(SettingsError('', plain.err_value.detail))
    try:
        settings_checks.validate(  # type: ignore[no-untyped-call]
            {'InstanceSettings': plain.ok_value}
        )
    except fastjsonschema.JsonSchemaValueException as error:
        path = '.'.join(str(part) for part in error.path[2:])
        return result.Err(SettingsError(path, error.message))
    return codec.convert(plain.ok_value, settings.InstanceSettings).map_err(
        lambda problem: SettingsError('', problem.detail),
    )
