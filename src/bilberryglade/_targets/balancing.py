"""Registered balancing policies: which of several targets gets a request.

They serve requests that any target of a service may run. An entry instance
decides from the requests that it sent itself.
"""

import random
import typing
from collections import abc

from bilberryglade._values import registry

#: Weight of a new answer time in the moving average when it is lower.
DECAY: typing.Final = 0.2
#: Seconds an unknown target is taken to need, so that it is tried soon.
UNKNOWN_SECONDS: typing.Final = 0.001


class TargetView(typing.NamedTuple):
    """What an entry instance knows of a target."""

    target: str
    #: Requests sent and not yet answered.
    outstanding: int = 0
    #: Peak-sensitive moving average of answer times in seconds, 0 if none.
    seconds: float = 0
    #: Running requests as the target reports them; late, maybe misleading.
    reported: int = 0


Balancer: typing.TypeAlias = abc.Callable[
    [abc.Sequence[TargetView], random.Random],
    str,
]

balancers: typing.Final = registry.Registry[Balancer]('balancing policy')


@balancers.register('random')
def choose_random(
    views: abc.Sequence[TargetView],
    chance: random.Random,
) -> str:
    """Returns any target."""
    return chance.choice(views).target


@balancers.register('reported')
def choose_reported(
    views: abc.Sequence[TargetView],
    chance: random.Random,
) -> str:
    """Returns the target that reports the fewest running requests."""
    least = min(view.reported for view in views)
    return chance.choice(
        [view for view in views if view.reported == least]
    ).target


@balancers.register('two_choices')
def choose_of_two(
    views: abc.Sequence[TargetView],
    chance: random.Random,
) -> str:
    """Returns the cheaper of two targets drawn at random."""
    if len(views) == 1:
        return views[0].target
    return min(chance.sample(views, 2), key=cost).target


def cost(view: TargetView) -> float:
    """Returns the seconds that one more request is expected to take."""
    return max(view.seconds, UNKNOWN_SECONDS) * (view.outstanding + 1)


def after_answer(view: TargetView, seconds: float) -> TargetView:
    """Returns the view after an answer; a slower one counts at once."""
    if seconds >= view.seconds:
        return view._replace(seconds=seconds)
    kept = view.seconds * (1 - DECAY) + seconds * DECAY
    return view._replace(seconds=kept)
