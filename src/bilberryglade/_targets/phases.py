"""Life cycle of a target as its leader sees it, as a table of transitions."""

import enum
import typing

import result
import transitions


class Phase(enum.StrEnum):
    """Where a target stands in its life cycle."""

    #: Led, but nothing was heard from it yet.
    joining = 'joining'
    #: Bears less than its full concurrency.
    warming = 'warming'
    serving = 'serving'
    #: Lost connections or did not answer; gets one request at a time.
    suspect = 'suspect'
    #: Gets no new work; finishes what it has.
    draining = 'draining'
    gone = 'gone'


#: Phases in which a target gets no new work.
CLOSED: typing.Final = frozenset((Phase.draining, Phase.gone))


class Trigger(enum.StrEnum):
    """What moves a target from phase to phase."""

    answered = 'answered'
    warmed = 'warmed'
    turned_cold = 'turned_cold'
    lost = 'lost'
    drained = 'drained'
    restored = 'restored'
    removed = 'removed'


class RefusedTrigger(typing.NamedTuple):
    """A trigger that the phase does not know."""

    phase: Phase
    trigger: Trigger


_ACTIVE: typing.Final = (
    Phase.joining,
    Phase.warming,
    Phase.serving,
    Phase.suspect,
)

#: The table; `transitions` checks that every state exists.
MACHINE: typing.Final = transitions.Machine(
    model=None,
    states=[phase.value for phase in Phase],
    initial=Phase.joining.value,
    auto_transitions=False,
    transitions=[
        ['answered', 'joining', 'warming'],
        ['answered', 'suspect', 'warming'],
        ['answered', 'warming', 'warming'],
        ['answered', 'serving', 'serving'],
        ['answered', 'draining', 'draining'],
        ['warmed', 'warming', 'serving'],
        ['turned_cold', ['joining', 'warming', 'serving'], 'warming'],
        ['turned_cold', 'suspect', 'suspect'],
        ['turned_cold', 'draining', 'draining'],
        ['lost', [phase.value for phase in _ACTIVE], 'suspect'],
        ['lost', 'draining', 'draining'],
        ['drained', [phase.value for phase in _ACTIVE], 'draining'],
        ['restored', ['draining', 'gone'], 'joining'],
        ['removed', '*', 'gone'],
    ],
)


def step(
    phase: Phase,
    trigger: Trigger,
) -> result.Result[Phase, RefusedTrigger]:
    """Returns the phase after `trigger`, or a refusal."""
    found = MACHINE.get_transitions(trigger.value, phase.value)
    if not found:
        return result.Err(RefusedTrigger(phase, trigger))
    return result.Ok(Phase(str(found[0].dest)))
