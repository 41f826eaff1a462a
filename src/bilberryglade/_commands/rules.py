"""Commands `rules check`, `rules show`, `rules diff` and `rules publish`."""

import pathlib
import typing

import cappa
import result

from bilberryglade._commands import (
    commands,
    connections,
    options,
    output,
    statuses,
)
from bilberryglade._operations import rules as operations
from bilberryglade._rules import reader

BasedOn: typing.TypeAlias = typing.Annotated[
    int | None,
    cappa.Arg(
        long='--based-on',
        default=None,
        help='revision that the file was made from; by default that in force',
    ),
]


@commands.commands.register('rules check')
async def check(path: options.RulesFile, as_json: options.AsJson) -> int:
    """Checks a rules file on this machine; nothing is sent."""
    text = read_text(path)
    if text is None:
        return statuses.ExitStatus.usage
    book = reader.read_rules(text)
    errors = book.err_value if isinstance(book, result.Err) else ()
    entries = operations.entries_of(errors)
    if as_json:
        output.write_json({'errors': entries})
    else:
        output.write_entries(str(path), entries)
    if entries:
        return statuses.ExitStatus.problem
    if not as_json:
        output.write_line(f'{path}: no errors')
    return statuses.ExitStatus.done


@commands.commands.register('rules show')
async def show(
    admin: options.Admin,
    token_file: options.TokenFile,
    as_json: options.AsJson,
) -> int:
    """Shows the rules in force."""
    api = connections.connect(admin, token_file)
    answer = await api.call('rules_show', {})
    if isinstance(answer, result.Err):
        return output.fail(answer.err_value, '', as_json=as_json)
    shown = answer.ok_value
    if as_json:
        output.write_json(shown)
        return statuses.ExitStatus.done
    output.write_line(f'# revision {shown["revision"]} by {shown["by"]}')
    output.write_line(shown['text'].strip('\n'))
    return statuses.ExitStatus.done


@commands.commands.register('rules diff')
async def diff(
    path: options.RulesFile,
    admin: options.Admin,
    token_file: options.TokenFile,
    as_json: options.AsJson,
) -> int:
    """Compares a rules file with the rules in force."""
    text = read_text(path)
    if text is None:
        return statuses.ExitStatus.usage
    api = connections.connect(admin, token_file)
    answer = await api.call('rules_diff', {'text': text})
    if isinstance(answer, result.Err):
        return output.fail(answer.err_value, str(path), as_json=as_json)
    if as_json:
        output.write_json(answer.ok_value)
    else:
        output.write_line(answer.ok_value['diff'] or 'no difference')
    return statuses.ExitStatus.done


@commands.commands.register('rules publish')
async def publish(  # noqa: WPS211
    path: options.RulesFile,
    admin: options.Admin,
    token_file: options.TokenFile,
    as_json: options.AsJson,
    by: options.Author,
    based_on: BasedOn,
    idempotency_key: options.IdempotencyKey,
) -> int:
    """Publishes a rules file, unless another revision came first."""
    text = read_text(path)
    if text is None:
        return statuses.ExitStatus.usage
    api = connections.connect(admin, token_file)
    if based_on is None:
        shown = await api.call('rules_show', {})
        if isinstance(shown, result.Err):
            return output.fail(shown.err_value, str(path), as_json=as_json)
        based_on = shown.ok_value['revision']
    answer = await api.call(
        'rules_publish',
        {'based_on': based_on, 'by': by, 'text': text},
        idempotency_key,
    )
    if isinstance(answer, result.Err):
        return output.fail(answer.err_value, str(path), as_json=as_json)
    return output.committed(
        answer.ok_value,
        f'revision {answer.ok_value["offset"]} is in force',
        as_json=as_json,
    )


def read_text(path: pathlib.Path) -> str | None:
    """Returns the text of a file, or prints why it can't be read."""
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        output.write_error(f'{path}: {error}')
        return None
