"""Command `settings check`."""

import result

from bilberryglade._commands import commands, options, output, statuses
from bilberryglade._instance import config


@commands.commands.register('settings check')
async def check(path: options.SettingsFile, as_json: options.AsJson) -> int:
    """Checks a settings file; nothing is started."""
    try:
        raw = path.read_bytes()
    except OSError as failure:
        output.write_error(f'{path}: {failure}')
        return statuses.ExitStatus.usage
    checked = config.read_settings(raw)
    errors = checked.err_value if isinstance(checked, result.Err) else ()
    if as_json:
        output.write_json({'errors': [error._asdict() for error in errors]})
    for error in () if as_json else errors:
        output.write_error(f'{path}: {config.line_of(error)}')
    if errors:
        return statuses.ExitStatus.problem
    if not as_json:
        output.write_line(f'{path}: no errors')
    return statuses.ExitStatus.done
