"""Decides which requests with an idempotency key run, each at most once.

An intent records an attempt, identified by the digest of its request and the id
of the record that holds it. The attempt is open until a release that names the
same record states that it never ran. Intents and releases may be folded in any
order.
"""

import typing

import immutables

from bilberryglade._values import outcomes
from bilberryglade_schema import records

#: Intents of a service that a leader remembers; older ones are forgotten.
WINDOW_INTENTS: typing.Final = 65_536
#: Total body size of the answers of a service that a leader keeps for repeats.
WINDOW_ANSWER_BYTES: typing.Final = 8_388_608
#: Answers of a service that a leader keeps for repeated requests.
WINDOW_ANSWERS: typing.Final = 4096


class Attempt(typing.NamedTuple):
    """One attempt to run a request, unique in the intent stream."""

    digest: str
    #: Id of the record that holds the intent.
    record: str


class Tenure(typing.NamedTuple):
    """A period in which one instance leads a slot without interruption."""

    #: Fence under which the slot is served.
    fence: int
    #: Log offset of the newest change that determines the leaders.
    topology_changed_at: int


class AdmittedRequest(typing.NamedTuple):
    """A request that this leader admitted; in progress without an answer."""

    #: Digest of the content; another request with the same key differs in it.
    fingerprint: str
    answer: outcomes.Answered | None = None


class Ledger(typing.NamedTuple):
    """Attempts of one service: folded from its stream, or admitted here."""

    #: Record ids of the open attempts, by the digest of the request.
    attempts: immutables.Map[str, frozenset[str]] = immutables.Map()
    #: Recorded and released attempts, by their index in order of arrival.
    order: immutables.Map[int, Attempt] = immutables.Map()
    #: Released attempts; the intent of one may arrive later and is ignored.
    released: immutables.Map[Attempt, bool] = immutables.Map()
    #: Index of the oldest attempt in `order`.
    first_index: int = 0
    #: Index of the next attempt to be added to `order`.
    next_index: int = 0
    #: Requests that this leader admitted, by digest.
    admitted: immutables.Map[str, AdmittedRequest] = immutables.Map()
    #: Digests of the requests whose answers are kept, oldest first.
    answered: tuple[str, ...] = ()
    #: Total body size of the answers that are kept.
    answer_bytes: int = 0


class RecordAndRun(typing.NamedTuple):
    """The action to record an intent and then run the request."""


class AwaitAttempt(typing.NamedTuple):
    """The action to wait for the outcome of the attempt in progress."""


class Reply(typing.NamedTuple):
    """The action to return `outcome` without running the request."""

    outcome: outcomes.Outcome


class ArrivalDecision(typing.NamedTuple):
    """The ledger after a request arrived, and the action to perform."""

    ledger: Ledger
    action: RecordAndRun | AwaitAttempt | Reply


def on_arrival(
    ledger: Ledger, digest: str, fingerprint: str
) -> ArrivalDecision:
    """Decides whether a request with an idempotency key is run."""
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
    """Adds an attempt whose intent the log holds, unless it was released."""
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
    """Closes an attempt that never ran and never will."""
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
    """Applies the outcome of an admitted request.

    The attempt of a request that was not run is released, so a later try is a
    new attempt. A request of unknown outcome is never run again.
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
    """Returns the ledger after one more record of the intent stream."""
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
    """Drops the oldest attempt if there are more than `WINDOW_INTENTS`."""
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
    """Drops the oldest answers until both limits on answers hold."""
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
