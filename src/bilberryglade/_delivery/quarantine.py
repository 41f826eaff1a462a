"""Decides from crashes of targets which request caused them.

A request that ran alone on a target is a suspect of its crash. Of several
requests that shared the target, the one to blame is found by later crashes:
the others were not running there, or a target has answered them since.
"""

import typing

import immutables
import xxhash

from bilberryglade._values import requests

#: Newest crashes that an instance keeps; older ones are dropped.
MAX_CRASHES: typing.Final = 64
#: A request is blamed if it ran alone on so many different crashed targets.
MIN_TARGETS_ALONE: typing.Final = 2
#: A request is blamed if it ran alone at so many crashes, of any targets.
MIN_CRASHES_ALONE: typing.Final = 3
#: A request that shared its targets is blamed only if so many of them crashed.
MIN_TARGETS_SHARED: typing.Final = 3
#: Time for which an instance refuses a request after folding its quarantine.
QUARANTINE_SECONDS: typing.Final = 60.0


class TargetCrash(typing.NamedTuple):
    """A crash of a target, and the fingerprints of the requests it ran."""

    #: Unique; a duplicate report of the same crash is ignored.
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


def on_crash(history: CrashHistory, crash: TargetCrash) -> CrashAnalysis:
    """Adds a crash to the history and decides whether a request is to blame."""
    if crash.crash_id in history.crash_ids:
        return CrashAnalysis(history, '')
    crash_ids = (*history.crash_ids, crash.crash_id)[-MAX_CRASHES:]
    crashes = (*history.crashes, crash)[-MAX_CRASHES:]
    blamed = [
        fingerprint
        for fingerprint in crash.suspects
        if _is_to_blame(crashes, fingerprint)
    ]
    if len(blamed) != 1:
        return CrashAnalysis(CrashHistory(crashes, crash_ids), '')
    fingerprint = blamed[0]
    unexplained = tuple(
        past for past in crashes if fingerprint not in past.suspects
    )
    targets = {past.target for past in crashes if fingerprint in past.suspects}
    return CrashAnalysis(
        CrashHistory(unexplained, crash_ids),
        fingerprint,
        tuple(sorted(targets)),
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


def _is_to_blame(crashes: tuple[TargetCrash, ...], fingerprint: str) -> bool:
    alone = [
        crash.target for crash in crashes if crash.suspects == {fingerprint}
    ]
    if len(set(alone)) >= MIN_TARGETS_ALONE or len(alone) >= MIN_CRASHES_ALONE:
        return True
    involved = _targets_of(crashes, fingerprint)
    if len(involved) < MIN_TARGETS_SHARED:
        return False
    co_suspects = frozenset().union(
        *(crash.suspects for crash in crashes if fingerprint in crash.suspects),
    ) - {fingerprint}
    return all(
        len(_targets_of(crashes, co_suspect)) < len(involved)
        for co_suspect in co_suspects
    )


def _targets_of(crashes: tuple[TargetCrash, ...], fingerprint: str) -> set[str]:
    return {crash.target for crash in crashes if fingerprint in crash.suspects}
