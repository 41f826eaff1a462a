"""Marks by which the answer to a call is known from answers to others."""

import typing

from bilberryglade._values import outcomes


class Marks(typing.NamedTuple):
    """What the headers of each answer to a call have in common."""

    #: Header that an answer bears exactly once; None if nothing is echoed.
    echoed: outcomes.Header | None = None
    #: Names of headers that only answers to other calls bear.
    foreign: frozenset[str] = frozenset()


def are_own(marked: Marks, headers: tuple[outcomes.Header, ...]) -> bool:
    """Tells whether an answer with these headers may belong to the call."""
    if any(header.name in marked.foreign for header in headers):
        return False
    if marked.echoed is None:
        return True
    echoes = [header for header in headers if header.name == marked.echoed.name]
    return echoes == [marked.echoed]
