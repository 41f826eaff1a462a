"""Folds one record of any kind into the state."""

import typing
from collections import abc

import immutables
import result

from bilberryglade._codec import codec
from bilberryglade._state import state
from bilberryglade._values import registry

#: Verdicts kept at most; when they are full, the older half is forgotten.
MAX_VERDICTS: typing.Final = 16_384
#: Characters of a record id.
MAX_ID: typing.Final = 64

Record: typing.TypeAlias = dict[str, typing.Any]


class FoldStep(typing.NamedTuple):
    """The state after a record, and the verdict on it."""

    state: state.ClusterState
    verdict: state.Verdict


class Fold(typing.NamedTuple):
    """A registered record kind: its generated type and its fold."""

    kind: type
    apply: abc.Callable[[state.ClusterState, int, typing.Any], FoldStep]


folds: typing.Final = registry.Registry[Fold]('record fold')

FoldFunction: typing.TypeAlias = abc.Callable[
    [state.ClusterState, int, typing.Any],
    FoldStep,
]


def fold_for(
    name: str,
    kind: type,
) -> abc.Callable[[FoldFunction], FoldFunction]:
    """Returns a decorator that registers a fold for records called `name`."""

    def decorator(function: FoldFunction) -> FoldFunction:  # noqa: WPS430
        folds.register(name)(Fold(kind, function))
        return function

    return decorator


def accept(changed: state.ClusterState, offset: int) -> FoldStep:
    """Returns a step that takes the change in."""
    return FoldStep(changed, state.Verdict(offset, accepted=True))


def reject(
    unchanged: state.ClusterState,
    offset: int,
    reason: str,
    winner: int = 0,
) -> FoldStep:
    """Returns a step that changes nothing; `winner` won the race, if any."""
    verdict = state.Verdict(
        offset, accepted=False, reason=reason, winner=winner
    )
    return FoldStep(unchanged, verdict)


def fold(
    before: state.ClusterState,
    offset: int,
    record: Record,
) -> FoldStep:
    """Folds the record at `offset`.

    Copies of a record, unknown kinds, malformed records and records whose
    own fold fails change nothing but the offset.
    """
    record_id = record.get('id')
    if not isinstance(record_id, str) or not 0 < len(record_id) <= MAX_ID:
        return reject(before._replace(offset=offset), offset, 'no record id')
    known = before.verdicts.get(record_id)
    if known is not None:
        return FoldStep(before._replace(offset=offset), known)
    step = _apply(before, offset, record)
    verdicts = step.state.verdicts.set(record_id, step.verdict)
    return FoldStep(
        step.state._replace(
            offset=offset,
            verdicts=_trimmed(verdicts, offset),
        ),
        step.verdict,
    )


def _apply(
    before: state.ClusterState,
    offset: int,
    record: Record,
) -> FoldStep:
    entry = folds.find(str(record.get('kind', '')))
    if entry is None:
        return reject(before, offset, 'unknown record kind')
    decoded: result.Result[typing.Any, codec.DecodeError]
    decoded = codec.convert(record, entry.kind)
    if isinstance(decoded, result.Err):
        return reject(before, offset, decoded.err_value.detail)
    try:
        return entry.apply(before, offset, decoded.ok_value)
    except Exception as error:
        # One bad record must not stop every instance, again at each start.
        return reject(before, offset, f'fold failed: {error!r}')


def _trimmed(
    verdicts: immutables.Map[str, state.Verdict],
    offset: int,
) -> immutables.Map[str, state.Verdict]:
    if len(verdicts) <= MAX_VERDICTS:
        return verdicts
    oldest = offset - MAX_VERDICTS // 2
    kept = {
        record_id: verdict
        for record_id, verdict in verdicts.items()
        if verdict.offset >= oldest
    }
    return immutables.Map(kept)
