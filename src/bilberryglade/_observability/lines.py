"""Log lines by `loguru`: one a change of state, as text or JSON."""

import sys
import typing

import loguru

from bilberryglade._codec import codec
from bilberryglade._observability import changes
from bilberryglade._state import state
from bilberryglade_schema import settings

Write: typing.TypeAlias = typing.Callable[[str], typing.Any]
Record: typing.TypeAlias = typing.Any


def configure(logs: settings.LogSettings, write: Write | None = None) -> None:
    """Sends all lines to the error stream, or to `write`.

    Values of variables are never printed with an exception.
    """
    chosen = write or sys.stderr.write
    wording = FORMATS[logs['format']]

    def sink(message: Record) -> None:  # noqa: WPS430
        chosen(wording(message.record))

    loguru.logger.remove()
    loguru.logger.add(
        sink,
        level=logs['level'],
        format='{message}',
        backtrace=False,
        diagnose=False,
    )


def line_in_text(record: Record) -> str:
    """Returns a line for people."""
    moment = record['time'].isoformat(timespec='milliseconds')
    fields = ' '.join(
        f'{name}={field}' for name, field in record['extra'].items()
    )
    level = record['level'].name
    event = record['message']
    return f'{moment} {level} {event} {fields}\n'


def line_in_json(record: Record) -> str:
    """Returns a line for programs: one JSON object."""
    fields = {
        'time': record['time'].isoformat(timespec='milliseconds'),
        'level': record['level'].name,
        'event': record['message'],
        **record['extra'],
    }
    return f'{codec.encode_json(fields).decode()}\n'


FORMATS: typing.Final = {  # noqa: WPS407
    'text': line_in_text,
    'json': line_in_json,
}


class ChangeLog:
    """Writes a line for each change of state of one instance."""

    def __init__(self, instance: str) -> None:
        """Writes as `instance`."""
        self.logger = loguru.logger.bind(instance=instance)
        self.instance = instance
        self.view = state.ClusterState()
        self.log_case = ''

    def take_view(self, view: state.ClusterState) -> None:
        """Writes what changed since the view taken before."""
        views = changes.Views(self.instance, self.view, view)
        self.view = view
        for change in changes.find(views):
            self.write(change)

    def take_log_case(self, log_case: str) -> None:
        """Writes a line if the log came into another case."""
        if log_case == self.log_case:
            return
        fields = {'before': self.log_case, 'now': log_case}
        self.log_case = log_case
        self.write(changes.Change('log case', fields))

    def write(self, change: changes.Change) -> None:
        """Writes one change."""
        self.logger.bind(**change.fields).info(change.event)
