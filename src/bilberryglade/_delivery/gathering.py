"""When gathered intents are appended: registered gathering policies."""

import typing
from collections import abc

from bilberryglade._values import registry

#: Appends a second that all instances together spend on intents.
FLEET_APPENDS_PER_SECOND: typing.Final = 240.0
BURST_APPENDS: typing.Final = 4.0
MAX_ENTRIES: typing.Final = 4096


class Pace(typing.NamedTuple):
    """Token bucket of the appends of one instance."""

    tokens: float = BURST_APPENDS
    #: Monotonic seconds at which `tokens` was right.
    at: float = 0


class Plan(typing.NamedTuple):
    """What to do with the intents gathered so far."""

    pace: Pace
    #: Seconds to go on gathering; 0 to append now.
    wait_seconds: float
    #: Entries of the next append.
    entries: int


Policy: typing.TypeAlias = abc.Callable[[Pace, int, float, float], Plan]

policies: typing.Final = registry.Registry[Policy]('gathering policy')


def rate_of(members: int) -> float:
    """Returns the appends a second that one of `members` may make."""
    return FLEET_APPENDS_PER_SECOND / max(members, 1)


@policies.register('group')
def plan_group(pace: Pace, waiting: int, rate: float, now: float) -> Plan:
    """Appends all that waits as soon as the pace allows one append.

    At low load an intent goes at once; at high load the pace makes each
    append carry more.
    """
    grown = min(pace.tokens + (now - pace.at) * rate, BURST_APPENDS)
    if grown < 1:
        return Plan(Pace(grown, now), (1 - grown) / rate, 0)
    return Plan(Pace(grown - 1, now), 0, min(waiting, MAX_ENTRIES))


@policies.register('single')
def plan_single(pace: Pace, waiting: int, rate: float, now: float) -> Plan:
    """Appends each intent alone and at once, whatever the log bears."""
    return Plan(pace, 0, 1)


class Pacer:
    """The pace that all intent streams of one instance share."""

    def __init__(self, policy: str = 'group') -> None:
        """Plans by the policy named."""
        self.policy = policies.entries[policy]
        self.pace = Pace()
        self.rate = rate_of(1)

    def plan(self, waiting: int, now: float) -> Plan:
        """Plans the next append and takes it off the pace."""
        plan = self.policy(self.pace, waiting, self.rate, now)
        self.pace = plan.pace
        return plan
