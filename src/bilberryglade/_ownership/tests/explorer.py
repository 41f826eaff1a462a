"""Explores every order of moves of the cluster model, up to a depth."""

import typing
from collections import abc

from bilberryglade._ownership.tests import cluster_model, moves

#: Modules whose import registers the moves.
MOVES: typing.Final = moves


class Exploration(typing.NamedTuple):
    """The extent and the finding of an exploration."""

    #: Different states of the model that were visited.
    states: int
    #: Greatest number of moves in a row.
    depth: int
    #: Moves after which the slot has two owners; empty if there are none.
    violation: tuple[str, ...]


class Path(typing.NamedTuple):
    """A state of the model and the moves that lead to it."""

    model: cluster_model.ClusterModel
    moves: tuple[str, ...]


def explore(start: cluster_model.ClusterModel, depth: int) -> Exploration:
    """Visits every state within `depth` moves of `start`.

    Stops at the first state in which the slot has two owners.
    """
    visited = {start.key()}
    frontier = [Path(start, ())]
    for level in range(depth):
        successors = [
            successor for path in frontier for successor in _successors(path)
        ]
        violating = _first_violating(successors)
        if violating is not None:
            return Exploration(len(visited), level + 1, violating.moves)
        frontier = []
        for path in successors:
            key = path.model.key()
            if key not in visited:
                visited.add(key)
                frontier.append(path)
    return Exploration(len(visited), depth, ())


def apply_moves(
    start: cluster_model.ClusterModel, steps: abc.Iterable[str]
) -> cluster_model.ClusterModel:
    """Returns the model after the named moves, such as `read entry-a`."""
    model = start
    for step in steps:
        move_name, name = step.split()
        index = cluster_model.INSTANCE_NAMES.index(name)
        next_model = cluster_model.moves.entries[move_name](model, index)
        if next_model is None:
            raise AssertionError(f'{step} is not possible')
        model = next_model
    return model


def _first_violating(paths: list[Path]) -> Path | None:
    violating = (
        path for path in paths if cluster_model.has_two_owners(path.model)
    )
    return next(violating, None)


def _successors(path: Path) -> abc.Iterator[Path]:
    """Yields the paths with one more move, for all possible moves."""
    for move_name, move in cluster_model.moves.entries.items():
        for index, name in enumerate(cluster_model.INSTANCE_NAMES):
            next_model = move(path.model, index)
            if next_model is not None:
                yield Path(next_model, (*path.moves, f'{move_name} {name}'))
