"""Rows of the steps of ownership: random orders of moves under faults.

The small world of the exploration walks at random; the faults of a row take
moves away from an instance, or bring some about, from a moment drawn at
random. The world is its own observer: it sees only grants and runs.
"""

import random
import types
import typing

from bilberryglade._ownership import fencing, leases, releases
from bilberryglade._ownership.tests import cluster_model, moves
from bilberryglade._values import steps
from bilberryglade_lab.matrix import rows
from bilberryglade_lab.observers import violations

#: Modules whose import registers the moves.
MOVES: typing.Final = moves
LENGTH: typing.Final = 160
#: Share of the moves that let time pass.
TICKS: typing.Final = 0.12
SCRIPTS: typing.Final = (
    ('move to target-b', 'move to target-a'),
    ('lose entry-a', 'move to target-b'),
)
TALK: typing.Final = frozenset(('ask', 'handle', 'vote', 'release'))
READING: typing.Final = frozenset(('read', 'append'))
#: Moves that a fault takes away from the instance that it strikes.
TAKEN_AWAY: typing.Final = types.MappingProxyType(
    {
        'partition_platform': READING,
        'partition_peers': TALK,
        'partition_both': TALK | READING | {'fence'},
        'partition_one_way': frozenset(('handle', 'vote')),
        'log_down': READING,
        'log_slow': READING,
        'loss': frozenset(cluster_model.moves.names())
        - {'tick', 'append', 'finish'},
        'message_dropped': frozenset(('release',)),
        'connection_silent': frozenset(('release', 'handle')),
        'answer_lost': frozenset(('handle', 'release')),
    }
)
#: Other faults are moves of the world: it pauses, lets leases lapse, delays
#: answers, and hands the same releases over more than once, at any time.
SEND_FAULTS: typing.Final = (
    'lease_lapsed',
    'log_down',
    'log_slow',
    'loss',
    'partition_both',
    'partition_one_way',
    'partition_peers',
    'partition_platform',
    'pause',
)
MESSAGE_FAULTS: typing.Final = (
    'answer_lost',
    'connection_silent',
    'log_down',
    'loss',
    'message_delayed',
    'message_dropped',
    'message_duplicated',
    'message_reordered',
    'partition_both',
    'partition_one_way',
    'partition_peers',
    'partition_platform',
    'pause',
)


@rows.sweep(leases.GRANT.name, *SEND_FAULTS)
@rows.sweep(releases.ASK.name, *MESSAGE_FAULTS)
@rows.sweep(releases.ANSWER.name, *MESSAGE_FAULTS)
@rows.sweep(fencing.FENCE.name, 'loss', 'pause', 'log_down', 'message_delayed')
def walk_at_random(
    seed: int,
    struck: frozenset[str],
) -> list[violations.Violation]:
    """Walks at random and looks for two owners."""
    chance = random.Random(f'{seed} {sorted(struck)}')
    world = cluster_model.initial_model(
        cluster_model.Protections(), chance.choice(SCRIPTS)
    )
    strikes_at = chance.randrange(LENGTH)
    victim = chance.randrange(len(cluster_model.INSTANCE_NAMES))
    for step in range(LENGTH):
        forbidden = _forbidden(struck, step >= strikes_at)
        world = _moved(world, chance, forbidden, victim)
        if cluster_model.has_two_owners(world):
            return [violations.Violation('one_owner', f'after {step} moves')]
    return []


def _forbidden(struck: frozenset[str], has_struck: bool) -> frozenset[str]:
    forbidden = frozenset[str]()
    if not has_struck:
        return forbidden
    for fault in struck:
        forbidden |= TAKEN_AWAY.get(fault, frozenset())
    return forbidden


def _moved(
    world: cluster_model.ClusterModel,
    chance: random.Random,
    forbidden: frozenset[str],
    victim: int,
) -> cluster_model.ClusterModel:
    if chance.random() < TICKS:
        return cluster_model.moves.entries['tick'](world, 0) or world
    node = chance.randrange(len(cluster_model.INSTANCE_NAMES))
    name = chance.choice(cluster_model.moves.names())
    if node == victim and name in forbidden:
        return world
    return cluster_model.moves.entries[name](world, node) or world


def _exclude(*steps_without: steps.Step) -> None:
    for step in steps_without:
        for fault in ('crashing_request', 'key_withdrawn', 'target_cold'):
            rows.not_applicable(
                step.name,
                fault,
                'the step carries no request and no API key, and asks nothing '
                'of how warm a target is',
            )


_exclude(releases.ASK, releases.ANSWER, fencing.FENCE, leases.GRANT)
