"""The faults that the matrix brings about, and the steps they can strike."""

import typing

from bilberryglade._values import registry, steps


class Fault(typing.NamedTuple):
    """One kind of failure."""

    name: str
    description: str
    #: Kinds of steps at which the fault makes a difference.
    strikes: frozenset[steps.StepKind]


faults: typing.Final = registry.Registry[Fault]('fault')

EVERYWHERE: typing.Final = frozenset(steps.StepKind)
MESSAGES: typing.Final = frozenset((steps.StepKind.message,))
LOG_CALLS: typing.Final = frozenset(
    (steps.StepKind.append, steps.StepKind.read),
)
APPENDS: typing.Final = frozenset((steps.StepKind.append,))
CHECKS: typing.Final = frozenset((steps.StepKind.check_to_act,))
EXCHANGES: typing.Final = MESSAGES | LOG_CALLS


def _fault(
    name: str,
    strikes: frozenset[steps.StepKind],
    description: str,
) -> None:
    faults.register(name)(Fault(name, description, strikes))


_fault('partition_platform', EVERYWHERE, 'a failure domain loses the platform')
_fault('partition_peers', EVERYWHERE, 'failure domains lose each other')
_fault('partition_both', EVERYWHERE, 'a failure domain loses everything else')
_fault('partition_one_way', EVERYWHERE, 'messages pass in one direction only')
_fault('pause', EVERYWHERE, 'the process stops for seconds and goes on')
_fault('loss', EVERYWHERE, 'the process ends and its memory is gone')
_fault('freeze_and_return', EVERYWHERE, 'a target freezes and returns later')
_fault('target_cold', EVERYWHERE, 'a target turns cold without a warning')
_fault('key_withdrawn', EVERYWHERE, 'an API key is withdrawn while in use')
_fault('log_down', EVERYWHERE, 'the log answers nobody')
_fault('log_slow', LOG_CALLS | CHECKS, 'the log answers after seconds')
_fault('log_stale', LOG_CALLS, 'a replica of the log lags behind')
_fault('answer_lost', EXCHANGES, 'the answer is lost, the effect is not')
_fault('lease_lapsed', CHECKS, 'a lease lapses while its holder is paused')
_fault('operators_race', APPENDS, 'two writers change the same thing')
_fault('crashing_request', EVERYWHERE, 'a request crashes each target')
_fault('connection_silent', EXCHANGES, 'an open connection goes silent')
_fault('message_duplicated', EXCHANGES, 'it arrives twice')
_fault('message_delayed', EXCHANGES, 'it arrives seconds later')
_fault('message_reordered', EXCHANGES, 'a later one overtakes it')
_fault('message_dropped', EXCHANGES, 'it never arrives')


def striking(step: steps.Step) -> list[str]:
    """Returns the names of the faults that can strike at `step`."""
    return [
        name
        for name in faults.names()
        if step.kind in faults.entries[name].strikes
    ]
