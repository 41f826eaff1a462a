"""What became of a request: answered, not run, or unknown."""

import enum
import typing
from collections import abc


class Header(typing.NamedTuple):
    """One HTTP header; the name is in lower case."""

    name: str
    text: str


class Reason(enum.StrEnum):
    """Why a request has no answer from a target."""

    no_route = 'no_route'
    no_credentials = 'no_credentials'
    key_unconfirmed = 'key_unconfirmed'
    not_allowed = 'not_allowed'
    key_missing = 'key_missing'
    over_rate = 'over_rate'
    rate_unconfirmed = 'rate_unconfirmed'
    idempotency_key_missing = 'idempotency_key_missing'
    bad_request = 'bad_request'
    key_withdrawn = 'key_withdrawn'
    no_owner = 'no_owner'
    not_leader = 'not_leader'
    queue_full = 'queue_full'
    deadline = 'deadline'
    target_unreachable = 'target_unreachable'
    target_refused = 'target_refused'
    peer_unreachable = 'peer_unreachable'
    answer_lost = 'answer_lost'
    already_tried = 'already_tried'
    intent_not_recorded = 'intent_not_recorded'
    idempotency_key_reused = 'idempotency_key_reused'
    quarantined = 'quarantined'
    stopping = 'stopping'
    too_large = 'too_large'
    no_knowledge = 'no_knowledge'
    cold = 'cold'
    not_owner = 'not_owner'
    keys_moving = 'keys_moving'
    retry_budget = 'retry_budget'
    caller_gone = 'caller_gone'
    not_understood = 'not_understood'
    held_off = 'held_off'


#: Bounds of the statuses that end an exchange; those below are interim.
LEAST_FINAL_STATUS: typing.Final = 200
MOST_FINAL_STATUS: typing.Final = 599


class Answered(typing.NamedTuple):
    """A target's whole answer."""

    #: HTTP status that the target gave.
    status: int
    headers: tuple[Header, ...]
    body: bytes


class NotRun(typing.NamedTuple):
    """No byte reached a target, or the target refused before it started."""

    reason: Reason
    #: Milliseconds after which another try may succeed; 0 if none is known.
    retry_after_ms: int = 0


class Unknown(typing.NamedTuple):
    """The request may have run: it was sent and no whole answer came back."""

    reason: Reason


Outcome: typing.TypeAlias = Answered | NotRun | Unknown


def is_final(status: int) -> bool:
    """Returns whether a number is the status of a final answer (RFC 9110)."""
    return LEAST_FINAL_STATUS <= status <= MOST_FINAL_STATUS


def after_all(sends: abc.Sequence[Outcome], own: Outcome) -> Outcome:
    """Returns what became of a request by all its sends, given in order.

    It has certainly not run only if that holds for each of them; otherwise the
    last answer stands, or the last loss if there was no answer. `own` is what
    the router itself decided, and stands if nothing was sent.
    """
    for kind in (Answered, Unknown):
        found = [outcome for outcome in sends if isinstance(outcome, kind)]
        if found:
            return found[-1]
    return sends[-1] if sends else own
