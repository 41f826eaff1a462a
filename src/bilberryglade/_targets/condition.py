"""How much a target bears, decided from what its leader saw itself.

Load reports of targets lag and mislead, so none enters here: only answers,
refusals and losses of the requests that the leader sent.
"""

import typing

from bilberryglade._targets import phases
from bilberryglade._values import registry

#: Answers in a row after which the allowance grows by one request.
ANSWERS_PER_STEP: typing.Final = 24
#: Service time over the usual one that marks a target as cold.
COLD_RATIO: typing.Final = 1.6
#: Answers that must be slow in a row.
COLD_ANSWERS: typing.Final = 3
#: Weight of a new service time in the usual one.
USUAL_WEIGHT: typing.Final = 0.05
#: Seconds without an answer after which warmth is no longer known.
IDLE_SECONDS: typing.Final = 30.0


class Answer(typing.NamedTuple):
    """A request ended with an answer after `seconds` at the target."""

    seconds: float


class Shed(typing.NamedTuple):
    """The target refused a request before it started."""


class Loss(typing.NamedTuple):
    """The connection was lost or refused, or no answer came in time."""


class Directive(typing.NamedTuple):
    """The agreed state of the target: `live`, `draining` or `gone`."""

    state: str


Event: typing.TypeAlias = Answer | Shed | Loss | Directive


class Condition(typing.NamedTuple):
    """What a leader knows of a target."""

    #: Requests that the target runs at the same time when warm.
    concurrency: int
    phase: phases.Phase = phases.Phase.joining
    #: Requests that it gets at the same time now.
    allowance: int = 1
    answers_in_step: int = 0
    slow_answers: int = 0
    #: Moving average of service times in seconds, 0 before the first.
    usual_seconds: float = 0
    #: Monotonic seconds of the newest answer.
    answered_at: float = 0


Warmer: typing.TypeAlias = typing.Callable[[Condition], Condition]

warming_policies: typing.Final = registry.Registry[Warmer]('warming policy')


@warming_policies.register('stepwise')
def warm_stepwise(condition: Condition) -> Condition:
    """Raises the allowance by one for each `ANSWERS_PER_STEP` answers."""
    answers = condition.answers_in_step + 1
    if answers < ANSWERS_PER_STEP:
        return condition._replace(answers_in_step=answers)
    allowance = min(condition.allowance + 1, condition.concurrency)
    grown = condition._replace(allowance=allowance, answers_in_step=0)
    if allowance < condition.concurrency:
        return grown
    return _moved(grown, phases.Trigger.warmed)


@warming_policies.register('none')
def warm_at_once(condition: Condition) -> Condition:
    """Gives the full concurrency from the first answer on."""
    full = condition._replace(allowance=condition.concurrency)
    return _moved(full, phases.Trigger.warmed)


def decide(
    condition: Condition,
    event: Event,
    now: float,
    policy: str = 'stepwise',
) -> Condition:
    """Returns the condition after `event`."""
    if isinstance(event, Answer):
        return _after_answer(condition, event, now, policy)
    if isinstance(event, Shed):
        return _back_to_one(condition, phases.Trigger.turned_cold)
    if isinstance(event, Loss):
        return _back_to_one(condition, phases.Trigger.lost)
    return _after_directive(condition, event)


def allowance_at(condition: Condition, now: float) -> int:
    """Returns how many requests the target may have at the same time.

    A target that has been idle for long may have turned cold unseen.
    """
    if condition.phase in phases.CLOSED:
        return 0
    if now - condition.answered_at > IDLE_SECONDS:
        return 1
    return condition.allowance


def _after_answer(
    condition: Condition,
    event: Answer,
    now: float,
    policy: str,
) -> Condition:
    idle = now - condition.answered_at > IDLE_SECONDS
    seen = condition._replace(answered_at=now)
    if idle and condition.answered_at:
        seen = _back_to_one(seen, phases.Trigger.turned_cold)
    answered = _moved(seen, phases.Trigger.answered)
    timed = _with_service_time(answered, event.seconds)
    if timed.slow_answers >= COLD_ANSWERS:
        return _back_to_one(timed, phases.Trigger.turned_cold)
    if timed.phase is not phases.Phase.warming:
        return timed
    return warming_policies.entries[policy](timed)


def _with_service_time(condition: Condition, seconds: float) -> Condition:
    usual = condition.usual_seconds
    if not usual:
        return condition._replace(usual_seconds=seconds)
    is_slow = seconds > usual * COLD_RATIO
    weight = USUAL_WEIGHT
    return condition._replace(
        slow_answers=condition.slow_answers + 1 if is_slow else 0,
        usual_seconds=usual * (1 - weight) + seconds * weight,
    )


def _after_directive(condition: Condition, event: Directive) -> Condition:
    if event.state == 'draining':
        return _moved(condition, phases.Trigger.drained)
    if event.state == 'gone':
        return _moved(condition, phases.Trigger.removed)
    if condition.phase not in phases.CLOSED:
        return condition
    return _back_to_one(condition, phases.Trigger.restored)


def _back_to_one(
    condition: Condition,
    trigger: phases.Trigger,
) -> Condition:
    cold = condition._replace(allowance=1, answers_in_step=0, slow_answers=0)
    return _moved(cold, trigger)


def _moved(condition: Condition, trigger: phases.Trigger) -> Condition:
    phase = phases.step(condition.phase, trigger).unwrap_or(condition.phase)
    return condition._replace(phase=phase)
