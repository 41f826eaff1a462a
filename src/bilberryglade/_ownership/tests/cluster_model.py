"""A model of a cluster with two instances, two targets and one slot.

The exploration tests use it. The instances decide by the functions under test.
Time passes in whole ticks; everything else that happens is one of the
registered moves, in any order. Violations are found by the running requests
alone, not by what the instances hold.
"""

import typing
from collections import abc

import immutables

from bilberryglade._membership import authority, endings, signs
from bilberryglade._membership.tests import clusters
from bilberryglade._ownership import activation, holdings
from bilberryglade._state import folding, state
from bilberryglade._values import registry

INSTANCE_NAMES: typing.Final = ('entry-a', 'entry-b')
TARGETS: typing.Final = ('target-a', 'target-b')
SLOT: typing.Final = activation.Slot('ledger', 0)
#: Durations of the model, in ticks instead of seconds.
BOUNDS: typing.Final = authority.Bounds(
    authority=2,
    lease=1,
    request_limit=2,
    drift=0,
)


class Protections(typing.NamedTuple):
    """Which protections against two owners a model has."""

    #: Name of a registered quorum rule.
    quorum_rule: str = 'majority'
    #: Whether targets refuse fences lower than one that they have seen.
    targets_check_fences: bool = True
    #: Whether targets check grants at all.
    fenced: bool = True
    #: Whether an earlier owner can be reached with a newer fence.
    fences_off_earlier_owner: bool = True


class Grant(typing.NamedTuple):
    """The newest grant that a target accepted."""

    fence: int
    #: Tick at which the lease ends.
    until: float


class RunningRequest(typing.NamedTuple):
    """A request that runs at a target, sent by an instance."""

    #: Index of the instance that waits for the answer.
    sender: int
    target: str
    fence: int
    #: Tick at which the target stops it by its lease or deadline.
    until: float
    #: Tick after which no lease extends the request.
    deadline: float


class InstanceState(typing.NamedTuple):
    """The state of one instance in the cluster model."""

    #: Index in `ClusterModel.views` of the state that it has folded.
    view_index: int
    #: Tick of its newest read of the log.
    fresh_at: float
    sign: signs.Sign | None
    endings: endings.Endings
    holdings: holdings.Holdings
    releases: immutables.Map[activation.Release, int]
    fenced_off: frozenset[str] = frozenset()
    #: Tick at which its authority ends.
    authority_ends_at: float = 0
    granted_at: float = 0
    #: Fence of a request that is checked, but sent only after a pause; or 0.
    delayed_fence: int = 0


class ClusterModel(typing.NamedTuple):
    """The complete state of the modelled cluster after a number of moves."""

    protections: Protections
    #: Steps whose records are still to be appended, such as `lose entry-a`.
    script: tuple[str, ...]
    #: Current tick.
    now: float
    #: Cluster states after the appended records, oldest first.
    views: tuple[state.ClusterState, ...]
    instances: tuple[InstanceState, ...]
    #: Newest grant of each target.
    grants: tuple[Grant, ...]
    requests: frozenset[RunningRequest]
    #: Heartbeat answers in transit, by index of the instance that asked.
    heartbeat_answers: tuple[signs.Sign | None, ...]

    def key(self) -> tuple[object, ...]:
        """Returns a key that is equal for equal states of one exploration."""
        fields = (self.now, len(self.views), self.instances, self.grants)
        return (*fields, self.requests, self.heartbeat_answers)


Move: typing.TypeAlias = abc.Callable[[ClusterModel, int], ClusterModel | None]

moves: typing.Final = registry.Registry[Move]('move')


def initial_model(
    protections: Protections, script: tuple[str, ...]
) -> ClusterModel:
    """Returns a model in which entry-a owns the slot and may serve it."""
    view = clusters.folded(
        [
            clusters.joined('entry-a', 'north'),
            clusters.joined('entry-b', 'south'),
            clusters.target('target-a', 'north', fenced=protections.fenced),
            clusters.target('target-b', 'south', fenced=protections.fenced),
        ],
    )
    view = clusters.folded([clusters.assigned(view, 'target-a')], view)
    view = clusters.folded([clusters.settled(view, 'north', 'south')], view)
    no_releases: immutables.Map[activation.Release, int] = immutables.Map()
    instance = InstanceState(
        view_index=0,
        fresh_at=0,
        sign=None,
        endings=endings.Endings(authority.GROUP_OF_ALL),
        holdings=holdings.Holdings(),
        releases=no_releases,
    )
    model = ClusterModel(
        protections=protections,
        script=script,
        now=0,
        views=(view,),
        instances=(instance, instance),
        grants=(Grant(0, 0), Grant(0, 0)),
        requests=frozenset(),
        heartbeat_answers=(None, None),
    )
    return with_updated_holdings(with_updated_holdings(model, 0), 1)


def inputs_of(model: ClusterModel, index: int) -> activation.Inputs:
    """Returns the inputs of the decisions of the instance at `index`."""
    instance = model.instances[index]
    signs_by_instance = (
        {} if instance.sign is None else {instance.sign.instance: instance.sign}
    )
    facts = authority.Facts(
        view=model.views[instance.view_index],
        instance=INSTANCE_NAMES[index],
        boot=f'boot-of-{INSTANCE_NAMES[index]}',
        fresh_at=instance.fresh_at,
        signs=signs_by_instance,
        bounds=BOUNDS,
    )
    handover = activation.HandoverState(
        {authority.GROUP_OF_ALL: instance.endings},
        instance.releases,
        instance.fenced_off,
    )
    return activation.Inputs(facts, handover, model.now)


def with_instance(
    model: ClusterModel, index: int, instance: InstanceState
) -> ClusterModel:
    """Returns the model with the instance at `index` replaced."""
    instances = list(model.instances)
    instances[index] = instance
    return model._replace(instances=tuple(instances))


def with_updated_holdings(model: ClusterModel, index: int) -> ClusterModel:
    """Returns the model after an instance has recomputed its holdings."""
    instance = model.instances[index]
    facts = inputs_of(model, index).facts
    instance = instance._replace(
        endings=endings.advance(instance.endings, facts, model.now),
    )
    model = with_instance(model, index, instance)
    inputs = inputs_of(model, index)
    target = TARGETS[index]
    new_holdings = holdings.compute_holdings(
        inputs,
        instance.holdings,
        {target: instance.authority_ends_at},
    )
    authority_ends_at = authority.authority_until(
        facts,
        authority.GROUP_OF_ALL,
        model.protections.quorum_rule,
    )
    instance = instance._replace(
        holdings=new_holdings, authority_ends_at=authority_ends_at
    )
    return with_own_release(with_instance(model, index, instance), index)


def with_own_release(model: ClusterModel, index: int) -> ClusterModel:
    """Returns the model after an instance has released a slot that it leaves.

    It does so once none of its requests runs any more.
    """
    instance = model.instances[index]
    leaving = instance.holdings.leaving.get(SLOT)
    if leaving is None or any(
        request.sender == index for request in model.requests
    ):
        return model
    if model.protections.fenced:
        model = with_grant(model, leaving.target, leaving.fence, 0)
    member = authority.own_member(inputs_of(model, index).facts)
    if member is None:
        return model
    subject = activation.slot_subject(SLOT, leaving.fence)
    release = activation.Release(member.joined_at, subject)
    offset = model.views[instance.view_index].offset
    return with_instance(
        model,
        index,
        instance._replace(releases=instance.releases.set(release, offset)),
    )


def fence_to_serve(model: ClusterModel, index: int) -> int:
    """Returns the fence under which an instance may serve the slot, or 0."""
    instance = model.instances[index]
    target = TARGETS[index]
    held_slot = instance.holdings.held.get(SLOT)
    if held_slot is None or held_slot.target != target:
        return 0
    if (
        target not in instance.holdings.active
        or model.now >= instance.authority_ends_at
    ):
        return 0
    return held_slot.fence


def with_grant(
    model: ClusterModel, target: str, fence: int, lease: float
) -> ClusterModel:
    """Returns the model after a grant has arrived at a target."""
    index = TARGETS.index(target)
    current = model.grants[index]
    if fence < current.fence and model.protections.targets_check_fences:
        return model
    grants = list(model.grants)
    grants[index] = Grant(fence, model.now + lease)
    return model._replace(grants=tuple(grants))


def with_request(model: ClusterModel, index: int, fence: int) -> ClusterModel:
    """Returns the model after a request has arrived at an instance's target."""
    target = TARGETS[index]
    grant = model.grants[index]
    is_valid = grant.fence == fence and model.now < grant.until
    if model.protections.fenced and not is_valid:
        return model
    deadline = model.now + BOUNDS.request_limit
    until = min(grant.until, deadline) if model.protections.fenced else deadline
    request = RunningRequest(index, target, fence, until, deadline)
    return model._replace(requests=model.requests | {request})


def has_two_owners(model: ClusterModel) -> bool:
    """Returns whether requests of the slot run at two targets at once."""
    return len({request.target for request in model.requests}) > 1


def next_record(view: state.ClusterState, step: str) -> folding.Record:
    """Returns the record for a step of a script, such as `move to target-b`."""
    if step == 'lose entry-a':
        return clusters.left(view, 'entry-a')
    return clusters.assigned(view, step.removeprefix('move to '))
