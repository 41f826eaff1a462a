"""Who coordinates: a lease that is kept as a record in the store.

A claim is appended on the condition that the topic has not grown since the
claimant looked. Its holder counts the lease from before it sent the claim,
everybody else from after they read it, so the lease ends at its holder first.
"""

import enum
import typing

#: Seconds that a claim holds; eight times the slowest answers of a slow store.
LEASE_SECONDS: typing.Final = 2.0
#: Seconds between renewals: two may fail before the lease ends. Others are told
#: of each.
RENEWAL_SECONDS: typing.Final = 0.5
#: Allowance for clocks that run apart.
DRIFT_PART: typing.Final = 0.02
#: Seconds between the end of a holder's work and a successor's claim.
MARGIN_SECONDS: typing.Final = 0.1


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
    #: Offset of the first claim of the own time as coordinator.
    term: int = -1
    #: Offset of the own newest claim.
    newest: int = -1
    #: Seconds until which the own claim holds.
    until: float = 0
    seen: Seen | None = None


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


def may_claim(state: State, address: str, now: float) -> bool:
    """Tells whether no lease of another process can hold at `now`.

    `address` is where this process listens: whoever listened there before it
    has ended, and its claim with it.
    """
    if state.role is not Role.follower:
        return False
    seen = state.seen
    if seen is None or seen.is_resigned:
        return True
    if seen.address == address:
        return True
    lease = LEASE_SECONDS * (1 + DRIFT_PART) + MARGIN_SECONDS
    return now > seen.first_seen + lease


def claimed(state: State, offset: int, sent_at: float) -> State:
    """Takes in that the own claim stands at `offset`."""
    is_first = state.role is not Role.coordinator
    return state._replace(
        role=Role.coordinator,
        term=offset if is_first else state.term,
        newest=offset,
        until=sent_at + LEASE_SECONDS,
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
