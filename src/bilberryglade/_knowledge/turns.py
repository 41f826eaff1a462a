"""Decides when an instance reads the store though another one should read for it.

Each failure domain has readers of its own, since it may be cut off from the
others. The instances of a domain have their turns one after the other, so that
one of them reads and the others are told. All turns lie within a part of the
drain time: members that cannot be heard only let theirs pass.
"""

import typing
from collections import abc

from bilberryglade._values import spreading

#: Age of knowledge, in seconds, at the first turn. The coordinator's quiet relays
#: keep it younger.
FIRST_TURN_SECONDS: typing.Final = 1.0
#: Most that the first turn and the time of all turns may be of the drain time.
#: What is left of it is for the call, the relay and requests on their way.
FIRST_TURN_SHARE: typing.Final = 0.5
ALL_TURNS_SHARE: typing.Final = 0.2


def turn_age(
    own: str,
    near: abc.Iterable[str],
    topic: str,
    drain_seconds: float,
) -> float:
    """Returns the age of knowledge, in seconds, from which `own` reads `topic`.

    `near` are the other instances of its failure domain.
    """
    ranked = sorted((own, *near), key=lambda name: spreading.score(name, topic))
    first = min(FIRST_TURN_SECONDS, FIRST_TURN_SHARE * drain_seconds)
    place = ranked.index(own) / len(ranked)
    return first + ALL_TURNS_SHARE * drain_seconds * place
