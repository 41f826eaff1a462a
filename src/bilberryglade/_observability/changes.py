"""Changes of state that are worth a log line, found between two views."""

import typing
from collections import abc

from bilberryglade._observability import readings
from bilberryglade._state import state
from bilberryglade._values import registry


class Change(typing.NamedTuple):
    """One change of state: an event and its fields, none of them secret."""

    event: str
    fields: abc.Mapping[str, object]


class Views(typing.NamedTuple):
    """The state before and after a step, as `instance` sees it."""

    instance: str
    before: state.ClusterState
    after: state.ClusterState


Changes: typing.TypeAlias = abc.Iterator[Change]
Finder: typing.TypeAlias = abc.Callable[[Views], Changes]

finders: typing.Final = registry.Registry[Finder]('change of state')


def find(views: Views) -> list[Change]:
    """Returns every change that the registered finders see."""
    return [
        change
        for finder in finders.entries.values()
        for change in finder(views)
    ]


@finders.register('rules')
def find_rules(views: Views) -> Changes:
    """A revision of the rules came into force."""
    revision = views.after.rules
    if revision.revision == views.before.rules.revision:
        return
    fields = {'revision': revision.revision, 'by': revision.by}
    yield Change('rules revision in force', fields)


@finders.register('members')
def find_members(views: Views) -> Changes:
    """Instances joined or left."""
    before = views.before.members
    after = views.after.members
    if before is after:
        return
    for name, member in after.items():
        if before.get(name) != member:
            fields = {'name': name, 'failure_domain': member.failure_domain}
            yield Change('instance joined', fields)
    for name in before:
        if name not in after:
            yield Change('instance left', {'name': name})


@finders.register('failure_domains')
def find_domains(views: Views) -> Changes:
    """Operators took a failure domain out or restored it."""
    before = views.before.failure_domains
    after = views.after.failure_domains
    if before is after:
        return
    for name, domain in after.items():
        known = before.get(name)
        if known is not None and known.in_service == domain.in_service:
            continue
        fields = {'failure_domain': name, 'in_service': domain.in_service}
        yield Change('failure domain', fields)


@finders.register('targets')
def find_targets(views: Views) -> Changes:
    """A target was registered or changed its state."""
    before = views.before.targets
    after = views.after.targets
    if before is after:
        return
    for name, target in after.items():
        known = before.get(name)
        if known is None or known.state != target.state:
            fields = {'target': name, 'state': target.state}
            yield Change('target state', fields)


@finders.register('leaders')
def find_leaders(views: Views) -> Changes:
    """This instance began or ceased to lead a target."""
    if views.before.topology_changed_at == views.after.topology_changed_at:
        return
    before = readings.led_targets(views.before, views.instance)
    after = readings.led_targets(views.after, views.instance)
    for gained in sorted(after - before):
        yield Change('leader gained', {'target': gained})
    for lost in sorted(before - after):
        yield Change('leader lost', {'target': lost})


@finders.register('api_keys')
def find_keys(views: Views) -> Changes:
    """An API key was withdrawn; neither secret nor digest is told."""
    before = views.before.api_keys
    after = views.after.api_keys
    if before is after:
        return
    for digest, api_key in after.items():
        known = before.get(digest)
        if api_key.withdrawn and known is not None and not known.withdrawn:
            yield Change('API key withdrawn', {'key_id': api_key.key_id})
