"""At most once: what a leader knows of requests that their callers named.

An intent is an attempt, named by the digest of its request and the record
that holds it. It is open until a release of that very record says that the
attempt never ran. Intents and releases may be folded in any order.
"""

import typing

import immutables

from bilberryglade._values import outcomes
from bilberryglade_schema import records

#: Intents of a service that a leader remembers; older ones are forgotten.
WINDOW_INTENTS: typing.Final = 65_536
#: Answers of a service that a leader keeps for repeats, in bytes of body.
WINDOW_ANSWER_BYTES: typing.Final = 8_388_608
WINDOW_ANSWERS: typing.Final = 4096


class Attempt(typing.NamedTuple):
    """An attempt, unique in the whole intent stream."""

    digest: str
    #: Id of the record that holds the intent.
    record: str


class Tenure(typing.NamedTuple):
    """A time in which one instance leads a slot without interruption."""

    #: Fence under which the slot is served.
    fence: int
    #: Offset of the newest change from which leaders are derived.
    topology_changed_at: int


class AdmittedRequest(typing.NamedTuple):
    """A request that this leader admitted: in progress, or answered."""

    #: Digest of what the request says, to tell a repeat from another one.
    fingerprint: str
    answer: outcomes.Answered | None = None


class Ledger(typing.NamedTuple):
    """Intents of one service, folded from its stream and seen here."""

    #: Open attempts by the digest of the request.
    attempts: immutables.Map[str, frozenset[str]] = immutables.Map()
    #: Every attempt in the order in which it became known.
    order: immutables.Map[int, Attempt] = immutables.Map()
    #: Releases whose intent is not known yet, or which came first.
    released: immutables.Map[Attempt, bool] = immutables.Map()
    first_index: int = 0
    next_index: int = 0
    admitted: immutables.Map[str, AdmittedRequest] = immutables.Map()
    #: Digests of kept answers, oldest first.
    answered: tuple[str, ...] = ()
    answer_bytes: int = 0


class RecordAndRun(typing.NamedTuple):
    """Record an intent, then run the request."""


class AwaitAttempt(typing.NamedTuple):
    """Wait for the outcome of the attempt in progress."""


class Reply(typing.NamedTuple):
    """Tell the caller without running anything."""

    outcome: outcomes.Outcome


class ArrivalDecision(typing.NamedTuple):
    """The ledger after a request came, and what is to be done."""

    ledger: Ledger
    action: RecordAndRun | AwaitAttempt | Reply


def on_arrival(
    ledger: Ledger, digest: str, fingerprint: str
) -> ArrivalDecision:
    """Decides about a request that its caller has named."""
    known_request = ledger.admitted.get(digest)
    if known_request is not None:
        return ArrivalDecision(
            ledger, _action_for_repeat(known_request, fingerprint)
        )
    if ledger.attempts.get(digest):
        already_tried = outcomes.Unknown(outcomes.Reason.already_tried)
        return ArrivalDecision(ledger, Reply(already_tried))
    admitted = ledger.admitted.set(digest, AdmittedRequest(fingerprint))
    return ArrivalDecision(ledger._replace(admitted=admitted), RecordAndRun())


def on_recorded(ledger: Ledger, attempt: Attempt) -> Ledger:
    """Takes in an intent, read from the stream or acknowledged by the log."""
    open_records = ledger.attempts.get(attempt.digest, frozenset())
    if attempt in ledger.released or attempt.record in open_records:
        return ledger
    return _trim_attempts(
        ledger._replace(
            attempts=ledger.attempts.set(
                attempt.digest,
                open_records | {attempt.record},
            ),
            order=ledger.order.set(ledger.next_index, attempt),
            next_index=ledger.next_index + 1,
        ),
    )


def on_released(ledger: Ledger, attempt: Attempt) -> Ledger:
    """Takes in that an attempt never ran and never will."""
    open_records = ledger.attempts.get(attempt.digest, frozenset())
    remaining = open_records - {attempt.record}
    attempts = ledger.attempts
    if remaining:
        attempts = attempts.set(attempt.digest, remaining)
    elif open_records:
        attempts = attempts.delete(attempt.digest)
    released = ledger.released.set(attempt, True)
    if attempt.record in open_records:
        return ledger._replace(attempts=attempts, released=released)
    return _trim_attempts(
        ledger._replace(
            released=released,
            order=ledger.order.set(ledger.next_index, attempt),
            next_index=ledger.next_index + 1,
        ),
    )


def on_outcome(
    ledger: Ledger,
    attempt: Attempt,
    outcome: outcomes.Outcome,
) -> Ledger:
    """Takes in what became of an admitted request.

    A request that was not run leaves its attempt released: a later try is a
    new attempt. One of unknown outcome is never run again.
    """
    digest = attempt.digest
    known_request = ledger.admitted.get(digest)
    if isinstance(outcome, outcomes.Answered) and known_request is not None:
        admitted = ledger.admitted.set(
            digest, known_request._replace(answer=outcome)
        )
        return _trim_answers(
            ledger._replace(
                admitted=admitted,
                answered=(*ledger.answered, digest),
                answer_bytes=ledger.answer_bytes + len(outcome.body),
            ),
        )
    updated = ledger
    if known_request is not None:
        updated = ledger._replace(admitted=ledger.admitted.delete(digest))
    if isinstance(outcome, outcomes.NotRun):
        return on_released(updated, attempt)
    return updated


def fold(ledger: Ledger, record: records.IntentsRecorded) -> Ledger:
    """Folds one record of the intent stream."""
    for release in record.get('released', []):
        attempt = Attempt(release['digest'], release['record'])
        ledger = on_released(ledger, attempt)
    for entry in record['entries']:
        ledger = on_recorded(ledger, Attempt(entry['digest'], record['id']))
    return ledger


def _action_for_repeat(
    known_request: AdmittedRequest, fingerprint: str
) -> AwaitAttempt | Reply:
    if known_request.fingerprint != fingerprint:
        return Reply(outcomes.NotRun(outcomes.Reason.idempotency_key_reused))
    if known_request.answer is not None:
        return Reply(known_request.answer)
    return AwaitAttempt()


def _trim_attempts(ledger: Ledger) -> Ledger:
    if ledger.next_index - ledger.first_index <= WINDOW_INTENTS:
        return ledger
    oldest = ledger.order[ledger.first_index]
    open_records = ledger.attempts.get(oldest.digest, frozenset())
    remaining = open_records - {oldest.record}
    attempts = ledger.attempts
    if remaining:
        attempts = attempts.set(oldest.digest, remaining)
    elif open_records:
        attempts = attempts.delete(oldest.digest)
    released = ledger.released
    if oldest in released:
        released = released.delete(oldest)
    return ledger._replace(
        attempts=attempts,
        released=released,
        order=ledger.order.delete(ledger.first_index),
        first_index=ledger.first_index + 1,
    )


def _trim_answers(ledger: Ledger) -> Ledger:
    while (
        ledger.answer_bytes > WINDOW_ANSWER_BYTES
        or len(ledger.answered) > WINDOW_ANSWERS
    ):
        oldest, *remaining = ledger.answered
        known_request = ledger.admitted[oldest]
        size = len(known_request.answer.body) if known_request.answer else 0
        ledger = ledger._replace(
            admitted=ledger.admitted.delete(oldest),
            answered=tuple(remaining),
            answer_bytes=ledger.answer_bytes - size,
        )
    return ledger
