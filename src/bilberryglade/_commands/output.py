"""Prints answers and failures: tables for people, JSON for programs."""

import sys
import typing
from collections import abc

from rich import console, table as tables, text as texts

from bilberryglade._codec import codec
from bilberryglade._commands import connections, statuses
from bilberryglade_schema import admin

UNAUTHORIZED_STATUS: typing.Final = 401
BAD_REQUEST_STATUS: typing.Final = 400
SERVER_STATUS: typing.Final = 500

Row: typing.TypeAlias = abc.Mapping[str, typing.Any]


def write_json(message: object) -> None:
    """Prints `message` as one line of JSON."""
    write_line(codec.encode_json(message).decode())


def write_line(line: str) -> None:
    """Prints one line."""
    sys.stdout.write(f'{line}\n')


def write_error(line: str) -> None:
    """Prints one line on the error stream."""
    sys.stderr.write(f'{line}\n')


def write_table(title: str, rows: abc.Sequence[Row]) -> None:
    """Prints `rows` as a table; the fields of the first give the columns."""
    if not rows:
        write_line(f'{title}: none')
        return
    table = tables.Table(title=title, title_justify='left')
    for column in rows[0]:
        table.add_column(column.replace('_', ' '), overflow='fold')
    for row in rows:
        table.add_row(*_cells(row))
    console.Console().print(table)


def words_of(field: object) -> str:
    """Returns a field of a message in words."""
    if isinstance(field, bool):
        return 'yes' if field else 'no'
    return '-' if field in {-1, ''} else str(field)


def write_entries(source: str, entries: abc.Iterable[admin.ErrorEntry]) -> None:
    """Prints errors with file, line, what is wrong and what is allowed."""
    for entry in entries:
        write_error(entry_line(source, entry))


def entry_line(source: str, entry: admin.ErrorEntry) -> str:
    """Returns an error as `file:line:column: problem; allowed: ...`."""
    place = [source] if source else []
    numbers = (entry['line'], entry['column'])
    place.extend(str(number) for number in numbers if number)
    if not entry['line'] and entry['path']:
        place.append(entry['path'])
    where = ':'.join(place)
    problem = entry['problem']
    allowed = entry['allowed']
    prefix = f'{where}: ' if where else ''
    return f'{prefix}{problem}; allowed: {allowed}'


def committed(answer: admin.Committed, done: str, *, as_json: bool) -> int:
    """Prints that a change is in force; returns the exit status."""
    if as_json:
        write_json(answer)
    else:
        write_line(f'{done} (offset {answer["offset"]})')
    return statuses.ExitStatus.done


def fail(
    failure: connections.CallFailure,
    source: str,
    *,
    as_json: bool,
) -> int:
    """Prints why an operation was not done; returns the exit status."""
    if isinstance(failure, connections.Unreachable):
        _write_failure({'outcome': 'not_done', **failure._asdict()}, as_json)
        return statuses.ExitStatus.unreachable
    if isinstance(failure, connections.NoAnswer):
        _write_failure({'outcome': 'unclear', **failure._asdict()}, as_json)
        return statuses.ExitStatus.unclear
    if as_json:
        write_json(failure)
    else:
        _write_problem(failure, source)
    return status_of(failure)


def status_of(problem: admin.Problem) -> statuses.ExitStatus:
    """Returns the exit status that a problem document amounts to."""
    if problem['outcome'] == 'unclear':
        return statuses.ExitStatus.unclear
    if problem['status'] == UNAUTHORIZED_STATUS:
        return statuses.ExitStatus.usage
    if problem['status'] >= SERVER_STATUS:
        return statuses.ExitStatus.unreachable
    return statuses.ExitStatus.problem


def _write_failure(failure: Row, as_json: bool) -> None:
    if as_json:
        write_json(failure)
        return
    outcome = failure['outcome'].replace('_', ' ')
    detail = failure['detail']
    write_error(f'{outcome}: {detail}')
    key = failure.get('idempotency_key')
    if key:
        write_error(f'ask again with --idempotency-key {key}')


def _write_problem(problem: admin.Problem, source: str) -> None:
    outcome = problem['outcome'].replace('_', ' ')
    write_error(f'{outcome}: {problem["detail"]}')
    if problem['errors'] and source:
        write_entries(source, problem['errors'])
    if problem['outcome'] == 'unclear':
        write_error(f'ask again: bilberryglade record {problem["record_id"]}')
    race = problem.get('race')
    if race is not None:
        _write_race(race)


def _write_race(race: admin.Race) -> None:
    write_error(
        f'revision {race["winner"]} by {race["winner_by"]} was first:',
    )
    write_error(race['winner_diff'] or '(the same text)')
    write_error('your change:')
    write_error(race['own_diff'] or '(the same text)')


def _cells(row: Row) -> list[texts.Text]:
    return [texts.Text(words_of(field)) for field in row.values()]
