"""Operations on the rules file: check, show, diff, publish."""

import difflib
import typing

import result

from bilberryglade._log import follower
from bilberryglade._operations import commits, failures, operations
from bilberryglade._rules import reader, rules
from bilberryglade._state import folding, state
from bilberryglade_schema import admin

READ_SECONDS: typing.Final = 2.0


@operations.operation_for(
    'rules_check',
    'POST /rules/check',
    admin.CheckRules,
    admin.RulesChecked,
)
async def check_rules(
    context: operations.Context,
    call: operations.Call,
) -> operations.Outcome:
    """Checks a rules file; nothing changes."""
    book = reader.read_rules(call.request['text'])
    if isinstance(book, result.Err):
        return result.Ok({'errors': entries_of(book.err_value), 'rules': 0})
    return result.Ok({'errors': [], 'rules': _count(book.ok_value)})


@operations.operation_for(
    'rules_show',
    'GET /rules',
    admin.NoParameters,
    admin.RulesShown,
)
async def show_rules(
    context: operations.Context,
    call: operations.Call,
) -> operations.Outcome:
    """Returns the rules in force with their revision and author."""
    current = context.reader.view.rules
    return result.Ok(
        {
            'revision': current.revision,
            'by': current.by,
            'text': current.text,
        },
    )


@operations.operation_for(
    'rules_diff',
    'POST /rules/diff',
    admin.CheckRules,
    admin.RulesCompared,
)
async def diff_rules(
    context: operations.Context,
    call: operations.Call,
) -> operations.Outcome:
    """Compares a rules file with the rules in force."""
    current = context.reader.view.rules
    diff = difference(
        current.text,
        call.request['text'],
        f'revision {current.revision}',
        'file',
    )
    return result.Ok({'revision': current.revision, 'diff': diff})


@operations.operation_for(
    'rules_publish',
    'PUT /rules',
    admin.PublishRules,
    admin.Committed,
    changes=True,
)
async def publish_rules(
    context: operations.Context,
    call: operations.Call,
) -> operations.Outcome:
    """Publishes a rules file if its base is still the revision in force."""
    request = call.request
    book = reader.read_rules(request['text'])
    if isinstance(book, result.Err):
        return result.Err(
            failures.Failure(
                failures.FailureKind.invalid,
                'the rules file has errors; nothing was published',
                errors=tuple(entries_of(book.err_value)),
            ),
        )
    committed = await commits.commit(
        context,
        {
            'id': call.record_id,
            'kind': 'rules_published',
            'by': request['by'],
            'based_on': request['based_on'],
            'text': request['text'],
        },
    )
    if isinstance(committed, result.Ok):
        return committed
    failure = committed.err_value
    if not failure.winner:
        return committed
    race = await _race(context, request)
    return result.Err(failure._replace(race=race))


def entries_of(errors: tuple[rules.RuleError, ...]) -> list[admin.ErrorEntry]:
    """Returns the errors of a rules file as messages."""
    return [
        {
            'path': 'text',
            'line': error.line,
            'column': error.column,
            'problem': error.problem,
            'allowed': error.allowed,
        }
        for error in errors
    ]


def difference(old: str, new: str, old_name: str, new_name: str) -> str:
    """Returns a unified diff, empty if the texts are equal."""
    lines = difflib.unified_diff(
        old.splitlines(),
        new.splitlines(),
        old_name,
        new_name,
        lineterm='',
    )
    return '\n'.join(lines)


def race_of(
    base: str,
    winner: state.RulesRevision,
    own: str,
    based_on: int,
) -> admin.Race:
    """Returns both sides of a lost race."""
    base_name = f'revision {based_on}'
    winner_name = f'revision {winner.revision}'
    return {
        'winner': winner.revision,
        'winner_by': winner.by,
        'winner_diff': difference(base, winner.text, base_name, winner_name),
        'own_diff': difference(base, own, base_name, 'file'),
    }


async def _race(
    context: operations.Context,
    request: admin.PublishRules,
) -> admin.Race:
    base = await _base_text(context, request['based_on'])
    winner = context.reader.view.rules
    return race_of(base, winner, request['text'], request['based_on'])


async def _base_text(context: operations.Context, revision: int) -> str:
    if not revision:
        return ''
    answer = await context.log.read(
        follower.CONTROL_STREAM,
        revision,
        0,
        READ_SECONDS,
    )
    if isinstance(answer, result.Err):
        return ''
    for stored in answer.ok_value['records']:
        if stored['offset'] == revision:
            return _text_of(stored['record'])
    return ''


def _text_of(record: folding.Record) -> str:
    return str(record.get('text', ''))


def _count(book: rules.RuleBook) -> int:
    return sum(len(group) for group in book)
