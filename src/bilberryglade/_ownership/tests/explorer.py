"""Explores every order of moves up to a depth."""

import typing
from collections import abc

from bilberryglade._ownership.tests import moves, world as worlds

#: Modules whose import registers the moves.
MOVES: typing.Final = moves


class Exploration(typing.NamedTuple):
    """How far an exploration went, and what it found."""

    states: int
    depth: int
    #: Moves that lead to two owners; empty if none do.
    violation: tuple[str, ...]


class Path(typing.NamedTuple):
    """A world and the moves that lead to it."""

    world: worlds.World
    moves: tuple[str, ...]


def explore(begin: worlds.World, depth: int) -> Exploration:
    """Visits every world within `depth` moves; stops at a violation."""
    seen = {begin.key()}
    layer = [Path(begin, ())]
    for level in range(depth):
        following = [after for path in layer for after in _after(path)]
        broken = _first_broken(following)
        if broken is not None:
            return Exploration(len(seen), level + 1, broken.moves)
        layer = []
        for path in following:
            key = path.world.key()
            if key not in seen:
                seen.add(key)
                layer.append(path)
    return Exploration(len(seen), depth, ())


def walked(begin: worlds.World, steps: abc.Iterable[str]) -> worlds.World:
    """Returns the world after the named moves, such as `read entry-a`."""
    world = begin
    for step in steps:
        name, instance = step.split()
        node = worlds.NAMES.index(instance)
        moved = worlds.moves.entries[name](world, node)
        if moved is None:
            raise AssertionError(f'{step} is not possible')
        world = moved
    return world


def _first_broken(paths: list[Path]) -> Path | None:
    broken = (path for path in paths if worlds.two_owners(path.world))
    return next(broken, None)


def _after(path: Path) -> abc.Iterator[Path]:
    for name, move in worlds.moves.entries.items():
        for node, instance in enumerate(worlds.NAMES):
            moved = move(path.world, node)
            if moved is not None:
                yield Path(moved, (*path.moves, f'{name} {instance}'))
