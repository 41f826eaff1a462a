"""Command `explain`."""

import pathlib
import typing

import cappa

from bilberryglade._commands import commands, output, statuses
from bilberryglade._observability import histories

RequestId: typing.TypeAlias = typing.Annotated[
    str,
    cappa.Arg(value_name='ID', help='id that the caller gave its request'),
]
LogFiles: typing.TypeAlias = typing.Annotated[
    list[pathlib.Path],
    cappa.Arg(value_name='FILE', help='lines of any number of instances'),
]


@commands.commands.register('explain')
async def explain(request: RequestId, files: LogFiles) -> int:
    """Prints what the instances' lines tell of one request, in order."""
    lines: list[histories.Line] = []
    for path in files:
        try:
            text = path.read_text(errors='replace')
        except OSError as failure:
            output.write_error(f'{path}: {failure}')
            return statuses.ExitStatus.usage
        parsed = map(histories.parse, text.splitlines())
        lines.extend(line for line in parsed if line is not None)
    told = histories.explain(lines, request)
    if not told:
        output.write_error(f'{request}: no line in {len(lines)} lines')
        return statuses.ExitStatus.problem
    for one in told:
        output.write_line(_words_of(one))
    return statuses.ExitStatus.done


def _words_of(told: histories.Told) -> str:
    line = told.line
    moment = line.time.time().isoformat('milliseconds')
    words = [moment, line.instance, f'[{told.finding}]']
    if line.event == histories.REQUEST_EVENT:
        words.extend(
            f'{name}={field}'
            for name, field in line.fields.items()
            if name != 'level' and field not in ('', None, [])
        )
    else:
        words.append(line.event)
    return ' '.join(words)
