"""The tokens that an entry holds of one quota, and its asks for more.

Tokens expire by the entry's own clock, counted from its ask: whatever delays
the answer, the home outlives every token that it gave.
"""

import typing

import immutables

from bilberryglade._limits import tokens

#: Demand of this many seconds is held ahead of need.
AHEAD_SECONDS: typing.Final = 0.05
#: Time constant of the demand's moving average.
DEMAND_SECONDS: typing.Final = 0.25
#: An ask without an answer for so long is taken for lost.
LOST_SECONDS: typing.Final = 0.02
#: Tokens are given back after so long without demand.
IDLE_SECONDS: typing.Final = 0.1


class Held(typing.NamedTuple):
    """Tokens of one grant."""

    sequence: int
    left: int
    used: int
    expires_at: float


class Closed(typing.NamedTuple):
    """The last report on a grant of which nothing is left."""

    settled: tokens.Settled
    #: Monotonic seconds from which the home needs no report.
    expires_at: float


class OpenAsk(typing.NamedTuple):
    """An ask that may yet be answered."""

    asked_at: float
    needed: int
    #: Grants whose end the ask reported.
    closing: tuple[int, ...]


class Holding(typing.NamedTuple):
    """Tokens in hand, open asks, and reports that are not confirmed."""

    entry: str
    token_seconds: float
    sequence: int = 0
    held: tuple[Held, ...] = ()
    asks: immutables.Map[int, OpenAsk] = immutables.Map()
    closed: immutables.Map[int, Closed] = immutables.Map()
    #: Requests a second, averaged.
    demand: float = 0
    demanded_at: float = 0


class Spent(typing.NamedTuple):
    """The holding after a request, and whether a token was there for it."""

    holding: Holding
    admitted: bool


class Asked(typing.NamedTuple):
    """The holding after an ask, and the ask to be sent."""

    holding: Holding
    ask: tokens.Ask


def demand(holding: Holding, now: float) -> Holding:
    """Takes note of a request, admitted or not."""
    elapsed = max(now - holding.demanded_at, 0)
    faded = holding.demand * max(1 - elapsed / DEMAND_SECONDS, 0)
    return holding._replace(
        demand=faded + 1 / DEMAND_SECONDS,
        demanded_at=now,
    )


def spend(holding: Holding, now: float) -> Spent:
    """Spends one token, the one that expires first."""
    holding = _without_expired(holding, now)
    if not holding.held:
        return Spent(holding, admitted=False)
    first = holding.held[0]
    first = first._replace(left=first.left - 1, used=first.used + 1)
    rest = holding.held[1:]
    if first.left:
        return Spent(holding._replace(held=(first, *rest)), admitted=True)
    spent = Closed(tokens.Settled(first.sequence, first.used), first.expires_at)
    closed = holding.closed.set(first.sequence, spent)
    return Spent(holding._replace(held=rest, closed=closed), admitted=True)


def ask(holding: Holding, needed: int, now: float) -> Asked:
    """Asks for tokens and reports what was spent."""
    sequence = holding.sequence + 1
    holding = _pruned(holding, now)
    reports = [row.settled for row in holding.closed.values()]
    reports.extend(
        tokens.Settled(held.sequence, held.used)
        for held in holding.held
        if held.used
    )
    opened = OpenAsk(now, needed, tuple(holding.closed))
    asked = holding._replace(
        sequence=sequence,
        asks=holding.asks.set(sequence, opened),
    )
    message = tokens.Ask(
        entry=holding.entry,
        sequence=sequence,
        needed=needed,
        extra=_extra(holding, now),
        settled=tuple(reports),
    )
    return Asked(asked, message)


def take(holding: Holding, grant: tokens.Grant, now: float) -> Holding:
    """Takes an answer; one to no open ask, such as a copy, adds nothing."""
    opened = holding.asks.get(grant.sequence)
    if opened is None:
        return holding
    closed = holding.closed
    for sequence in opened.closing:
        if sequence in closed:
            closed = closed.delete(sequence)
    holding = holding._replace(
        asks=holding.asks.delete(grant.sequence),
        closed=closed,
    )
    expires_at = opened.asked_at + holding.token_seconds
    if not grant.amount or expires_at <= now:
        return holding
    held = Held(grant.sequence, grant.amount, 0, expires_at)
    ordered = sorted((*holding.held, held), key=_expiry)
    return holding._replace(held=tuple(ordered))


def give_back(holding: Holding, now: float) -> Holding:
    """Gives up all tokens in hand; the next ask returns them."""
    holding = _without_expired(holding, now)
    closed = holding.closed
    for held in holding.held:
        settled = tokens.Settled(held.sequence, held.used, held.left)
        closed = closed.set(held.sequence, Closed(settled, held.expires_at))
    return holding._replace(held=(), closed=closed)


def left(holding: Holding, now: float) -> int:
    """Returns how many tokens can be spent."""
    return sum(held.left for held in holding.held if held.expires_at > now)


def is_asking(holding: Holding, now: float) -> bool:
    """Tells whether an answer may still be on its way."""
    return any(
        now - opened.asked_at < LOST_SECONDS for opened in holding.asks.values()
    )


def runs_low(holding: Holding, now: float) -> bool:
    """Tells whether it is time to ask ahead of need."""
    wanted = int(holding.demand * AHEAD_SECONDS)
    return left(holding, now) < wanted / 2


def is_idle(holding: Holding, now: float) -> bool:
    """Tells whether tokens lie in hand without demand."""
    return bool(holding.held) and now - holding.demanded_at > IDLE_SECONDS


def _extra(holding: Holding, now: float) -> int:
    if now - holding.demanded_at > IDLE_SECONDS:
        return 0
    wanted = int(holding.demand * AHEAD_SECONDS)
    return max(wanted - left(holding, now), 0)


def _pruned(holding: Holding, now: float) -> Holding:
    asks = {
        sequence: opened
        for sequence, opened in holding.asks.items()
        if now - opened.asked_at < holding.token_seconds
    }
    closed = {
        sequence: row
        for sequence, row in holding.closed.items()
        if row.expires_at > now
    }
    return holding._replace(
        asks=immutables.Map(asks),
        closed=immutables.Map(closed),
    )


def _without_expired(holding: Holding, now: float) -> Holding:
    if not holding.held or holding.held[0].expires_at > now:
        return holding
    live = tuple(held for held in holding.held if held.expires_at > now)
    return holding._replace(held=live)


def _expiry(held: Held) -> float:
    return held.expires_at
