"""Former members that the platform does not list any more.

A process that was lost can no longer confirm that it has folded a change. The
platform's list lags, but it does not leave out a running process for longer
than a stated time; a process that is missing for longer has ended.
"""

import typing
from collections import abc

import immutables

from bilberryglade._state import state


class ListedInstance(typing.NamedTuple):
    """An instance as the platform lists it."""

    instance: str
    peer_address: str


class Absences(typing.NamedTuple):
    """Since when each former member is missing from the list."""

    #: Monotonic seconds by the offset of the member's join.
    since: immutables.Map[int, float] = immutables.Map()


def look(
    absences: Absences,
    former: abc.Iterable[state.Member],
    listed: frozenset[ListedInstance],
    now: float,
) -> Absences:
    """Returns the absences after a read of the list at `now`."""
    since = {
        member.joined_at: absences.since.get(member.joined_at, now)
        for member in former
        if ListedInstance(member.instance, member.peer_address) not in listed
    }
    return Absences(immutables.Map(since))


def ended(absences: Absences, lag_seconds: float, now: float) -> list[int]:
    """Returns the joins of former members that have certainly ended."""
    return sorted(
        joined_at
        for joined_at, since in absences.since.items()
        if now - since > lag_seconds
    )


def former_members(
    view: state.ClusterState,
    failure_domain: str,
) -> list[state.Member]:
    """Returns lost processes of a failure domain that may still have votes."""
    current = {member.joined_at for member in view.members.values()}
    known = {
        member.joined_at: member
        for epoch in view.epochs
        for member in epoch.members.values()
        if member.failure_domain == failure_domain
    }
    return [
        member
        for joined_at, member in sorted(known.items())
        if joined_at not in current and joined_at not in view.departed
    ]
