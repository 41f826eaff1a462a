"""The one decision whether a request is tried again.

Only a request that was not run, or one of unknown outcome that may be
repeated, is tried again, within the caller's deadline and a budget.
"""

import typing

from bilberryglade._values import outcomes

MAX_ATTEMPTS: typing.Final = 4
#: Tokens that each new request adds to the budget: the share of retries.
RETRY_SHARE: typing.Final = 0.1
BUDGET_BURST: typing.Final = 20.0
FIRST_WAIT_SECONDS: typing.Final = 0.01
LONGEST_WAIT_SECONDS: typing.Final = 0.2
#: Time that a further attempt needs at the least.
LEAST_LEFT_SECONDS: typing.Final = 0.005
DEFAULT_RETRY_AFTER_MS: typing.Final = 1000

#: The owner or its leader is just changing; nothing was sent to a target.
MOVING: typing.Final = frozenset(
    (outcomes.Reason.not_leader, outcomes.Reason.no_owner),
)
#: Another attempt at the same place may succeed.
PASSING: typing.Final = frozenset(
    (
        outcomes.Reason.target_unreachable,
        outcomes.Reason.target_refused,
        outcomes.Reason.peer_unreachable,
        outcomes.Reason.answer_lost,
    ),
)
#: Only another place can help.
CROWDED: typing.Final = frozenset((outcomes.Reason.queue_full,))
RETRY_AFTER_REASONS: typing.Final = (
    MOVING
    | PASSING
    | CROWDED
    | {outcomes.Reason.intent_not_recorded, outcomes.Reason.stopping}
)


class Budget(typing.NamedTuple):
    """Token bucket that bounds retries to a share of requests."""

    tokens: float = BUDGET_BURST


class Situation(typing.NamedTuple):
    """What an attempt came to, and what is left."""

    outcome: outcomes.Outcome
    repeatable: bool
    #: Whether a target that was not tried yet may serve the request.
    elsewhere: bool
    #: Attempts made so far, this one included.
    attempts: int
    #: Seconds until the caller gives up.
    left_seconds: float


class Retry(typing.NamedTuple):
    """Try again after a wait."""

    after_seconds: float
    budget: Budget


class Answer(typing.NamedTuple):
    """Tell the caller."""

    outcome: outcomes.Outcome


Decision: typing.TypeAlias = Retry | Answer


def earn(budget: Budget) -> Budget:
    """Returns the budget after a new request."""
    return Budget(min(budget.tokens + RETRY_SHARE, BUDGET_BURST))


def decide(situation: Situation, budget: Budget) -> Decision:
    """Decides whether to try again."""
    outcome = situation.outcome
    if isinstance(outcome, outcomes.Answered):
        return Answer(outcome)
    wait = _wait_seconds(situation.attempts)
    if wait + LEAST_LEFT_SECONDS > situation.left_seconds:
        return _final(outcome)
    if not _may_run_again(outcome, situation.repeatable):
        return _final(outcome)
    if outcome.reason in MOVING:
        return Retry(wait, budget)
    if not _may_succeed(situation, outcome.reason) or budget.tokens < 1:
        return _final(outcome)
    spent = Budget(budget.tokens - 1)
    return Retry(0 if situation.elsewhere else wait, spent)


def _may_run_again(
    outcome: outcomes.NotRun | outcomes.Unknown,
    repeatable: bool,
) -> bool:
    return repeatable or isinstance(outcome, outcomes.NotRun)


def _may_succeed(situation: Situation, reason: outcomes.Reason) -> bool:
    if situation.attempts >= MAX_ATTEMPTS:
        return False
    if reason in CROWDED:
        return situation.elsewhere
    return reason in PASSING


def _wait_seconds(attempts: int) -> float:
    doublings = min(attempts - 1, 10)
    wait: float = FIRST_WAIT_SECONDS * 2**doublings
    return min(wait, LONGEST_WAIT_SECONDS)


def _final(outcome: outcomes.NotRun | outcomes.Unknown) -> Answer:
    if not isinstance(outcome, outcomes.NotRun) or outcome.retry_after_ms:
        return Answer(outcome)
    if outcome.reason not in RETRY_AFTER_REASONS:
        return Answer(outcome)
    return Answer(outcome._replace(retry_after_ms=DEFAULT_RETRY_AFTER_MS))
