"""Pairs of step and fault that no row proves yet; the tests print them.

Add a `Pending` in alphabetical order of the steps. A pair that has a row or an
exclusion must not stand here.
"""

import typing


class Pending(typing.NamedTuple):
    """Faults at a step that are not proved."""

    step: str
    faults: tuple[str, ...]


PENDING: typing.Final[tuple[Pending, ...]] = ()
