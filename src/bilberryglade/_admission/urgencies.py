"""How urgent a request is, from what the operator configured."""

import typing

from bilberryglade._routing import admission

#: Least urgent value; configured priorities beyond it count as this one. It
#: only bounds what goes over the wire, and is far above those in use (0 to 9).
LEAST_URGENT: typing.Final = 1000


def urgency_of(admitted: admission.Admitted) -> int:
    """Returns a request's urgency; 0 is the most urgent.

    The priority of the organisation goes before that of the route.
    """
    organisation = admitted.organisation
    if organisation is not None and organisation.priority is not None:
        return bounded(organisation.priority)
    return bounded(admitted.route.priority)


def bounded(priority: int) -> int:
    """Returns a priority as an urgency."""
    return min(max(priority, 0), LEAST_URGENT)


def received(told: int | None) -> int | None:
    """Returns the urgency that another instance told, if any."""
    return None if told is None else bounded(told)
