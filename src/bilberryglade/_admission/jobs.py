"""An admitted request, its time limits, and what it needs of a target."""

import typing

from bilberryglade._admission import urgencies
from bilberryglade._routing import admission, catalogue
from bilberryglade._targets import choosing

#: A caller that had waited longer than this comes back after a refusal. The
#: shortest time that callers are told is 80 ms; estimates are in steps of 10 ms.
RETRY_WAIT_SECONDS: typing.Final = 0.04


class Job(typing.NamedTuple):
    """An admitted request with its service and its time limits."""

    request: admission.Incoming
    admitted: admission.Admitted
    service: str
    #: Monotonic seconds at which the caller or the route gives up.
    deadline: float
    #: Monotonic seconds until which an answer meets the route's latency aim.
    aim_until: float
    #: Seconds that the caller had waited on earlier, refused requests; estimated.
    waited_seconds: float = 0
    #: Version of the target's software; '' if any in use will do.
    version: str = ''


def longest_seconds(
    request: admission.Incoming, route: catalogue.Route
) -> float:
    """Returns the time after which the caller or the route gives up."""
    if request.patience is None:
        return route.timeout
    return min(route.timeout, request.patience)


def time_left(request: admission.Incoming, now: float) -> float | None:
    """Returns the seconds until the caller gives up; None if it told none."""
    if request.patience is None:
        return None
    return request.patience - (now - request.arrived_at)


def demand_of(
    job: Job,
    failure_domain: str,
    tried: frozenset[str],
    now: float,
) -> choosing.Demand:
    """Returns what a request of an instance in `failure_domain` needs."""
    return choosing.Demand(
        failure_domain=failure_domain,
        aim_left=job.aim_until - now,
        time_left=job.deadline - now,
        tried=tried,
        has_large_answer=job.admitted.route.has_large_answers,
        version=job.version,
        urgency=urgencies.urgency_of(job.admitted),
        is_retry=job.waited_seconds > RETRY_WAIT_SECONDS,
        caller_left=time_left(job.request, now) or 0,
    )
