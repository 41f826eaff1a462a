"""Commands `status`, `record` and `events`."""

import typing

import cappa
import result

from bilberryglade._codec import codec
from bilberryglade._commands import (
    commands,
    connections,
    options,
    output,
    statuses,
)
from bilberryglade_schema import admin as messages

After: typing.TypeAlias = typing.Annotated[
    int | None,
    cappa.Arg(long='--after', default=None, help='begin after this offset'),
]
RecordId: typing.TypeAlias = typing.Annotated[
    str,
    cappa.Arg(help='record id from an unclear answer'),
]
TABLES: typing.Final = ('instances', 'failure_domains', 'targets', 'limits')


@commands.commands.register('status')
async def status(
    admin: options.Admin,
    token_file: options.TokenFile,
    as_json: options.AsJson,
) -> int:
    """Shows the fleet as one instance knows it."""
    api = connections.connect(admin, token_file)
    answer = await api.call('status', {})
    if isinstance(answer, result.Err):
        return output.fail(answer.err_value, '', as_json=as_json)
    shown = answer.ok_value
    if as_json:
        output.write_json(shown)
        return statuses.ExitStatus.done
    output.write_line(headline(shown))
    for name in TABLES:
        output.write_table(name.replace('_', ' '), shown[name])
    return statuses.ExitStatus.done


@commands.commands.register('record')
async def record(
    record_id: RecordId,
    admin: options.Admin,
    token_file: options.TokenFile,
    as_json: options.AsJson,
) -> int:
    """Tells what became of a change whose answer was unclear."""
    api = connections.connect(admin, token_file)
    answer = await api.call('record_show', {'record_id': record_id})
    if isinstance(answer, result.Err):
        return output.fail(answer.err_value, '', as_json=as_json)
    verdict = answer.ok_value
    if as_json:
        output.write_json(verdict)
    else:
        output.write_line(f'{verdict["outcome"]} {verdict["reason"]}'.strip())
    return verdict_status(verdict)


@commands.commands.register('events')
async def events(
    admin: options.Admin,
    token_file: options.TokenFile,
    as_json: options.AsJson,
    after: After,
) -> int:
    """Prints records as they are folded, until it is ended."""
    api = connections.connect(admin, token_file)
    request = {} if after is None else {'after': after}
    async for line in api.follow(request):
        if isinstance(line, result.Err):
            return output.fail(line.err_value, '', as_json=as_json)
        output.write_line(
            line.ok_value if as_json else event_line(line.ok_value),
        )
    return statuses.ExitStatus.unreachable


def headline(shown: messages.Status) -> str:
    """Returns the first line of the status."""
    readiness = 'ready' if shown['ready'] else 'not ready'
    return (
        f'{shown["instance"]}: {readiness}, offset {shown["offset"]}, '
        f'knowledge {shown["age_ms"]} ms old, log {shown["log_case"]}, '
        f'rules revision {shown["revision"]} by {shown["revision_by"]}'
    )


def verdict_status(verdict: messages.RecordVerdict) -> statuses.ExitStatus:
    """Returns the exit status that a verdict amounts to."""
    if verdict['outcome'] == 'accepted':
        return statuses.ExitStatus.done
    if verdict['outcome'] == 'rejected':
        return statuses.ExitStatus.problem
    return statuses.ExitStatus.unclear


def event_line(raw: str) -> str:
    """Returns an event in words."""
    event = codec.decode_json(raw.encode(), messages.Event).unwrap()
    words = (
        f'{event["offset"]} {event["kind"]} {event["subject"]} '
        f'{event["outcome"]} {event["reason"]}'
    )
    return words.strip()
