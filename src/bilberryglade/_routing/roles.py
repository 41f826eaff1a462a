"""Which instance holds which role: derived from the members, never elected.

A role belongs to the member with the highest rendezvous weight among those
that may hold it. The records that change members are thereby the only terms.
"""

from bilberryglade._routing import slots
from bilberryglade._state import state


def leader_of_target(view: state.ClusterState, target: str) -> str:
    """Returns the instance that leads `target`, or '' if there is none.

    Only instances of the target's own failure domain may lead it.
    """
    known = view.targets.get(target)
    if known is None:
        return ''
    names = members_of(view, known.failure_domain)
    return slots.best(f'leader|{target}', names)


def placer_of_service(view: state.ClusterState, service: str) -> str:
    """Returns the instance that assigns the slots of `service`."""
    return slots.best(f'placer|{service}', view.members)


def registrar_of_domain(view: state.ClusterState, failure_domain: str) -> str:
    """Returns the instance that registers a failure domain's targets."""
    names = members_of(view, failure_domain)
    return slots.best(f'registrar|{failure_domain}', names)


def snapshot_writer(view: state.ClusterState) -> str:
    """Returns the instance that writes snapshots of the state."""
    return slots.best('snapshots', view.members)


def members_of(view: state.ClusterState, failure_domain: str) -> list[str]:
    """Returns the instances of a failure domain, in alphabetical order."""
    return sorted(
        member.instance
        for member in view.members.values()
        if member.failure_domain == failure_domain
    )


def quota_home(
    view: state.ClusterState,
    organisation: str,
    limit: str,
) -> str:
    """Returns the instance that hands out an organisation's tokens."""
    return slots.best(f'quota|{organisation}|{limit}', view.members)
