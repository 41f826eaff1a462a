"""A small world for exploring ownership: two instances, two targets, one slot.

The instances decide by the functions under test. Time goes in whole ticks;
whatever else happens is one of the registered moves, in any order. The world
itself sees only grants and runs.
"""

import typing
from collections import abc

import immutables

from bilberryglade._membership import authority, endings, signs
from bilberryglade._membership.tests import clusters
from bilberryglade._ownership import activation, holdings
from bilberryglade._state import folding, state
from bilberryglade._values import registry

NAMES: typing.Final = ('entry-a', 'entry-b')
TARGETS: typing.Final = ('target-a', 'target-b')
SLOT: typing.Final = activation.Slot('ledger', 0)
#: In ticks.
BOUNDS: typing.Final = authority.Bounds(
    authority=2,
    lease=1,
    request_limit=2,
    drift=0,
)


class Rules(typing.NamedTuple):
    """What the world has of each protection."""

    quorum: str = 'majority'
    #: Whether targets refuse fences lower than one that they have seen.
    targets_check_fences: bool = True
    #: Whether targets check grants at all.
    fenced: bool = True
    tells_earlier_owner: bool = True


class Grant(typing.NamedTuple):
    """The newest grant that a target took."""

    fence: int
    until: float


class Run(typing.NamedTuple):
    """A request that runs at a target, and the instance that waits for it."""

    node: int
    target: str
    fence: int
    #: Tick at which the target stops it by its lease or deadline.
    until: float
    deadline: float


class Node(typing.NamedTuple):
    """An instance."""

    view: int
    fresh_at: float
    sign: signs.Sign | None
    endings: endings.Endings
    holdings: holdings.Holdings
    releases: immutables.Map[activation.Release, int]
    fenced_off: frozenset[str] = frozenset()
    acted_until: float = 0
    granted_at: float = 0
    #: Fence of a send that was checked before a pause and comes after it.
    held_back: int = 0


class World(typing.NamedTuple):
    """Everything there is at one moment."""

    rules: Rules
    #: Records still to be appended.
    script: tuple[str, ...]
    now: float
    #: One state for each offset that matters, oldest first.
    views: tuple[state.ClusterState, ...]
    nodes: tuple[Node, ...]
    grants: tuple[Grant, ...]
    runs: frozenset[Run]
    #: Answers to heartbeats under way, by the node that asked.
    answers: tuple[signs.Sign | None, ...]

    def key(self) -> tuple[object, ...]:
        """Returns what tells this world from others of the same rules."""
        kept = (self.now, len(self.views), self.nodes, self.grants)
        return (*kept, self.runs, self.answers)


Move: typing.TypeAlias = abc.Callable[[World, int], World | None]

moves: typing.Final = registry.Registry[Move]('move')


def start(rules: Rules, script: tuple[str, ...]) -> World:
    """Returns a settled world in which entry-a serves the slot."""
    view = clusters.folded(
        [
            clusters.joined('entry-a', 'north'),
            clusters.joined('entry-b', 'south'),
            clusters.target('target-a', 'north', fenced=rules.fenced),
            clusters.target('target-b', 'south', fenced=rules.fenced),
        ],
    )
    view = clusters.folded([clusters.assigned(view, 'target-a')], view)
    view = clusters.folded([clusters.settled(view, 'north', 'south')], view)
    empty: immutables.Map[activation.Release, int] = immutables.Map()
    node = Node(
        view=0,
        fresh_at=0,
        sign=None,
        endings=endings.Endings(authority.GROUP_OF_ALL),
        holdings=holdings.Holdings(),
        releases=empty,
    )
    world = World(
        rules=rules,
        script=script,
        now=0,
        views=(view,),
        nodes=(node, node),
        grants=(Grant(0, 0), Grant(0, 0)),
        runs=frozenset(),
        answers=(None, None),
    )
    return updated(updated(world, 0), 1)


def situation_of(world: World, node: int) -> activation.Inputs:
    """Returns the situation of an instance."""
    row = world.nodes[node]
    heard = {} if row.sign is None else {row.sign.instance: row.sign}
    facts = authority.Facts(
        view=world.views[row.view],
        instance=NAMES[node],
        boot=f'boot-of-{NAMES[node]}',
        fresh_at=row.fresh_at,
        signs=heard,
        bounds=BOUNDS,
    )
    knowledge = activation.HandoverState(
        {authority.GROUP_OF_ALL: row.endings},
        row.releases,
        row.fenced_off,
    )
    return activation.Inputs(facts, knowledge, world.now)


def with_node(world: World, node: int, row: Node) -> World:
    """Returns the world with one instance replaced."""
    nodes = list(world.nodes)
    nodes[node] = row
    return world._replace(nodes=tuple(nodes))


def updated(world: World, node: int) -> World:
    """Returns the world after an instance has taken in what it knows."""
    row = world.nodes[node]
    facts = situation_of(world, node).facts
    row = row._replace(
        endings=endings.advance(row.endings, facts, world.now),
    )
    world = with_node(world, node, row)
    situation = situation_of(world, node)
    target = TARGETS[node]
    held = holdings.compute_holdings(
        situation,
        row.holdings,
        {target: row.acted_until},
    )
    acted_until = authority.authority_until(
        facts,
        authority.GROUP_OF_ALL,
        world.rules.quorum,
    )
    row = row._replace(holdings=held, acted_until=acted_until)
    return vacated(with_node(world, node, row), node)


def vacated(world: World, node: int) -> World:
    """Returns the world after an instance released a slot it has left."""
    row = world.nodes[node]
    leaving = row.holdings.leaving.get(SLOT)
    if leaving is None or any(run.node == node for run in world.runs):
        return world
    if world.rules.fenced:
        world = granted(world, leaving.target, leaving.fence, 0)
    member = authority.own_member(situation_of(world, node).facts)
    if member is None:
        return world
    subject = activation.slot_subject(SLOT, leaving.fence)
    release = activation.Release(member.joined_at, subject)
    offset = world.views[row.view].offset
    return with_node(
        world,
        node,
        row._replace(releases=row.releases.set(release, offset)),
    )


def fence_to_serve(world: World, node: int) -> int:
    """Returns the fence under which an instance may serve now, or 0."""
    row = world.nodes[node]
    target = TARGETS[node]
    holding = row.holdings.held.get(SLOT)
    if holding is None or holding.target != target:
        return 0
    if target not in row.holdings.active or world.now >= row.acted_until:
        return 0
    return holding.fence


def granted(world: World, target: str, fence: int, lease: float) -> World:
    """Returns the world after a grant reached a target."""
    place = TARGETS.index(target)
    known = world.grants[place]
    if fence < known.fence and world.rules.targets_check_fences:
        return world
    grants = list(world.grants)
    grants[place] = Grant(fence, world.now + lease)
    return world._replace(grants=tuple(grants))


def started(world: World, node: int, fence: int) -> World:
    """Returns the world after a request reached the target of an instance."""
    target = TARGETS[node]
    grant = world.grants[node]
    is_valid = grant.fence == fence and world.now < grant.until
    if world.rules.fenced and not is_valid:
        return world
    deadline = world.now + BOUNDS.request_limit
    until = min(grant.until, deadline) if world.rules.fenced else deadline
    run = Run(node, target, fence, until, deadline)
    return world._replace(runs=world.runs | {run})


def two_owners(world: World) -> bool:
    """Tells whether the slot runs at two targets at this moment."""
    return len({run.target for run in world.runs}) > 1


def appended(view: state.ClusterState, name: str) -> folding.Record:
    """Returns the record that a step of a script stands for."""
    if name == 'lose entry-a':
        return clusters.left(view, 'entry-a')
    return clusters.assigned(view, name.removeprefix('move to '))
