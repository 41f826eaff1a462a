"""Decides from crashes of targets which request caused them.

A request that ran alone on a target is a suspect of its crash. Of several
requests that shared the target, the one to blame is found by later crashes:
the others were not running there, or a target has answered them since.
"""

import typing

import immutables
import xxhash

from bilberryglade._values import requests


class Thresholds(typing.NamedTuple):
    """From when on a request is blamed, and how much is remembered."""

    #: Newest crashes that an instance keeps; older ones are dropped.
    max_crashes: int = 64
    #: A request is blamed if it ran alone on so many different crashed targets.
    min_targets_alone: int = 2
    #: A request is blamed if it ran alone at so many crashes, of any targets.
    min_crashes_alone: int = 3
    #: A request that shared its targets is blamed only if so many of them crashed.
    min_targets_shared: int = 3
    #: Requests that ran together at so many crashes are blamed together; 0 if
    #: never.
    min_targets_together: int = 0


THRESHOLDS: typing.Final = Thresholds()
#: Time for which an instance refuses a request after folding its quarantine.
QUARANTINE_SECONDS: typing.Final = 60.0


class TargetCrash(typing.NamedTuple):
    """A crash of a target, and the fingerprints of the requests it ran."""

    #: Unique; reports of the same crash name the requests of one instance each.
    crash_id: str
    target: str
    suspects: frozenset[str]


class AppliedQuarantine(typing.NamedTuple):
    """A quarantine record that an instance folded, and the time of that."""

    #: Offset of the record in the log.
    offset: int
    #: Monotonic seconds at which the record was folded.
    applied_at: float


class CrashHistory(typing.NamedTuple):
    """Crashes that an instance saw or that peers reported to it."""

    #: Crashes for which no request is blamed yet, newest last.
    crashes: tuple[TargetCrash, ...] = ()
    #: Ids of the newest crashes, those with a blamed request included.
    crash_ids: tuple[str, ...] = ()


class CrashAnalysis(typing.NamedTuple):
    """The history after a crash, and the request that is to blame."""

    history: CrashHistory
    #: Fingerprint of the request to blame, or ''.
    blamed_fingerprint: str
    #: Targets that the request crashed, in alphabetical order.
    targets: tuple[str, ...] = ()
    #: All requests to blame: more than one if they always ran together.
    blamed: frozenset[str] = frozenset()


def fingerprint_of(request: requests.RoutedRequest) -> str:
    """Returns a digest that repeats of a request share, 32 hex digits."""
    parts = (
        request.organisation,
        request.service,
        request.method,
        request.path,
    )
    digest = xxhash.xxh3_128('\n'.join(parts).encode())
    digest.update(request.body)
    return str(digest.hexdigest())


def on_crash(
    history: CrashHistory,
    crash: TargetCrash,
    thresholds: Thresholds = THRESHOLDS,
) -> CrashAnalysis:
    """Adds a crash to the history and decides whether a request is to blame.

    A further report of a crash adds its suspects.
    """
    if crash.crash_id in history.crash_ids:
        crashes = _with_suspects(history.crashes, crash)
        crash_ids = history.crash_ids
    else:
        crashes = (*history.crashes, crash)[-thresholds.max_crashes :]
        crash_ids = (*history.crash_ids, crash.crash_id)
        crash_ids = crash_ids[-thresholds.max_crashes :]
    blamed = _blamed(crashes, crash.suspects, thresholds)
    if not blamed:
        return CrashAnalysis(CrashHistory(crashes, crash_ids), '')
    fingerprint = min(blamed)
    unexplained = tuple(past for past in crashes if not blamed & past.suspects)
    return CrashAnalysis(
        CrashHistory(unexplained, crash_ids),
        fingerprint,
        tuple(sorted(targets_of(crashes, fingerprint))),
        blamed,
    )


def on_answer(history: CrashHistory, fingerprint: str) -> CrashHistory:
    """Removes a request that a target answered from all lists of suspects."""
    if not any(fingerprint in crash.suspects for crash in history.crashes):
        return history
    cleared = (
        crash._replace(suspects=crash.suspects - {fingerprint})
        for crash in history.crashes
    )
    return history._replace(
        crashes=tuple(crash for crash in cleared if crash.suspects),
    )


def is_quarantined(
    quarantined: immutables.Map[str, int],
    applied: dict[str, AppliedQuarantine],
    fingerprint: str,
    now: float,
) -> bool:
    """Returns whether the request with `fingerprint` is refused.

    Each instance counts from the time at which it folded the record itself, so
    one that starts later refuses the request for longer, never for shorter.
    """
    if fingerprint not in quarantined:
        return False
    entry = applied.get(fingerprint)
    return entry is None or now < entry.applied_at + QUARANTINE_SECONDS


def update_applied(
    quarantined: immutables.Map[str, int],
    applied: dict[str, AppliedQuarantine],
    now: float,
) -> dict[str, AppliedQuarantine]:
    """Returns when each quarantine was folded; a renewed one starts again."""
    newest: dict[str, AppliedQuarantine] = {}
    for fingerprint, offset in quarantined.items():
        entry = applied.get(fingerprint)
        if entry is None or entry.offset != offset:
            entry = AppliedQuarantine(offset, now)
        newest[fingerprint] = entry
    return newest


def targets_of(crashes: tuple[TargetCrash, ...], fingerprint: str) -> set[str]:
    """Returns the targets that crashed while they ran a request."""
    return {crash.target for crash in crashes if fingerprint in crash.suspects}


def _with_suspects(
    crashes: tuple[TargetCrash, ...], report: TargetCrash
) -> tuple[TargetCrash, ...]:
    """Returns the crashes with the suspects that a further report names."""
    return tuple(
        crash._replace(suspects=crash.suspects | report.suspects)
        if crash.crash_id == report.crash_id
        else crash
        for crash in crashes
    )


def _blamed(
    crashes: tuple[TargetCrash, ...],
    suspects: frozenset[str],
    thresholds: Thresholds,
) -> frozenset[str]:
    """Returns which of the suspects of a crash are to blame."""
    blamed = [
        fingerprint
        for fingerprint in suspects
        if _is_to_blame(crashes, fingerprint, thresholds)
    ]
    if len(blamed) == 1:
        return frozenset(blamed)
    if not thresholds.min_targets_together:
        return frozenset()
    return frozenset(
        fingerprint
        for fingerprint in suspects
        if len(targets_of(crashes, fingerprint))
        >= thresholds.min_targets_together
    )


def _is_to_blame(
    crashes: tuple[TargetCrash, ...], fingerprint: str, thresholds: Thresholds
) -> bool:
    alone = [
        crash.target for crash in crashes if crash.suspects == {fingerprint}
    ]
    if len(set(alone)) >= thresholds.min_targets_alone:
        return True
    if len(alone) >= thresholds.min_crashes_alone:
        return True
    involved = targets_of(crashes, fingerprint)
    if len(involved) < thresholds.min_targets_shared:
        return False
    co_suspects = frozenset().union(
        *(crash.suspects for crash in crashes if fingerprint in crash.suspects),
    ) - {fingerprint}
    return all(
        len(targets_of(crashes, co_suspect)) < len(involved)
        for co_suspect in co_suspects
    )
