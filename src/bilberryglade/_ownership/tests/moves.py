"""The moves of the small world: each is one thing that may happen next."""

from bilberryglade._membership import endings
from bilberryglade._membership.tests import clusters
from bilberryglade._ownership import activation
from bilberryglade._ownership.tests import world as worlds


@worlds.moves.register('append')
def append(world: worlds.World, node: int) -> worlds.World | None:
    """The next record of the script takes effect; nobody has read it yet."""
    if node or not world.script:
        return None
    view = world.views[-1]
    record = worlds.appended(view, world.script[0])
    views = (*world.views, clusters.folded([record], view))
    return world._replace(views=views, script=world.script[1:])


@worlds.moves.register('tick')
def tick(world: worlds.World, node: int) -> worlds.World | None:
    """Time passes; targets stop work whose lease or deadline is over."""
    if node:
        return None
    now = world.now + 1
    runs = frozenset(run for run in world.runs if run.until > now)
    return world._replace(now=now, runs=runs)


@worlds.moves.register('read')
def read(world: worlds.World, node: int) -> worlds.World | None:
    """An instance reads the log to its end."""
    row = world.nodes[node]
    if row.held_back:
        return None
    newest = len(world.views) - 1
    known = row.endings
    if newest != row.view:
        changed_at = world.views[-1].ownership_changed_at
        known = endings.note_change(known, changed_at)
    row = row._replace(view=newest, fresh_at=world.now, endings=known)
    return worlds.updated(worlds.with_node(world, node, row), node)


@worlds.moves.register('ask')
def ask(world: worlds.World, node: int) -> worlds.World | None:
    """A heartbeat is answered; the answer is still under way."""
    other = 1 - node
    if world.nodes[node].held_back or world.nodes[other].held_back:
        return None
    view = world.views[world.nodes[other].view]
    sign = clusters.sign_of(view, worlds.NAMES[other], world.now)
    answers = list(world.answers)
    answers[node] = sign
    return world._replace(answers=tuple(answers))


@worlds.moves.register('hear')
def hear(world: worlds.World, node: int) -> worlds.World | None:
    """An answer to a heartbeat arrives."""
    sign = world.answers[node]
    if sign is None or world.nodes[node].held_back:
        return None
    answers = list(world.answers)
    answers[node] = None
    row = world.nodes[node]._replace(sign=sign)
    world = worlds.with_node(world, node, row)
    world = world._replace(answers=tuple(answers))
    return worlds.updated(world, node)


@worlds.moves.register('vote')
def vote(world: worlds.World, node: int) -> worlds.World | None:
    """A heartbeat is answered at once."""
    asked = ask(world, node)
    return asked and hear(asked, node)


@worlds.moves.register('serve')
def serve(world: worlds.World, node: int) -> worlds.World | None:
    """An instance grants and sends a request, if it may."""
    if world.nodes[node].held_back:
        return None
    world = worlds.updated(world, node)
    fence = worlds.fence_to_serve(world, node)
    return _sent(world, node, fence) if fence else None


@worlds.moves.register('pause')
def pause(world: worlds.World, node: int) -> worlds.World | None:
    """An instance is paused between its check and its send."""
    if world.nodes[node].held_back:
        return None
    world = worlds.updated(world, node)
    fence = worlds.fence_to_serve(world, node)
    if not fence:
        return None
    row = world.nodes[node]._replace(held_back=fence)
    return worlds.with_node(world, node, row)


@worlds.moves.register('resume')
def resume(world: worlds.World, node: int) -> worlds.World | None:
    """A paused instance wakes and sends what it had checked before."""
    row = world.nodes[node]
    if not row.held_back:
        return None
    fence = row.held_back
    row = row._replace(held_back=0)
    return _sent(worlds.with_node(world, node, row), node, fence)


@worlds.moves.register('renew')
def renew(world: worlds.World, node: int) -> worlds.World | None:
    """An instance extends the lease of work in flight in a slot it leaves."""
    row = world.nodes[node]
    leaving = row.holdings.leaving.get(worlds.SLOT)
    if leaving is None or row.held_back or world.now >= leaving.drain_until:
        return None
    lease = worlds.BOUNDS.lease
    grant = world.grants[node]
    if grant.fence > leaving.old_fence:
        return None
    runs = frozenset(
        run._replace(until=min(world.now + lease, run.deadline))
        if run.node == node
        else run
        for run in world.runs
    )
    world = worlds.granted(world, leaving.target, leaving.old_fence, lease)
    return world._replace(runs=runs)


@worlds.moves.register('finish')
def finish(world: worlds.World, node: int) -> worlds.World | None:
    """A target answers what an instance sent it."""
    runs = frozenset(run for run in world.runs if run.node != node)
    if runs == world.runs:
        return None
    return world._replace(runs=runs)


@worlds.moves.register('release')
def release(world: worlds.World, node: int) -> worlds.World | None:
    """An instance tells the other what it has released."""
    if world.nodes[node].held_back:
        return None
    world = worlds.updated(world, node)
    other = 1 - node
    row = world.nodes[other]
    merged = row.releases
    for subject, offset in world.nodes[node].releases.items():
        merged = merged.set(subject, offset)
    if merged == row.releases:
        return None
    return worlds.with_node(world, other, row._replace(releases=merged))


@worlds.moves.register('fence')
def fence_off(world: worlds.World, node: int) -> worlds.World | None:
    """An instance tells the earlier owner of a slot of the newer fence."""
    row = world.nodes[node]
    blocked = row.holdings.blocked
    if row.held_back or not blocked:
        return None
    told = row.fenced_off
    for target, changes in blocked.items():
        for change in changes:
            told |= {activation.slot_subject(*change)}
            if world.rules.tells_earlier_owner:
                world = worlds.granted(world, target, change.fence, 0)
    if told == row.fenced_off:
        return None
    row = row._replace(fenced_off=told)
    return worlds.updated(worlds.with_node(world, node, row), node)


def _sent(world: worlds.World, node: int, fence: int) -> worlds.World:
    lease = worlds.BOUNDS.lease
    world = worlds.granted(world, worlds.TARGETS[node], fence, lease)
    return worlds.started(world, node, fence)
