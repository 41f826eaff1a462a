"""Marks by which the answer to a call is known from answers to others."""

import typing

from bilberryglade._values import outcomes


class Marks(typing.NamedTuple):
    """What the heads of all answers to a call have in common."""

    #: Header that an answer bears exactly once; None if nothing is echoed.
    echoed: outcomes.Header | None = None
    #: Names of headers that only answers to other calls bear.
    foreign: frozenset[str] = frozenset()
    #: Statuses with which it is answered; empty if any.
    statuses: frozenset[int] = frozenset()


def are_own(
    marked: Marks,
    status: int,
    headers: tuple[outcomes.Header, ...],
) -> bool:
    """Tells whether an answer with this head may belong to the call."""
    if marked.statuses and status not in marked.statuses:
        return False
    if any(header.name in marked.foreign for header in headers):
        return False
    if marked.echoed is None:
        return True
    echoes = [header for header in headers if header.name == marked.echoed.name]
    return echoes == [marked.echoed]
