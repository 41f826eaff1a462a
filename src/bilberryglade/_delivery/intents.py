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


class Live(typing.NamedTuple):
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
    first: int = 0
    last: int = 0
    live: immutables.Map[str, Live] = immutables.Map()
    #: Digests of kept answers, oldest first.
    answered: tuple[str, ...] = ()
    answer_bytes: int = 0


class Admit(typing.NamedTuple):
    """Record an intent, then run the request."""


class Join(typing.NamedTuple):
    """Wait for the outcome of the attempt in progress."""


class Tell(typing.NamedTuple):
    """Tell the caller without running anything."""

    outcome: outcomes.Outcome


class Arrival(typing.NamedTuple):
    """The ledger after a request came, and what is to be done."""

    ledger: Ledger
    action: Admit | Join | Tell


def on_arrival(ledger: Ledger, digest: str, fingerprint: str) -> Arrival:
    """Decides about a request that its caller has named."""
    live = ledger.live.get(digest)
    if live is not None:
        return Arrival(ledger, _of_live(live, fingerprint))
    if ledger.attempts.get(digest):
        tried = outcomes.Unknown(outcomes.Reason.already_tried)
        return Arrival(ledger, Tell(tried))
    admitted = ledger.live.set(digest, Live(fingerprint))
    return Arrival(ledger._replace(live=admitted), Admit())


def on_recorded(ledger: Ledger, attempt: Attempt) -> Ledger:
    """Takes in an intent, read from the stream or acknowledged by the log."""
    known = ledger.attempts.get(attempt.digest, frozenset())
    if attempt in ledger.released or attempt.record in known:
        return ledger
    return _trimmed(
        ledger._replace(
            attempts=ledger.attempts.set(
                attempt.digest,
                known | {attempt.record},
            ),
            order=ledger.order.set(ledger.last, attempt),
            last=ledger.last + 1,
        ),
    )


def on_released(ledger: Ledger, attempt: Attempt) -> Ledger:
    """Takes in that an attempt never ran and never will."""
    known = ledger.attempts.get(attempt.digest, frozenset())
    rest = known - {attempt.record}
    attempts = ledger.attempts
    if rest:
        attempts = attempts.set(attempt.digest, rest)
    elif known:
        attempts = attempts.delete(attempt.digest)
    released = ledger.released.set(attempt, True)
    if attempt.record in known:
        return ledger._replace(attempts=attempts, released=released)
    return _trimmed(
        ledger._replace(
            released=released,
            order=ledger.order.set(ledger.last, attempt),
            last=ledger.last + 1,
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
    live = ledger.live.get(digest)
    if isinstance(outcome, outcomes.Answered) and live is not None:
        kept = ledger.live.set(digest, live._replace(answer=outcome))
        return _answers_trimmed(
            ledger._replace(
                live=kept,
                answered=(*ledger.answered, digest),
                answer_bytes=ledger.answer_bytes + len(outcome.body),
            ),
        )
    ended = ledger
    if live is not None:
        ended = ledger._replace(live=ledger.live.delete(digest))
    if isinstance(outcome, outcomes.NotRun):
        return on_released(ended, attempt)
    return ended


def fold(ledger: Ledger, record: records.IntentsRecorded) -> Ledger:
    """Folds one record of the intent stream."""
    for release in record.get('released', []):
        attempt = Attempt(release['digest'], release['record'])
        ledger = on_released(ledger, attempt)
    for entry in record['entries']:
        ledger = on_recorded(ledger, Attempt(entry['digest'], record['id']))
    return ledger


def _of_live(live: Live, fingerprint: str) -> Join | Tell:
    if live.fingerprint != fingerprint:
        return Tell(outcomes.NotRun(outcomes.Reason.idempotency_key_reused))
    if live.answer is not None:
        return Tell(live.answer)
    return Join()


def _trimmed(ledger: Ledger) -> Ledger:
    if ledger.last - ledger.first <= WINDOW_INTENTS:
        return ledger
    oldest = ledger.order[ledger.first]
    known = ledger.attempts.get(oldest.digest, frozenset())
    rest = known - {oldest.record}
    attempts = ledger.attempts
    if rest:
        attempts = attempts.set(oldest.digest, rest)
    elif known:
        attempts = attempts.delete(oldest.digest)
    released = ledger.released
    if oldest in released:
        released = released.delete(oldest)
    return ledger._replace(
        attempts=attempts,
        released=released,
        order=ledger.order.delete(ledger.first),
        first=ledger.first + 1,
    )


def _answers_trimmed(ledger: Ledger) -> Ledger:
    while (
        ledger.answer_bytes > WINDOW_ANSWER_BYTES
        or len(ledger.answered) > WINDOW_ANSWERS
    ):
        oldest, *rest = ledger.answered
        live = ledger.live[oldest]
        size = len(live.answer.body) if live.answer else 0
        ledger = ledger._replace(
            live=ledger.live.delete(oldest),
            answered=tuple(rest),
            answer_bytes=ledger.answer_bytes - size,
        )
    return ledger
