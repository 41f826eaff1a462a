"""The registry of protocol steps: each place where a fault can strike."""

import enum
import typing

from bilberryglade._values import registry


class StepKind(enum.StrEnum):
    """What happens at a step."""

    append = 'append'
    message = 'message'
    #: A wait between a check and the act that relies on it.
    check_to_act = 'check_to_act'
    read = 'read'


class Step(typing.NamedTuple):
    """One step of a protocol."""

    #: `protocol.step`, such as `ownership.append_move`.
    name: str
    kind: StepKind


protocol_steps: typing.Final = registry.Registry[Step]('protocol step')


def declare(name: str, kind: StepKind) -> Step:
    """Registers a step, so that the fault matrix must have rows for it."""
    return protocol_steps.register(name)(Step(name, kind))
