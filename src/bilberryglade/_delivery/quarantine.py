"""Which request crashes the targets that run it, decided from their deaths.

A request that ran alone on a target is to blame for its death. Of several
that shared it, the one whose targets went on dying is told apart by the
others' absence, or by their getting answers.
"""

import typing

import immutables
import xxhash

from bilberryglade._values import requests

#: Deaths that count; older ones are forgotten.
MAX_CRASHES: typing.Final = 64
#: Different targets whose deaths blame a request that ran alone on them.
MIN_TARGETS_ALONE: typing.Final = 2
#: Deaths of any targets that blame a request that ran alone on them.
MIN_CRASHES_ALONE: typing.Final = 3
#: Different targets whose deaths blame a request that shared them.
MIN_TARGETS_SHARED: typing.Final = 3
#: Time for which an instance refuses a request after it learnt of it.
QUARANTINE_SECONDS: typing.Final = 60.0


class TargetCrash(typing.NamedTuple):
    """A target that died, and the fingerprints of what it was running."""

    #: Unique; a copy of a report counts once.
    crash_id: str
    target: str
    suspects: frozenset[str]


class AppliedQuarantine(typing.NamedTuple):
    """When an instance folded a quarantine."""

    #: Offset of the record.
    offset: int
    #: Monotonic seconds.
    applied_at: float


class CrashHistory(typing.NamedTuple):
    """What an instance knows of deaths, newest last."""

    crashes: tuple[TargetCrash, ...] = ()
    #: Ids of the newest deaths, explained ones included.
    crash_ids: tuple[str, ...] = ()


class CrashAnalysis(typing.NamedTuple):
    """The inquest after a death, and whom it convicts."""

    history: CrashHistory
    #: Fingerprint of the request to blame, or ''.
    blamed_fingerprint: str
    #: Targets that it killed, in alphabetical order.
    targets: tuple[str, ...] = ()


def fingerprint_of(request: requests.RoutedRequest) -> str:
    """Returns what repeats of a request share, 32 hexadecimal digits."""
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
    """Takes a death in and decides whether a request is to blame."""
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
    """Clears a request that a target answered."""
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
    """Tells whether a request is refused.

    Each instance counts from its own folding; one that starts later refuses
    longer, never shorter.
    """
    if fingerprint not in quarantined:
        return False
    known = applied.get(fingerprint)
    return known is None or now < known.applied_at + QUARANTINE_SECONDS


def update_applied(
    quarantined: immutables.Map[str, int],
    applied: dict[str, AppliedQuarantine],
    now: float,
) -> dict[str, AppliedQuarantine]:
    """Returns when each quarantine was folded; a renewed one counts anew."""
    newest: dict[str, AppliedQuarantine] = {}
    for fingerprint, offset in quarantined.items():
        known = applied.get(fingerprint)
        if known is None or known.offset != offset:
            known = AppliedQuarantine(offset, now)
        newest[fingerprint] = known
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
