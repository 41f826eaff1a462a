"""Which versions of a service this instance may use now.

A version is in use if its targets were listed when the service was first known
here, or if the coordinator told so. A version on trial is used only while the
coordinator has told so lately.
"""

import math
import typing
from collections import abc

from bilberryglade._rollouts import orders, phases, stepper
from bilberryglade._targets import directory
from bilberryglade._values import spreading

#: Part of the time for a rollback after which a version on trial gets nothing
#: from an instance that hears of no coordinator: 3 s of the usual 5 s. A new
#: coordinator is there after some 2 s.
LAPSE_PART: typing.Final = 0.6
#: Least targets of a version on trial that get requests: a single bad target
#: must not look like a bad version.
LEAST_TARGETS: typing.Final = 3


class Told(typing.NamedTuple):
    """A rollout as the coordinator told of it last."""

    rollout: stepper.Rollout
    #: Monotonic seconds until which it holds for a version on trial.
    holds_until: float


def is_in_force(told: Told, now: float) -> bool:
    """Tells whether the version on trial may get requests."""
    rollout = told.rollout
    if rollout.phase in phases.SETTLED:
        return True
    if rollout.phase is phases.Phase.rolled_back or rollout.is_paused:
        return False
    return bool(rollout.share) and now < told.holds_until


def allowed(base: str, told: Told | None, now: float) -> frozenset[str]:
    """Returns the versions that may be used; `base` is in use before."""
    if told is None:
        return frozenset((base,))
    rollout = told.rollout
    if rollout.phase in phases.SETTLED:
        return frozenset((rollout.version,))
    if is_in_force(told, now):
        return frozenset((rollout.base, rollout.version))
    return frozenset((rollout.base,))


def first_listed(
    targets: abc.Iterable[directory.Target],
) -> dict[str, tuple[str, ...]]:
    """Returns the versions of each service, that of the oldest target first."""
    born: dict[str, dict[str, int]] = {}
    for target in targets:
        versions = born.setdefault(target.service, {})
        earliest = versions.get(target.version, target.born)
        versions[target.version] = min(earliest, target.born)
    return {
        service: tuple(sorted(versions, key=versions.__getitem__))
        for service, versions in born.items()
    }


def base_of(listed: abc.Sequence[str], order: orders.Order | None) -> str:
    """Returns the version in use of a service of which nothing was told.

    An instance that starts during a rollout finds both versions listed; the
    one that is ordered is on trial then.
    """
    for version in listed:
        if order is None or version != order.version:
            return version
    return listed[0]


def exposed(
    targets: abc.Sequence[directory.Target], rollout: stepper.Rollout
) -> list[directory.Target]:
    """Returns the targets of the new version among which its share is divided.

    They are as many as the share of all, so that each has the load that it
    will have with all requests, and what shows only under load shows early.
    """
    count = max(math.ceil(len(targets) * rollout.share), LEAST_TARGETS)
    ranked = sorted(
        targets,
        key=lambda target: spreading.score(target.name, rollout.service),
    )
    return ranked[:count]
