"""Decides which requests get a place, pool by pool, and counts the decisions."""

import random
import typing
from collections import abc

from bilberryglade._admission import by_worth, demands, policies
from bilberryglade._targets import choosing

#: Modules whose policies are registered by their import.
REGISTERED: typing.Final = (by_worth, policies)
#: Upper bounds in seconds of the counted times that callers are told.
TOLD_BOUNDS: typing.Final = (0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0)


class Pool(typing.NamedTuple):
    """Targets that the same requests compete for."""

    service: str
    #: The one target that owns the requests' keys; empty if any may be chosen.
    owner: str


class Counted(typing.NamedTuple):
    """Labels of a counted decision."""

    #: Empty if the asking instance told none.
    urgency: str
    is_retry: bool
    #: `admitted`, or why the request was refused.
    decision: str


class Gate:
    """Admits requests by a registered policy; remembers what it needs to."""

    def __init__(
        self,
        policy: str = policies.FIRST_COME,
        draw: abc.Callable[[], float] = random.random,
    ) -> None:
        """Decides by the policy called `policy`; `draw` returns 0 to 1."""
        self.policy = policies.policies.entries[policy]
        self.draw = draw
        self.memories: dict[Pool, demands.Memory] = {}
        self.counts: dict[Counted, int] = {}
        #: Sums of the times that callers were told, in seconds, by upper bound.
        self.told: dict[float, int] = {}
        self.told_seconds: float = 0

    def decide(
        self,
        pool: Pool,
        views: abc.Sequence[choosing.View],
        demand: choosing.Demand,
        now: float,
    ) -> choosing.View | choosing.Refusal:
        """Returns the target for a request, or a refusal."""
        memory = self.memories.get(pool, demands.EMPTY)
        moment = policies.Moment(now, self.draw())
        decision = self.policy(memory, views, demand, moment)
        if decision.memory is not memory:
            self.memories[pool] = decision.memory
        self._count(demand, decision.chosen)
        return decision.chosen

    def forget_past(self, now: float) -> None:
        """Drops what is remembered of pools that nobody asks for any more."""
        past = [
            pool
            for pool, memory in self.memories.items()
            if demands.is_past(memory, now)
        ]
        for pool in past:
            self.memories.pop(pool)

    def _count(
        self,
        demand: choosing.Demand,
        chosen: choosing.View | choosing.Refusal,
    ) -> None:
        name = 'admitted'
        if isinstance(chosen, choosing.Refusal):
            name = chosen.cause or chosen.reason.value
            self._count_told(chosen.retry_seconds)
        urgency = '' if demand.urgency is None else str(demand.urgency)
        labels = Counted(urgency, demand.is_retry, name)
        self.counts[labels] = self.counts.get(labels, 0) + 1

    def _count_told(self, seconds: float) -> None:
        bound = next(
            (bound for bound in TOLD_BOUNDS if seconds <= bound), float('inf')
        )
        self.told[bound] = self.told.get(bound, 0) + 1
        self.told_seconds += seconds


def for_contracts(contracts: abc.Container[str]) -> Gate:
    """Returns a gate with the policy that a deployment's contracts ask for."""
    return Gate(policies.name_for(contracts))
