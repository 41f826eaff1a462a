"""The registered policies on what each target takes, and which is in force."""

import typing
from collections import abc

from bilberryglade._delivery import send_results
from bilberryglade._targets import choosing, directory, standing
from bilberryglade._values import registry

#: Part of a deployment's contracts that asks for the learnt policy.
PRESSURE: typing.Final = 'pressure'
#: Deployments without tenants came into service after the learnt policy.
TENANTS: typing.Final = 'tenants'
CONFIGURED: typing.Final = 'configured'
LEARNT: typing.Final = 'learnt'


class Learnt(typing.NamedTuple):
    """What is learnt of one life of a target, to show or to hand over."""

    target: directory.Target
    #: Level of the curve up to which it is used.
    level: int
    #: Requests that it gets at once.
    places: int
    #: Requests a second that it finishes at that limit; 0 if not known.
    pace: float
    #: Requests that have permits there now.
    outstanding: int
    #: Weight, mean and variance of the logarithm of the time of work, by level
    #: of concurrency.
    levels: tuple[tuple[float, float, float], ...]


class Policy(typing.Protocol):
    """What a dispatcher assumes that its targets take.

    It is told of each permit, and shapes the views by which permits are given.
    All times are monotonic seconds.
    """

    #: Dispatchers that an instance asks in turn before it sends on its own view.
    dispatchers_asked: int

    def view(self, view: choosing.View, now: float) -> choosing.View:
        """Returns a target's view with the places that it may use now."""

    def refusal(
        self,
        refusal: choosing.Refusal,
        views: abc.Sequence[choosing.View],
        demand: choosing.Demand,
        now: float,
    ) -> choosing.Refusal:
        """Returns a refusal with the time at which there is a place."""

    def begin(
        self, target: directory.Target, key: typing.Hashable, now: float
    ) -> None:
        """Takes in that a permit was granted."""

    def end(
        self,
        target: directory.Target,
        key: typing.Hashable,
        finished: send_results.FinishedSend,
        now: float,
    ) -> None:
        """Takes in that a permit has ended and how its send went."""

    def work_seconds(
        self, life: directory.Life, known: standing.Standing, now: float
    ) -> float:
        """Returns the usual time of work for each configured place, in seconds.

        By it the coordinator divides the keys: what a target finishes in a
        second is its places divided by this time.
        """

    def retain(self, listed: abc.Container[directory.Life]) -> None:
        """Drops what is known of lives without requests that aren't listed."""

    def learnt(self, now: float) -> list[Learnt]:
        """Returns what was learnt of each target that had permits here."""

    def take(self, told: Learnt, now: float) -> None:
        """Takes in what another dispatcher has learnt of a target."""


policies: typing.Final = registry.Registry[abc.Callable[[], Policy]](
    'capacity policy'
)


def name_for(contracts: abc.Set[str]) -> str:
    """Returns the policy of a deployment with the given contracts.

    Deployments that were in service before the learnt policy have tenants and
    don't ask for behaviour under pressure; they keep the configured places, as
    does one that names no contracts.
    """
    if PRESSURE in contracts:
        return LEARNT
    if contracts and TENANTS not in contracts:
        return LEARNT
    return CONFIGURED


def policy_for(contracts: abc.Set[str]) -> Policy:
    """Returns a new policy of the kind that `name_for` names."""
    return policies.entries[name_for(contracts)]()


@policies.register(CONFIGURED)
class Configured:
    """Targets take their configured places, and any number waits for these."""

    dispatchers_asked = 1

    def view(self, view: choosing.View, now: float) -> choosing.View:
        """Returns the view unchanged."""
        return view

    def refusal(
        self,
        refusal: choosing.Refusal,
        views: abc.Sequence[choosing.View],
        demand: choosing.Demand,
        now: float,
    ) -> choosing.Refusal:
        """Returns the refusal unchanged."""
        return refusal

    def begin(
        self, target: directory.Target, key: typing.Hashable, now: float
    ) -> None:
        """Learns nothing of a permit."""

    def end(
        self,
        target: directory.Target,
        key: typing.Hashable,
        finished: send_results.FinishedSend,
        now: float,
    ) -> None:
        """Learns nothing of a send."""

    def work_seconds(
        self, life: directory.Life, known: standing.Standing, now: float
    ) -> float:
        """Returns the average over all levels of concurrency."""
        return standing.usual_seconds(known)

    def retain(self, listed: abc.Container[directory.Life]) -> None:
        """Has nothing to drop."""

    def learnt(self, now: float) -> list[Learnt]:
        """Returns nothing."""
        return []

    def take(self, told: Learnt, now: float) -> None:
        """Ignores what others have learnt."""
