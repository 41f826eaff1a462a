"""What an answer of the store says of its era: decisions as pure functions."""

import enum
import re
import typing

from bilberryglade._values import stored

#: What an era consists of in a header; `int` takes signs, spaces and more.
NUMBER: typing.Final = re.compile('[0-9]{1,9}')


class Fault(enum.StrEnum):
    """What is wrong with the era in an answer of the store."""

    #: Lower than the era known, though the call began in the era known.
    falls = 'falls'
    #: Not given, though the store has given it before.
    missing = 'missing'
    #: Not a number, or one above `stored.MAX_ERA`.
    invalid = 'invalid'


class Reason(enum.StrEnum):
    """Why the era rose."""

    #: An answer of the store names a higher one.
    named = 'named'
    #: A topic ends before an end that the store had told earlier.
    lower_end = 'lower_end'
    #: Another instance knows a higher one.
    told = 'told'


class Known(typing.NamedTuple):
    """What an instance knows of the store's era."""

    era: int = 0
    #: Whether the store has named its era in any answer.
    is_named: bool = False


class Heard(typing.NamedTuple):
    """The outcome of one answer."""

    known: Known
    fault: Fault | None = None
    #: Whether the answer is from an era that has ended since the call began.
    is_late: bool = False


def hear(known: Known, named: str | None, asked_in: int) -> Heard:
    """Takes in the era in an answer of the store to a call.

    `named` is the text of the header, None without one; `asked_in` is the era
    known when the call began. An answer without a valid era counts as one of the
    era that was known when the call began.
    """
    if named is None:
        fault = Fault.missing if known.is_named else None
        return Heard(known, fault, asked_in < known.era)
    if not NUMBER.fullmatch(named) or int(named) > stored.MAX_ERA:
        return Heard(known, Fault.invalid, asked_in < known.era)
    era = int(named)
    if era >= known.era:
        return Heard(Known(era, is_named=True))
    if asked_in < known.era:
        return Heard(known, is_late=True)
    return Heard(known._replace(is_named=True), Fault.falls)


def hear_told(known: Known, era: int) -> Known:
    """Takes in the era of a position that another instance has sent."""
    return known._replace(era=max(known.era, min(era, stored.MAX_ERA)))


def hear_end(known: Known, end: int, earlier: stored.Position) -> Known:
    """Takes in at which offset a topic ends, by an answer in the era known.

    `earlier` is the end that was told before the call began. A topic only grows,
    so a lower end in the same era shows that the store has come back older,
    though its era has not risen. A store that never names an era is taken at its
    word.
    """
    has_shrunk = earlier.era == known.era and end < earlier.offset
    if not has_shrunk or not known.is_named or known.era >= stored.MAX_ERA:
        return known
    return known._replace(era=known.era + 1)


def may_claim_at(risen_at: float, lease_seconds: float) -> float:
    """Returns from when on the coordinator's lease may be claimed, in seconds.

    Claims of the era before are gone, and restored ones say nothing of who has
    renewed since. No claim was taken by the store in the era before after the
    new era was first heard of here at `risen_at`, so all have ended a lease
    later.
    """
    return risen_at + lease_seconds
