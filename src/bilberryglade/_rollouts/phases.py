"""Phases of a rollout, as a table of transitions."""

import enum
import typing

import result
import transitions


class Phase(enum.StrEnum):
    """How far a rollout is."""

    #: The new version gets a small share, and the verdict is open.
    exposing = 'exposing'
    #: The verdict is good, and the share grows in steps.
    growing = 'growing'
    #: The new version gets all; what runs at the old one ends.
    emptying = 'emptying'
    #: Nothing is at the old version, and nothing goes back to it.
    sealed = 'sealed'
    completed = 'completed'
    rolled_back = 'rolled_back'


class Trigger(enum.StrEnum):
    """What moves a rollout on."""

    judged_good = 'judged_good'
    grown = 'grown'
    emptied = 'emptied'
    acknowledged = 'acknowledged'
    judged_bad = 'judged_bad'
    expired = 'expired'
    withdrawn = 'withdrawn'


class RefusedTrigger(typing.NamedTuple):
    """A trigger that means nothing in a phase."""

    phase: Phase
    trigger: Trigger


#: Phases in which the new version may still be rolled back.
REVOCABLE: typing.Final = (Phase.exposing, Phase.growing, Phase.emptying)
#: Phases in which both versions get requests.
PARTIAL: typing.Final = frozenset((Phase.exposing, Phase.growing))
#: Phases in which the old version gets nothing, for good.
SETTLED: typing.Final = frozenset((Phase.sealed, Phase.completed))
FINAL: typing.Final = frozenset((Phase.completed, Phase.rolled_back))

_REVOCABLE_NAMES: typing.Final = tuple(phase.value for phase in REVOCABLE)

#: The table; `transitions` checks that every state exists.
MACHINE: typing.Final = transitions.Machine(
    model=None,
    states=[phase.value for phase in Phase],
    initial=Phase.exposing.value,
    auto_transitions=False,
    transitions=[
        ['judged_good', 'exposing', 'growing'],
        ['grown', 'growing', 'emptying'],
        ['emptied', 'emptying', 'sealed'],
        ['acknowledged', 'sealed', 'completed'],
        ['judged_bad', _REVOCABLE_NAMES, 'rolled_back'],
        ['expired', _REVOCABLE_NAMES, 'rolled_back'],
        ['withdrawn', _REVOCABLE_NAMES, 'rolled_back'],
    ],
)


def is_beyond(phase: Phase, other: Phase) -> bool:
    """Tells whether `phase` comes after `other`; a rollback after all others."""
    order = list(Phase)
    return order.index(phase) > order.index(other)


def after(
    phase: Phase, trigger: Trigger
) -> result.Result[Phase, RefusedTrigger]:
    """Returns the phase after `trigger`, or a refusal."""
    found = MACHINE.get_transitions(trigger.value, phase.value)
    if not found:
        return result.Err(RefusedTrigger(phase, trigger))
    return result.Ok(Phase(str(found[0].dest)))
