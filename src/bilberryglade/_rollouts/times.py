"""Classes of times of work, so that counts of them can be added."""

import math
import typing
from collections import abc

#: Upper bound of the first class in seconds, and the ratio of two neighbours.
FIRST_SECONDS: typing.Final = 0.002
RATIO: typing.Final = 1.25
#: Number of classes; the last one begins at some hours.
CLASSES: typing.Final = 72


def class_of(seconds: float) -> int:
    """Returns the number of the class of a time in seconds."""
    if seconds <= FIRST_SECONDS:
        return 0
    return min(math.ceil(math.log(seconds / FIRST_SECONDS, RATIO)), CLASSES - 1)


def median_of(counts: abc.Mapping[int, float]) -> int | None:
    """Returns the class of the median; None if nothing was counted."""
    half = sum(counts.values()) / 2
    passed: float = 0
    for number in sorted(counts):
        passed += counts[number]
        if passed >= half and passed:
            return number
    return None


def above(counts: abc.Mapping[int, float], limit: int) -> float:
    """Returns how many of the counted times are in classes above `limit`."""
    return sum(count for number, count in counts.items() if number > limit)
