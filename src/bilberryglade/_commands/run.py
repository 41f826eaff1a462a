"""Command `run`: one entry instance."""

import pathlib
import typing

import cappa
import result

from bilberryglade._commands import commands, output, statuses
from bilberryglade._instance import config, node
from bilberryglade._observability import lines


@commands.commands.register('run')
async def run(
    settings: typing.Annotated[
        pathlib.Path,
        cappa.Arg(long=True, help='settings file in YAML'),
    ],
) -> int:
    """Runs an entry instance until SIGTERM."""
    try:
        raw = settings.read_bytes()
    except OSError as failure:
        output.write_error(f'{settings}: {failure}')
        return statuses.ExitStatus.usage
    checked = config.read_settings(raw)
    if isinstance(checked, result.Err):
        for error in checked.err_value:
            output.write_error(f'{settings}: {config.line_of(error)}')
        return statuses.ExitStatus.usage
    lines.configure(checked.ok_value['logs'])
    await node.Node(checked.ok_value).run()
    return statuses.ExitStatus.done
