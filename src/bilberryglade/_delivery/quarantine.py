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
MAX_DEATHS: typing.Final = 64
#: Different targets whose deaths blame a request that ran alone on them.
TARGETS_ALONE: typing.Final = 2
#: Deaths of any targets that blame a request that ran alone on them.
DEATHS_ALONE: typing.Final = 3
#: Different targets whose deaths blame a request that shared them.
TARGETS_SHARED: typing.Final = 3
#: Time for which an instance refuses a request after it learnt of it.
QUARANTINE_SECONDS: typing.Final = 60.0


class Death(typing.NamedTuple):
    """A target that died, and the fingerprints of what it was running."""

    #: Unique; a copy of a report counts once.
    death_id: str
    target: str
    suspects: frozenset[str]


class Learnt(typing.NamedTuple):
    """When an instance folded a quarantine."""

    #: Offset of the record.
    offset: int
    #: Monotonic seconds.
    at: float


class Inquest(typing.NamedTuple):
    """What an instance knows of deaths, newest last."""

    deaths: tuple[Death, ...] = ()
    #: Ids of the newest deaths, explained ones included.
    known: tuple[str, ...] = ()


class Finding(typing.NamedTuple):
    """The inquest after a death, and whom it convicts."""

    inquest: Inquest
    #: Fingerprint of the request to blame, or ''.
    guilty: str
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


def on_death(inquest: Inquest, death: Death) -> Finding:
    """Takes a death in and decides whether a request is to blame."""
    if death.death_id in inquest.known:
        return Finding(inquest, '')
    known = (*inquest.known, death.death_id)[-MAX_DEATHS:]
    deaths = (*inquest.deaths, death)[-MAX_DEATHS:]
    guilty = [name for name in death.suspects if _is_guilty(deaths, name)]
    if len(guilty) != 1:
        return Finding(Inquest(deaths, known), '')
    name = guilty[0]
    explained = tuple(row for row in deaths if name not in row.suspects)
    targets = {row.target for row in deaths if name in row.suspects}
    return Finding(Inquest(explained, known), name, tuple(sorted(targets)))


def on_survival(inquest: Inquest, fingerprint: str) -> Inquest:
    """Clears a request that a target answered."""
    if not any(fingerprint in death.suspects for death in inquest.deaths):
        return inquest
    cleared = (
        death._replace(suspects=death.suspects - {fingerprint})
        for death in inquest.deaths
    )
    return inquest._replace(
        deaths=tuple(death for death in cleared if death.suspects),
    )


def in_force(
    quarantined: immutables.Map[str, int],
    learnt: dict[str, Learnt],
    fingerprint: str,
    now: float,
) -> bool:
    """Tells whether a request is refused.

    Each instance counts from its own folding; one that starts later refuses
    longer, never shorter.
    """
    if fingerprint not in quarantined:
        return False
    known = learnt.get(fingerprint)
    return known is None or now < known.at + QUARANTINE_SECONDS


def learn(
    quarantined: immutables.Map[str, int],
    learnt: dict[str, Learnt],
    now: float,
) -> dict[str, Learnt]:
    """Returns when each quarantine was folded; a renewed one counts anew."""
    newest: dict[str, Learnt] = {}
    for fingerprint, offset in quarantined.items():
        known = learnt.get(fingerprint)
        if known is None or known.offset != offset:
            known = Learnt(offset, now)
        newest[fingerprint] = known
    return newest


def _is_guilty(deaths: tuple[Death, ...], fingerprint: str) -> bool:
    alone = [row.target for row in deaths if row.suspects == {fingerprint}]
    if len(set(alone)) >= TARGETS_ALONE or len(alone) >= DEATHS_ALONE:
        return True
    involved = _targets_of(deaths, fingerprint)
    if len(involved) < TARGETS_SHARED:
        return False
    others = frozenset().union(
        *(row.suspects for row in deaths if fingerprint in row.suspects),
    ) - {fingerprint}
    return all(
        len(_targets_of(deaths, other)) < len(involved) for other in others
    )


def _targets_of(deaths: tuple[Death, ...], fingerprint: str) -> set[str]:
    return {row.target for row in deaths if fingerprint in row.suspects}
