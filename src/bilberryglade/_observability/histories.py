"""A request's life, from the lines of any number of instances.

Each finding is a registered function of the request's own line and of all
lines: it returns those that tell what decided the request.
"""

import datetime
import re
import typing
from collections import abc

import result

from bilberryglade._codec import codec
from bilberryglade._values import registry

#: Seconds around a request in which lines on its targets matter.
NEAR_SECONDS: typing.Final = 3.0
REQUEST_EVENT: typing.Final = 'request'
CONFIGURATION: typing.Final = re.compile(r'configuration (\d+) in force')
OWNED: typing.Final = re.compile(r'keys (\d+)-(\d+) of (\S+) to (\S+) fence')


class Line(typing.NamedTuple):
    """One structured line of an instance."""

    time: datetime.datetime
    instance: str
    event: str
    #: All other fields.
    fields: abc.Mapping[str, typing.Any]


Lines: typing.TypeAlias = abc.Sequence[Line]
Finder: typing.TypeAlias = abc.Callable[[Line, Lines], list[Line]]

findings: typing.Final = registry.Registry[Finder]('finding')


class Told(typing.NamedTuple):
    """A line that matters, and what it was looked up for."""

    finding: str
    line: Line


def parse(text: str) -> Line | None:
    """Returns the structured line in `text`, or None if it holds none.

    What stands before the first brace is left out: collectors add prefixes.
    """
    start = text.find('{')
    if start < 0:
        return None
    decoded = codec.decode_open_json(text[start:].encode())
    if isinstance(decoded, result.Err):
        return None
    fields = dict(decoded.ok_value)
    try:
        time = datetime.datetime.fromisoformat(fields.pop('time'))
        return Line(time, fields.pop('instance'), fields.pop('event'), fields)
    except (KeyError, TypeError, ValueError):
        return None


def explain(lines: Lines, request_id: str) -> list[Told]:
    """Returns what lines tell of a request, in the order of time."""
    ordered = sorted(lines, key=lambda line: line.time)
    told: list[Told] = []
    for line in ordered:
        if line.event != REQUEST_EVENT:
            continue
        if line.fields.get(REQUEST_EVENT) != request_id:
            continue
        told.append(Told(REQUEST_EVENT, line))
        for name, find in findings.entries.items():
            told.extend(Told(name, found) for found in find(line, ordered))
    return sorted(told, key=lambda one: one.line.time)


def began_at(line: Line) -> datetime.datetime:
    """Returns when the request of a line arrived."""
    took = datetime.timedelta(milliseconds=line.fields.get('ms', 0))
    return line.time - took


@findings.register('configuration')
def find_configuration(request: Line, lines: Lines) -> list[Line]:
    """Finds when the instance put the configuration in force that it used."""
    version = str(request.fields.get('configuration'))
    return _last(
        line
        for line in lines
        if line.instance == request.instance
        and (found := CONFIGURATION.match(line.event))
        and found[1] == version
    )


@findings.register('owner')
def find_owner(request: Line, lines: Lines) -> list[Line]:
    """Finds who was given the request's key last."""
    key = request.fields.get('key')
    service = request.fields.get('service')
    if key is None:
        return []
    return _last(
        line
        for line in lines
        if line.time <= request.time
        and (found := OWNED.match(line.event))
        and found[3] == service
        and int(found[1]) <= key <= int(found[2])
    )


@findings.register('target')
def find_targets(request: Line, lines: Lines) -> list[Line]:
    """Finds what happened at the request's targets around it."""
    names = request.fields.get('targets', ())
    return [
        line
        for line in lines
        if line.event != REQUEST_EVENT
        and any(name in line.event for name in names)
        and abs((line.time - request.time).total_seconds()) < NEAR_SECONDS
    ]


@findings.register('connection')
def find_connections(request: Line, lines: Lines) -> list[Line]:
    """Finds what came on its connections that belongs to another exchange."""
    sends = request.fields.get('sends', ())
    numbers = {send['connection'] for send in sends if send['connection']}
    return [
        line
        for line in lines
        if line.instance == request.instance
        and line.fields.get('connection') in numbers
        and abs((line.time - request.time).total_seconds()) < NEAR_SECONDS
    ]


@findings.register('at the same target')
def find_neighbours(request: Line, lines: Lines) -> list[Line]:
    """Finds the requests that its last target had beside it."""
    targets = request.fields.get('targets', ())
    if not targets:
        return []
    begin = began_at(request)
    at_target = (
        line
        for line in lines
        if line.event == REQUEST_EVENT
        and targets[-1] in line.fields.get('targets', ())
    )
    return [
        line
        for line in at_target
        if line is not request
        and line.time > begin
        and began_at(line) < request.time
    ]


@findings.register('dependency')
def find_dependencies(request: Line, lines: Lines) -> list[Line]:
    """Finds the instance's last word on its coordinator and on the store."""
    own = [
        line
        for line in lines
        if line.instance == request.instance and line.time <= request.time
    ]
    coordinator = (one for one in own if one.event.startswith('coordinator '))
    store = (one for one in own if one.event.startswith('store '))
    return [*_last(coordinator), *_last(store)]


def _last(lines: abc.Iterable[Line]) -> list[Line]:
    """Returns the last line, in a list that is empty if there is none."""
    return list(lines)[-1:]
