"""The order of positions, and what an answer says of the era."""

import json
import typing
import unittest

import hypothesis
from hypothesis import strategies

from bilberryglade._era import eras
from bilberryglade._ownership import ranges
from bilberryglade._values import stored

POSITIONS: typing.Final = strategies.builds(
    stored.Position,
    strategies.integers(0, stored.MAX_ERA),
    strategies.integers(0, stored.OFFSETS_PER_ERA - 1),
)
#: What is known, the header, the era in which the call began, and the outcome.
Case: typing.TypeAlias = tuple[eras.Known, str | None, int, eras.Heard]
KNOWN: typing.Final = eras.Known(3, is_named=True)
RISEN: typing.Final = eras.Known(4, is_named=True)


class PositionTests(unittest.TestCase):
    """Packed positions stand for the tuples everywhere."""

    @hypothesis.given(POSITIONS, POSITIONS)
    def test_order_is_that_of_the_tuples(
        self, one: stored.Position, other: stored.Position
    ) -> None:
        """A record of a later era is never taken for an earlier one."""
        self.assertEqual(one < other, one.packed < other.packed)
        self.assertEqual(stored.position_of(one.packed), one)

    def test_positions_of_the_first_era_are_offsets(self) -> None:
        """A store that never names an era is served as before."""
        for offset in (-1, 0, 7, stored.OFFSETS_PER_ERA - 1):
            with self.subTest(offset=offset):
                self.assertEqual(stored.Position(0, offset).packed, offset)
                self.assertEqual(stored.era_of(offset), 0)

    def test_fences_stay_exact_in_json(self) -> None:
        """A target that reads numbers as floats sees fences as they are."""
        last = stored.Position(stored.MAX_ERA, stored.OFFSETS_PER_ERA - 1)
        fence = ranges.fence_at(last.packed)
        for exact in (fence, fence - 1):
            read = json.loads(json.dumps(exact), parse_int=float)
            self.assertEqual(int(read), exact)


class HearTests(unittest.TestCase):
    """One answer of the store at a time, to a call begun in an era."""

    CASES: typing.Final[tuple[Case, ...]] = (
        (eras.Known(), None, 0, eras.Heard(eras.Known())),
        (eras.Known(), '0', 0, eras.Heard(eras.Known(0, is_named=True))),
        (KNOWN, '3', 3, eras.Heard(KNOWN)),
        (KNOWN, '4', 3, eras.Heard(RISEN)),
        (KNOWN, '2', 3, eras.Heard(KNOWN, eras.Fault.falls)),
        (KNOWN, '2', 2, eras.Heard(KNOWN, is_late=True)),
        (KNOWN, None, 3, eras.Heard(KNOWN, eras.Fault.missing)),
        (KNOWN, None, 2, eras.Heard(KNOWN, eras.Fault.missing, is_late=True)),
        (KNOWN, '', 3, eras.Heard(KNOWN, eras.Fault.invalid)),
        (KNOWN, '-4', 3, eras.Heard(KNOWN, eras.Fault.invalid)),
        (KNOWN, '4.0', 3, eras.Heard(KNOWN, eras.Fault.invalid)),
        (KNOWN, '4, 4', 3, eras.Heard(KNOWN, eras.Fault.invalid)),
        (KNOWN, '4096', 3, eras.Heard(KNOWN, eras.Fault.invalid)),
        (KNOWN, '9' * 30, 3, eras.Heard(KNOWN, eras.Fault.invalid)),
    )

    def test_answers(self) -> None:
        """No fault in the header lowers the era or stops the service."""
        for known, named, asked_in, heard in self.CASES:
            with self.subTest(named=named, asked_in=asked_in):
                self.assertEqual(eras.hear(known, named, asked_in), heard)

    def test_lower_end(self) -> None:
        """A store that went back under the same era is noticed by its ends."""
        earlier = stored.Position(3, 50)
        self.assertEqual(eras.hear_end(KNOWN, 49, earlier), RISEN)
        self.assertEqual(eras.hear_end(KNOWN, 50, earlier), KNOWN)
        self.assertEqual(eras.hear_end(RISEN, 49, earlier), RISEN)
        silent = eras.Known()
        first = stored.Position(0, 50)
        self.assertEqual(eras.hear_end(silent, 49, first), silent)

    def test_era_told_by_others(self) -> None:
        """An instance that reads nothing learns of it; none makes it fall."""
        self.assertEqual(eras.hear_told(KNOWN, 4), RISEN)
        self.assertEqual(eras.hear_told(KNOWN, 2), KNOWN)
        self.assertEqual(
            eras.hear_told(KNOWN, stored.MAX_ERA + 1).era, stored.MAX_ERA
        )
