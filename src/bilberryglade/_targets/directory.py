"""The targets that are listed in the store, as far as they are known here."""

import typing
from collections import abc

import immutables

#: Seconds after the store's return within which lapsed entries come back.
RETURN_SECONDS: typing.Final = 2.0
#: Age of what is known from which the store counts as having been away.
GAP_SECONDS: typing.Final = 1.6
#: Seconds by which the end of one cold spell may seem to move: an entry tells
#: what is left, and is read some time after it was written.
COLD_TOLERANCE_SECONDS: typing.Final = 0.25


class Life(typing.NamedTuple):
    """One life of a target: it knows nothing of those before."""

    target: str
    born: int

    def __str__(self) -> str:
        """Returns its name in messages."""
        return f'{self.target}/{self.born}'


class Target(typing.NamedTuple):
    """One life of a target."""

    name: str
    #: Moment of its start by its own clock; another one is another life.
    born: int
    service: str
    #: IP number and port.
    address: str
    failure_domain: str
    #: Requests that it runs at the same time.
    places: int
    #: Whether it leaves; it gets no new work then.
    is_draining: bool
    #: Monotonic seconds until which it is cold; 0 if it is warm.
    cold_until: float
    #: Grows with each entry of one life.
    sequence: int
    #: Place of its entry in the store.
    offset: int
    #: Monotonic seconds until which it may get what no other target can serve,
    #: though it leaves; 0 if it may get nothing more.
    used_until: float = 0
    #: Version of its software, as its entry names it; '' if it names none.
    version: str = ''


def life_of(target: Target) -> Life:
    """Returns the life that an entry is of."""
    return Life(target.name, target.born)


class Directory(typing.NamedTuple):
    """All listed targets by name."""

    targets: immutables.Map[str, Target] = immutables.Map()
    #: Offset of the newest entry of each name, dropped ones included.
    offsets: immutables.Map[str, int] = immutables.Map()
    #: Names whose entries lapsed around an outage, and until when each is
    #: still taken to live.
    lapsed: immutables.Map[str, float] = immutables.Map()
    #: Lives that said in an answer that they leave, whatever their entries say,
    #: and until when each may get what no other target can serve.
    leaving: immutables.Map[Life, float] = immutables.Map()


class Lives(abc.Container[Life]):
    """The lives that are listed, looked up instead of gathered."""

    def __init__(self, known: Directory) -> None:
        """Has the lives listed in `known`."""
        self.targets = known.targets

    def __contains__(self, life: object) -> bool:
        """Tells whether a life is listed."""
        if not isinstance(life, Life):
            return False
        target = self.targets.get(life.target)
        return target is not None and target.born == life.born


def put(known: Directory, target: Target) -> Directory:
    """Takes in an entry; older ones of the same name change nothing."""
    if target.offset <= known.offsets.get(target.name, -1):
        return known
    offsets = known.offsets.set(target.name, target.offset)
    before = known.targets.get(target.name)
    if before is not None and _is_stale(before, target):
        return known._replace(offsets=offsets)
    lapsed = known.lapsed
    if target.name in lapsed:
        lapsed = lapsed.delete(target.name)
    listed = _as_leaving(known.leaving, target)
    return known._replace(
        targets=known.targets.set(target.name, listed),
        offsets=offsets,
        lapsed=lapsed,
        leaving=_without_earlier(known.leaving, target),
    )


def leave(known: Directory, life: Life, used_until: float) -> Directory:
    """Takes in that a life of a target said that it leaves.

    Only another life of it may be used again: no entry undoes its word.
    """
    if life in known.leaving:
        return known
    target = known.targets.get(life.target)
    if target is not None and target.born > life.born:
        return known
    leaving = known.leaving.set(life, used_until)
    known = known._replace(leaving=leaving)
    if target is None:
        return known
    listed = _as_leaving(leaving, target)
    return known._replace(targets=known.targets.set(target.name, listed))


def forget_left(known: Directory, before: float) -> Directory:
    """Drops the words of unlisted lives that could be used until `before`."""
    leaving = known.leaving
    for life, used_until in known.leaving.items():
        if used_until < before and life.target not in known.targets:
            leaving = leaving.delete(life)
    return known._replace(leaving=leaving)


def drop(
    known: Directory,
    name: str,
    offset: int,
    keep_until: float = 0,
) -> Directory:
    """Takes in that an entry was dropped.

    With `keep_until` (monotonic seconds) the target counts as alive till
    then, since entries also lapse while the store is away.
    """
    if offset <= known.offsets.get(name, -1):
        return known
    offsets = known.offsets.set(name, offset)
    return _lapsed(known._replace(offsets=offsets), name, keep_until)


def expire(known: Directory, now: float) -> Directory:
    """Drops targets whose entries lapsed and did not come back in time."""
    for name, until in known.lapsed.items():
        if until <= now:
            known = _without(known, name)
    return known


def retain(
    known: Directory,
    names: frozenset[str],
    end: int,
    keep_until: float = 0,
) -> Directory:
    """Drops every target that a whole reading up to `end` does not name."""
    for name, target in known.targets.items():
        if name not in names and target.offset < end:
            known = _lapsed(known, name, keep_until)
    return known


class Change(typing.NamedTuple):
    """What happened to a target, for logs."""

    target: Target
    what: str


def changes(before: Directory, after: Directory) -> list[Change]:
    """Returns what differs beyond signs of life."""
    found = [
        Change(target, _what_changed(before.targets.get(name), target))
        for name, target in after.targets.items()
        if is_change(before.targets.get(name), target)
    ]
    found.extend(
        Change(target, 'gone')
        for name, target in before.targets.items()
        if name not in after.targets
    )
    found.extend(
        Change(after.targets[name], 'lapsed')
        for name in after.lapsed
        if name not in before.lapsed
    )
    return found


def is_change(before: Target | None, after: Target | None) -> bool:
    """Tells whether an entry matters beyond being a sign of life.

    Every field matters but a few that are named, so that a field which is added
    later is relayed from the start.
    """
    if before is None or after is None:
        return before is not after
    if bool(before.cold_until) != bool(after.cold_until):
        return True
    if after.cold_until > before.cold_until + COLD_TOLERANCE_SECONDS:
        return True
    return _without_signs(before) != _without_signs(after)


def _without_signs(target: Target) -> Target:
    """Returns `target` without what each of its entries changes.

    The end of a cold spell, which each entry tells anew, is compared apart.
    """
    return target._replace(sequence=0, offset=0, cold_until=0)


def _what_changed(before: Target | None, after: Target) -> str:
    if before is None:
        return 'listed'
    if before.born != after.born:
        return 'started again'
    if after.is_draining and not before.is_draining:
        return 'leaving'
    return 'changed'


def _as_leaving(leaving: immutables.Map[Life, float], target: Target) -> Target:
    """Returns a target, as one that leaves if that life has said so."""
    used_until = leaving.get(life_of(target))
    if used_until is None:
        return target
    return target._replace(is_draining=True, used_until=used_until)


def _without_earlier(
    leaving: immutables.Map[Life, float], target: Target
) -> immutables.Map[Life, float]:
    """Returns `leaving` without the lives before that of `target`."""
    for life in leaving:
        if life.target == target.name and life.born < target.born:
            leaving = leaving.delete(life)
    return leaving


def _is_stale(before: Target, target: Target) -> bool:
    if target.born != before.born:
        return target.born < before.born
    return target.sequence < before.sequence


def _lapsed(known: Directory, name: str, keep_until: float) -> Directory:
    target = known.targets.get(name)
    if target is None:
        return known
    if keep_until and not target.is_draining:
        return known._replace(lapsed=known.lapsed.set(name, keep_until))
    return _without(known, name)


def _without(known: Directory, name: str) -> Directory:
    targets = known.targets
    if name in targets:
        targets = targets.delete(name)
    lapsed = known.lapsed
    if name in lapsed:
        lapsed = lapsed.delete(name)
    return known._replace(targets=targets, lapsed=lapsed)
