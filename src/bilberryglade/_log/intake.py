"""Decides what an instance takes in from the log and from its peers.

Every function is pure: the intake before, what came, and the intake after.
The state never goes back, whatever a source says.
"""

import typing
from collections import abc

import immutables

from bilberryglade._state import folding, state
from bilberryglade._values import steps

READ_CONTROL: typing.Final = steps.declare(
    'log.read_control',
    steps.StepKind.read,
)
#: Seconds without a newer offset after which peers' state is the newest.
PEER_QUIET_SECONDS: typing.Final = 1.0
#: Records kept to hand on to peers, and their approximate size.
MAX_RECENT: typing.Final = 512
MAX_RECENT_BYTES: typing.Final = 4_194_304
#: Approximate size of an entry of a list in a record.
ENTRY_BYTES: typing.Final = 40
NEVER: typing.Final = float('-inf')


class Numbered(typing.NamedTuple):
    """A record with its offset, from the log or from a peer."""

    offset: int
    record: folding.Record


class Batch(typing.NamedTuple):
    """Answer to a read of the log."""

    records: tuple[Numbered, ...]
    #: Offset of the newest record that the answering replica has.
    head: int
    #: Offset of the oldest record that is still kept.
    oldest: int


class Asked(typing.NamedTuple):
    """A read of the log that is under way."""

    #: Monotonic seconds.
    began: float
    #: Highest offset known when it began.
    known_offset: int


class Intake(typing.NamedTuple):
    """What an instance knows of the control stream."""

    view: state.ClusterState = state.ClusterState()
    #: Monotonic seconds as of which `view` held everything in the log.
    fresh_at: float = NEVER
    #: Highest offset that anybody is known to have seen.
    heard_offset: int = 0
    #: Offset that must be folded before the instance is ready; None if unset.
    ready_offset: int | None = None
    #: Monotonic seconds at which a state of a peer was first taken.
    peer_state_at: float | None = None
    #: Whether records between `view` and the log's oldest have expired.
    has_gap: bool = False
    #: Newest records, kept to hand on to peers.
    recent: tuple[Numbered, ...] = ()
    #: Approximate size of each of them, in bytes.
    recent_sizes: tuple[int, ...] = ()
    #: How often something was ignored, by reason.
    ignored: immutables.Map[str, int] = immutables.Map()


def ask(known: Intake, now: float) -> Asked:
    """Returns what has to be kept of a read of the log that begins now."""
    return Asked(now, max(known.view.offset, known.heard_offset))


def take_batch(before: Intake, batch: Batch, asked: Asked) -> Intake:
    """Takes the answer to a read of the log.

    The answer of a replica that lags behind what was known when the read
    began is ignored, and so is its claim to be complete.
    """
    if batch.head < asked.known_offset:
        return ignore(before, 'stale_read')
    after = _fold_all(before, batch.records)
    after = after._replace(
        heard_offset=max(after.heard_offset, batch.head),
        has_gap=batch.oldest > after.view.offset + 1,
    )
    if after.view.offset < batch.head:
        return after
    return after._replace(fresh_at=max(after.fresh_at, asked.began))


def take_records(
    before: Intake,
    records: abc.Iterable[Numbered],
    offset: int,
    known_at: float,
) -> Intake:
    """Takes records that a peer at `offset` relays."""
    return hear(_fold_all(before, records), offset, known_at)


def take_state(
    before: Intake,
    given: state.ClusterState,
    known_at: float,
    now: float,
) -> Intake:
    """Takes a whole state, of a snapshot or a peer, if it is newer."""
    if given.offset <= before.view.offset:
        return ignore(hear(before, given.offset, known_at), 'old_state')
    first_at = now if before.peer_state_at is None else before.peer_state_at
    after = before._replace(
        view=given,
        recent=(),
        recent_sizes=(),
        has_gap=False,
        peer_state_at=first_at,
    )
    return hear(after, given.offset, known_at)


def hear(before: Intake, offset: int, known_at: float) -> Intake:
    """Takes the word that `offset` was the newest as of `known_at`.

    It makes the own knowledge fresh only where that offset is folded.
    """
    after = before._replace(heard_offset=max(before.heard_offset, offset))
    if before.view.offset < offset:
        return after
    return after._replace(fresh_at=max(before.fresh_at, known_at))


def require(before: Intake, offset: int) -> Intake:
    """Makes an offset that was asked for after the start due for readiness."""
    due = max(before.ready_offset or 0, offset)
    heard = max(before.heard_offset, offset)
    return before._replace(ready_offset=due, heard_offset=heard)


def is_ready(known: Intake, now: float) -> bool:
    """Tells whether the instance may serve.

    With the log up it has folded a record that it appended after its start,
    so that no replica that lags can hide anything older. With the log down
    it holds the newest state that its peers have spoken of for a while.
    """
    if known.ready_offset is not None:
        return known.view.offset >= known.ready_offset
    if known.peer_state_at is None:
        return False
    quiet_for = now - known.peer_state_at
    caught_up = known.view.offset >= known.heard_offset
    return caught_up and quiet_for >= PEER_QUIET_SECONDS


def ignore(before: Intake, reason: str) -> Intake:
    """Counts something that was ignored."""
    count = before.ignored.get(reason, 0) + 1
    return before._replace(ignored=before.ignored.set(reason, count))


def _fold_all(before: Intake, records: abc.Iterable[Numbered]) -> Intake:
    view = before.view
    taken: list[Numbered] = []
    rejected = 0
    for numbered in sorted(records, key=lambda row: row.offset):
        if numbered.offset != view.offset + 1:
            continue
        step = folding.fold(view, numbered.offset, numbered.record)
        view = step.state
        taken.append(numbered)
        rejected += not step.verdict.accepted
    if not taken:
        return before
    counted = before.ignored.get('rejected_record', 0) + rejected
    return _keep(before, taken)._replace(
        view=view,
        ignored=before.ignored.set('rejected_record', counted),
    )


def _keep(before: Intake, taken: list[Numbered]) -> Intake:
    records = (*before.recent, *taken)
    new_sizes = [_size(numbered.record) for numbered in taken]
    sizes = (*before.recent_sizes, *new_sizes)
    first = max(len(records) - MAX_RECENT, 0)
    surplus = sum(sizes[first:]) - MAX_RECENT_BYTES
    while surplus > 0:
        surplus -= sizes[first]
        first += 1
    return before._replace(recent=records[first:], recent_sizes=sizes[first:])


def _size(record: folding.Record) -> int:
    size = ENTRY_BYTES
    for part in record.values():
        if isinstance(part, str):
            size += len(part)
        if isinstance(part, list):
            size += len(part) * ENTRY_BYTES
    return size
