"""Decides whether a request is tried again.

Only a request that was not run, or one of unknown outcome that may be
repeated, is tried again, within the caller's deadline and a retry budget.
"""

import typing

from bilberryglade._values import outcomes

MAX_ATTEMPTS: typing.Final = 4
#: Tokens that each new request adds to the budget: the share of requests that
#: may be retried.
RETRY_TOKENS_PER_REQUEST: typing.Final = 0.1
BUDGET_BURST_TOKENS: typing.Final = 20.0
INITIAL_BACKOFF_SECONDS: typing.Final = 0.01
MAX_BACKOFF_SECONDS: typing.Final = 0.2
#: Time that must remain until the deadline for another attempt to start.
MIN_ATTEMPT_SECONDS: typing.Final = 0.005
#: Sent to a caller when the refusal itself gives no time for a retry.
DEFAULT_RETRY_AFTER_MS: typing.Final = 1000

#: The owner or its leader is changing; nothing was sent to a target.
OWNER_CHANGE_REASONS: typing.Final = frozenset(
    (outcomes.Reason.not_leader, outcomes.Reason.no_owner),
)
#: Another attempt at the same target may succeed.
TRANSIENT_REASONS: typing.Final = frozenset(
    (
        outcomes.Reason.target_unreachable,
        outcomes.Reason.target_refused,
        outcomes.Reason.peer_unreachable,
        outcomes.Reason.answer_lost,
    ),
)
#: Only an attempt at another target may succeed.
OVERLOAD_REASONS: typing.Final = frozenset((outcomes.Reason.queue_full,))
#: Refusals that get a retry-after time, as a later request may succeed.
RETRY_AFTER_REASONS: typing.Final = (
    OWNER_CHANGE_REASONS
    | TRANSIENT_REASONS
    | OVERLOAD_REASONS
    | {outcomes.Reason.intent_not_recorded, outcomes.Reason.stopping}
)


class Budget(typing.NamedTuple):
    """Token bucket that bounds retries to a share of requests."""

    tokens: float = BUDGET_BURST_TOKENS


class AttemptResult(typing.NamedTuple):
    """The outcome of an attempt, and what limits another one."""

    outcome: outcomes.Outcome
    repeatable: bool
    #: Whether a target that was not tried yet may serve the request.
    has_untried_target: bool
    #: Attempts made so far, this one included.
    attempts: int
    #: Seconds until the caller's deadline.
    remaining_seconds: float


class Retry(typing.NamedTuple):
    """The decision to try again after a wait."""

    after_seconds: float
    budget: Budget


class ReturnOutcome(typing.NamedTuple):
    """The decision to return the outcome to the caller."""

    outcome: outcomes.Outcome


Decision: typing.TypeAlias = Retry | ReturnOutcome


def refill(budget: Budget) -> Budget:
    """Returns the retry budget after one more new request."""
    return Budget(
        min(budget.tokens + RETRY_TOKENS_PER_REQUEST, BUDGET_BURST_TOKENS)
    )


def decide(attempt_result: AttemptResult, budget: Budget) -> Decision:
    """Decides whether to try again after the attempt that just ended."""
    outcome = attempt_result.outcome
    if isinstance(outcome, outcomes.Answered):
        return ReturnOutcome(outcome)
    wait = _backoff_seconds(attempt_result.attempts)
    if wait + MIN_ATTEMPT_SECONDS > attempt_result.remaining_seconds:
        return _final(outcome)
    if not _may_run_again(outcome, attempt_result.repeatable):
        return _final(outcome)
    if outcome.reason in OWNER_CHANGE_REASONS:
        return Retry(wait, budget)
    if not _may_succeed(attempt_result, outcome.reason) or budget.tokens < 1:
        return _final(outcome)
    spent = Budget(budget.tokens - 1)
    return Retry(0 if attempt_result.has_untried_target else wait, spent)


def _may_run_again(
    outcome: outcomes.NotRun | outcomes.Unknown,
    repeatable: bool,
) -> bool:
    return repeatable or isinstance(outcome, outcomes.NotRun)


def _may_succeed(
    attempt_result: AttemptResult, reason: outcomes.Reason
) -> bool:
    if attempt_result.attempts >= MAX_ATTEMPTS:
        return False
    if reason in OVERLOAD_REASONS:
        return attempt_result.has_untried_target
    return reason in TRANSIENT_REASONS


def _backoff_seconds(attempts: int) -> float:
    doublings = min(attempts - 1, 10)
    wait: float = INITIAL_BACKOFF_SECONDS * 2**doublings
    return min(wait, MAX_BACKOFF_SECONDS)


def _final(outcome: outcomes.NotRun | outcomes.Unknown) -> ReturnOutcome:
    """Returns `outcome`, with a default retry-after time where one helps."""
    if not isinstance(outcome, outcomes.NotRun) or outcome.retry_after_ms:
        return ReturnOutcome(outcome)
    if outcome.reason not in RETRY_AFTER_REASONS:
        return ReturnOutcome(outcome)
    return ReturnOutcome(
        outcome._replace(retry_after_ms=DEFAULT_RETRY_AFTER_MS)
    )
