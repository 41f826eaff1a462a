"""Times as the platform writes them: a number and its unit."""

import math
import typing

UNITS: typing.Final = (('ms', 0.001), ('s', 1.0))


def seconds_of(text: str) -> float:
    """Returns the seconds that `1500ms` or `2.5s` stands for.

    Raises `ValueError` for any other text.
    """
    for unit, scale in UNITS:
        if text.endswith(unit):
            seconds = float(text[: -len(unit)]) * scale
            if math.isfinite(seconds):
                return seconds
    raise ValueError(f'{text!r} is not a number with the unit ms or s')


def text_of(seconds: float) -> str:
    """Returns `seconds` in whole milliseconds, rounded down."""
    return f'{int(seconds * 1000)}ms'
