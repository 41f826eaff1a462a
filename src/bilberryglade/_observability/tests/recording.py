"""Lines that code under test writes."""

import typing
import unittest

import loguru


class Recorded(typing.NamedTuple):
    """One line."""

    event: str
    fields: dict[str, typing.Any]


def record(case: unittest.TestCase) -> list[Recorded]:
    """Returns the list to which all lines are added until `case` ends."""
    lines: list[Recorded] = []
    number = loguru.logger.add(
        lambda message: lines.append(
            Recorded(message.record['message'], message.record['extra'])
        )
    )
    case.addCleanup(loguru.logger.remove, number)
    return lines
