"""Registered ways to decide which requests get a place at a pool of targets."""

import typing
from collections import abc

from bilberryglade._admission import demands
from bilberryglade._targets import choosing
from bilberryglade._values import registry


class Decision(typing.NamedTuple):
    """What a policy decided, and what it remembers from now on."""

    memory: demands.Memory
    chosen: choosing.View | choosing.Refusal


class Moment(typing.NamedTuple):
    """When a decision is made, and the chance in it."""

    #: Monotonic seconds.
    now: float
    #: From 0 to 1.
    chance: float


Policy: typing.TypeAlias = abc.Callable[
    [
        demands.Memory,
        abc.Sequence[choosing.View],
        choosing.Demand,
        Moment,
    ],
    Decision,
]

policies: typing.Final = registry.Registry[Policy]('admission policy of places')

FIRST_COME: typing.Final = 'first_come'
BY_WORTH: typing.Final = 'by_worth'
#: Contract of a deployment under which `by_worth` is in force.
PRESSURE: typing.Final = 'pressure'


def name_for(contracts: abc.Container[str]) -> str:
    """Returns the policy that a deployment's contracts ask for."""
    return BY_WORTH if PRESSURE in contracts else FIRST_COME


@policies.register(FIRST_COME)
def decide_first_come(
    memory: demands.Memory,
    views: abc.Sequence[choosing.View],
    demand: choosing.Demand,
    moment: Moment,
) -> Decision:
    """Admits whoever comes while the queue is short enough for its aim."""
    return Decision(memory, choosing.choose(views, demand, moment.now))
