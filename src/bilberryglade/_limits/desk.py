"""Admission at an entry for one quota: who passes, who waits, who is refused.

Each function takes a desk, an event and the time, and returns the desk after
it with the effects that the loop has to perform.
"""

import typing

from bilberryglade._limits import holding as holdings, tokens
from bilberryglade._values import outcomes

#: A caller waits at most so long for a token.
WAIT_SECONDS: typing.Final = 0.06
#: Callers wait for a token that the rate yields within so long.
PATIENCE_SECONDS: typing.Final = 0.02
#: Longest time for which refusals need no new answer of the home.
SHUT_SECONDS: typing.Final = 0.25
#: Shortest time between an answer that was too small and the next ask.
RETRY_SECONDS: typing.Final = 0.001
MILLISECONDS: typing.Final = 1000


class Waiter(typing.NamedTuple):
    """A caller that waits for a token."""

    number: int
    #: Monotonic seconds until which it waits.
    until: float


class Admit(typing.NamedTuple):
    """The caller's request may run."""

    number: int


class Refuse(typing.NamedTuple):
    """The caller's request may not run."""

    number: int
    outcome: outcomes.NotRun


class Send(typing.NamedTuple):
    """An ask goes to the quota's home."""

    ask: tokens.Ask


Effect: typing.TypeAlias = Admit | Refuse | Send


class Desk(typing.NamedTuple):
    """What an entry knows of one quota."""

    holding: holdings.Holding
    waiting: tuple[Waiter, ...] = ()
    #: Monotonic seconds before which no token can be had.
    retry_at: float = float('-inf')
    #: Callers that come before this are refused at once.
    shut_until: float = float('-inf')
    #: Whether the newest answer came from the quota's home.
    confirmed: bool = False


class Step(typing.NamedTuple):
    """A desk after an event, and what is to be done."""

    desk: Desk
    effects: tuple[Effect, ...]


def arrive(
    desk: Desk,
    number: int,
    limit: tokens.Limit,
    now: float,
) -> Step:
    """Takes a caller called `number`."""
    holding = holdings.demand(desk.holding, now)
    desk = desk._replace(holding=holding)
    if not desk.waiting:
        spent = holdings.spend(holding, now)
        desk = desk._replace(holding=spent.holding)
        if spent.admitted:
            return _asking_ahead(Step(desk, (Admit(number),)), now)
    is_full = len(desk.waiting) >= limit.burst + _patient(limit)
    if now < desk.shut_until or is_full:
        return Step(desk, (_refusal(desk, number, now),))
    waiter = Waiter(number, now + WAIT_SECONDS)
    return _asking(
        Step(desk._replace(waiting=(*desk.waiting, waiter)), ()),
        now,
    )


def granted(
    desk: Desk,
    grant: tokens.Grant,
    limit: tokens.Limit,
    now: float,
) -> Step:
    """Takes an answer and serves those who wait."""
    opened = desk.holding.asks.get(grant.sequence)
    if opened is None:
        return Step(desk, ())
    holding = holdings.take(desk.holding, grant, now)
    desk = desk._replace(holding=holding, confirmed=grant.confirmed)
    step = _served(desk, now)
    if grant.amount < opened.needed:
        step = _held_back(step, grant, limit, now)
    return _asking(step, now)


def tick(desk: Desk, now: float) -> Step:
    """Ends waits, returns idle tokens, asks again after a lost answer."""
    expired = [waiter for waiter in desk.waiting if waiter.until <= now]
    effects = tuple(_refusal(desk, waiter.number, now) for waiter in expired)
    waiting = tuple(waiter for waiter in desk.waiting if waiter.until > now)
    desk = desk._replace(waiting=waiting)
    if holdings.is_idle(desk.holding, now):
        desk = desk._replace(holding=holdings.give_back(desk.holding, now))
    return _asking(Step(desk, effects), now)


def withdraw(desk: Desk, number: int) -> Desk:
    """Forgets a caller that went away."""
    waiting = tuple(row for row in desk.waiting if row.number != number)
    return desk._replace(waiting=waiting)


def wake_at(desk: Desk) -> float:
    """Returns when `tick` is due, infinity if nothing waits."""
    if not desk.waiting:
        return float('inf')
    lost = max(
        (
            opened.asked_at + holdings.LOST_SECONDS
            for opened in desk.holding.asks.values()
        ),
        default=desk.retry_at,
    )
    return min(desk.waiting[0].until, max(lost, desk.retry_at))


def _served(desk: Desk, now: float) -> Step:
    effects: list[Effect] = []
    while desk.waiting:
        spent = holdings.spend(desk.holding, now)
        desk = desk._replace(holding=spent.holding)
        if not spent.admitted:
            break
        effects.append(Admit(desk.waiting[0].number))
        desk = desk._replace(waiting=desk.waiting[1:])
    return Step(desk, tuple(effects))


def _held_back(
    step: Step,
    grant: tokens.Grant,
    limit: tokens.Limit,
    now: float,
) -> Step:
    seconds = min(max(grant.retry_seconds, RETRY_SECONDS), SHUT_SECONDS)
    desk = step.desk._replace(retry_at=now + seconds)
    kept = _patient(limit) if grant.retry_seconds <= PATIENCE_SECONDS else 0
    if not kept:
        desk = desk._replace(shut_until=now + seconds)
    refused = tuple(
        _refusal(desk, waiter.number, now) for waiter in desk.waiting[kept:]
    )
    return Step(
        desk._replace(waiting=desk.waiting[:kept]),
        step.effects + refused,
    )


def _asking(step: Step, now: float) -> Step:
    desk = step.desk
    is_due = bool(desk.waiting) and now >= desk.retry_at
    if not is_due and not desk.holding.closed:
        return step
    return _sent(step, now)


def _asking_ahead(step: Step, now: float) -> Step:
    desk = step.desk
    if now < desk.retry_at or not holdings.runs_low(desk.holding, now):
        return _asking(step, now)
    return _sent(step, now)


def _sent(step: Step, now: float) -> Step:
    desk = step.desk
    if holdings.is_asking(desk.holding, now):
        return step
    asked = holdings.ask(desk.holding, len(desk.waiting), now)
    return Step(
        desk._replace(holding=asked.holding),
        (*step.effects, Send(asked.ask)),
    )


def _patient(limit: tokens.Limit) -> int:
    return 1 + int(limit.rate * PATIENCE_SECONDS)


def _refusal(desk: Desk, number: int, now: float) -> Refuse:
    reason = outcomes.Reason.rate_unconfirmed
    if desk.confirmed:
        reason = outcomes.Reason.over_rate
    seconds = max(desk.retry_at - now, 0)
    retry_after_ms = max(int(seconds * MILLISECONDS), 1)
    return Refuse(number, outcomes.NotRun(reason, retry_after_ms))
