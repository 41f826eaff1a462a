"""Spaces out reads of the store, so that calls don't grow with the fleet squared.

Each instance waits for news with a long poll, and each record ends the polls of
all instances at once: a series of records would cost a read an instance for each
of them. After a read with news an instance pauses, the longer the more instances
there are, and the next read brings all that came meanwhile. During the pause it
is told of news by its peers.
"""

import random
import typing

#: Instances that read at once without a pause: the reads of so few cost little.
UNPACED_INSTANCES: typing.Final = 24
#: Seconds of pause after a read with news, for each instance beyond these: a
#: fleet of 62 pauses half a second.
PAUSE_SECONDS_EACH: typing.Final = 0.0132
#: Bounds of that pause in seconds: a quarter of the two seconds within which a
#: configuration is to be in force, and the time for which a change of the list
#: of members may be unknown where nobody says hello.
MOST_OPERATOR_PAUSE: typing.Final = 0.5
MOST_MEMBER_PAUSE: typing.Final = 2.0
#: The list of members is read less often: instances greet one another directly.
MEMBER_PAUSE_FACTOR: typing.Final = 4.0
#: Seconds before a call is repeated that the store refused or did not answer;
#: they double with each failure in a row.
RETRY_SECONDS: typing.Final = 0.4
#: Most of them, where peers tell what the store doesn't.
MOST_RETRY_SECONDS: typing.Final = 3.2
#: Doublings after which the longest wait is reached for certain.
MOST_DOUBLINGS: typing.Final = 8
#: Each wait for a repeat is between this part of its length and all of it, since
#: a store that returns is asked by all at once otherwise.
LEAST_RETRY_PART: typing.Final = 0.75


def operator_pause(instances: int) -> float:
    """Returns the seconds between two reads of operators' records with news."""
    return min(_pause(instances), MOST_OPERATOR_PAUSE)


def member_pause(instances: int) -> float:
    """Returns the seconds between two reads of the list of members with news."""
    return min(_pause(instances) * MEMBER_PAUSE_FACTOR, MOST_MEMBER_PAUSE)


def retry_pause(failures: int, *, is_told_otherwise: bool) -> float:
    """Returns the seconds before a call is repeated.

    `failures` are those in a row, 1 after the first. Only an instance that is
    told by its peers what it asks for waits longer than after the first failure.
    """
    if not is_told_otherwise:
        return RETRY_SECONDS
    doublings = min(failures - 1, MOST_DOUBLINGS)
    seconds = min(RETRY_SECONDS * (1 << doublings), MOST_RETRY_SECONDS)
    return seconds * random.uniform(LEAST_RETRY_PART, 1)


def _pause(instances: int) -> float:
    return max(instances - UNPACED_INSTANCES, 0) * PAUSE_SECONDS_EACH
