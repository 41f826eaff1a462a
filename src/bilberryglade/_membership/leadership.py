"""Who coordinates: a lease that is kept as a record in the store.

A claim is appended on the condition that the topic has not grown since the
claimant looked. Its holder counts the lease from before it sent the claim,
everybody else from after they read it, so the lease ends at its holder first.

A store that comes back older has lost claims. Nobody claims for one lease from
when they first heard of the new era; the holder, whose lease ends before that,
writes its claim again behind whatever claim was restored.
"""

import enum
import typing

from bilberryglade._values import stored

#: Seconds that a claim holds; eight times the slowest answers of a slow store.
LEASE_SECONDS: typing.Final = 2.0
#: Seconds between renewals: two may fail before the lease ends. Others are told
#: of each.
RENEWAL_SECONDS: typing.Final = 0.5
#: Allowance for clocks that run apart.
DRIFT_PART: typing.Final = 0.02
#: Seconds between the end of a holder's work and a successor's claim.
MARGIN_SECONDS: typing.Final = 0.1
#: Seconds after which a claim that was just heard of has certainly ended.
WAITED_SECONDS: typing.Final = LEASE_SECONDS * (1 + DRIFT_PART) + MARGIN_SECONDS


class Role(enum.StrEnum):
    """What an instance is, as far as it knows."""

    follower = 'follower'
    coordinator = 'coordinator'
    #: It stops, and claims nothing any more.
    resigned = 'resigned'


class Seen(typing.NamedTuple):
    """The newest claim that was read."""

    offset: int
    holder: str
    boot: str
    #: Where it listens for messages of instances.
    address: str
    #: Counts the claims of one process.
    sequence: int
    is_resigned: bool
    #: Seconds after which it was read for the first time.
    first_seen: float


class Told(typing.NamedTuple):
    """A claim that its holder has told of."""

    offset: int
    #: Seconds at which that was heard.
    heard_at: float


class State(typing.NamedTuple):
    """What an instance knows of the lease."""

    role: Role = Role.follower
    #: Offset of the first claim in this era of the own time as coordinator.
    term: int = -1
    #: Offset of the own newest claim.
    newest: int = -1
    #: Seconds until which the own claim holds.
    until: float = 0
    seen: Seen | None = None
    #: Offset of the first claim of the own time as coordinator, in any era.
    tenure: int = -1


def dated(seen: Seen | None, told: Told) -> Seen | None:
    """Returns a claim that was read, known since its holder told of it.

    Its lease has been counted from before that.
    """
    if seen is None or seen.offset != told.offset:
        return seen
    return seen._replace(first_seen=min(seen.first_seen, told.heard_at))


def observe(state: State, seen: Seen | None) -> State:
    """Takes in the newest claim of the store; None if there is none."""
    if seen is None:
        return state._replace(seen=None)
    known = state.seen
    if known is not None and known.offset >= seen.offset:
        return state
    return state._replace(seen=seen)


def may_claim(
    state: State,
    address: str,
    now: float,
    lost_until: float = 0,
) -> bool:
    """Tells whether no lease of another process can hold at `now`.

    `address` is where this process listens: whoever listened there before it
    has ended, and its claim with it. Until `lost_until` a claim may hold that
    the store has lost.
    """
    if state.role is not Role.follower or now <= lost_until:
        return False
    seen = state.seen
    if seen is None or seen.is_resigned:
        return True
    if seen.address == address:
        return True
    return now > seen.first_seen + WAITED_SECONDS


def next_end(state: State, era: int) -> int:
    """Returns where the topic must end for the holder's next claim.

    In an era in which it has no claim yet, that is behind the restored one.
    """
    if stored.era_of(state.newest) >= era:
        return state.newest + 1
    seen = state.seen
    if seen is None or stored.era_of(seen.offset) < era:
        return stored.Position(era, 0).packed
    return seen.offset + 1


def is_restored(state: State, seen: Seen, now: float) -> bool:
    """Tells whether a claim comes from a copy of the store, not from a rival.

    While a claim of the era before holds, nobody has claimed in the new one.
    """
    is_later = stored.era_of(seen.offset) > stored.era_of(state.newest)
    return is_later and holds(state, now)


def claimed(state: State, offset: int, sent_at: float) -> State:
    """Takes in that the own claim stands at `offset`."""
    is_first = state.role is not Role.coordinator
    is_new_era = stored.era_of(offset) > stored.era_of(state.term)
    return state._replace(
        role=Role.coordinator,
        term=offset if is_first or is_new_era else state.term,
        newest=offset,
        until=sent_at + LEASE_SECONDS,
        tenure=offset if is_first else state.tenure,
    )


def lost(state: State) -> State:
    """Takes in that another claim was accepted, or that the lease ended."""
    if state.role is Role.resigned:
        return state
    return state._replace(role=Role.follower, until=0)


def resigned(state: State) -> State:
    """Gives up the lease for good."""
    return state._replace(role=Role.resigned, until=0)


def holds(state: State, now: float) -> bool:
    """Tells whether this instance coordinates at `now`."""
    return state.role is Role.coordinator and now < state.until
