"""A queue that organisations share fairly: start-time fair queueing.

Each organisation has a lane. The lane whose head has the lowest start tag is
served next; a tag grows by the cost of what was served, so a lane that sends
much waits behind its own work alone. The queue is a value: every function
returns a new one. `push`, `pop` and `remove` copy O(log n) of the entries and
one tuple of lanes that wait.
"""

import bisect
import enum
import typing
from collections import abc

import immutables
import result

from bilberryglade._values import registry


class Entry(typing.NamedTuple):
    """A request that waits."""

    request_id: str
    organisation: str
    #: Monotonic seconds from which the entry is no longer worth serving.
    deadline: float
    #: Work that the entry stands for, in any unit that is common to all.
    cost: float = 1


class Bounds(typing.NamedTuple):
    """How many entries may wait."""

    total: int
    organisation: int


class Ticket(typing.NamedTuple):
    """Names a waiting entry, so that it can be removed."""

    organisation: str
    #: Place in the lane, counted from the first entry ever.
    place: int


class Lane(typing.NamedTuple):
    """The entries of one organisation; removed ones leave holes."""

    #: Place of the oldest entry that may still wait.
    first: int = 0
    #: Place of the next entry.
    end: int = 0
    waiting: int = 0
    #: Start tag: virtual time at which the head is due.
    start: float = 0
    #: Key of the lane's turn, if any entry waits.
    turn: float = 0


class Waiting(typing.NamedTuple):
    """A waiting entry with its number in order of arrival."""

    entry: Entry
    arrival: int


class Turn(typing.NamedTuple):
    """A lane that waits; the lowest turn is served next."""

    due: float
    organisation: str


class FairQueue(typing.NamedTuple):
    """All waiting entries, and whose turn it is."""

    bounds: Bounds
    #: Name of the registered discipline.
    discipline: str = 'fair'
    lanes: immutables.Map[str, Lane] = immutables.Map()
    entries: immutables.Map[Ticket, Waiting] = immutables.Map()
    #: Lanes that wait, sorted.
    turns: tuple[Turn, ...] = ()
    #: Start tag of the entry served last.
    virtual_time: float = 0
    arrivals: int = 0


class Refusal(enum.StrEnum):
    """Why an entry may not wait."""

    organisation_full = 'organisation_full'
    total_full = 'total_full'
    expired = 'expired'


class Pushed(typing.NamedTuple):
    """The queue with a new entry, and the entry that made place for it."""

    queue: FairQueue
    ticket: Ticket
    evicted: Entry | None = None


class Popped(typing.NamedTuple):
    """The queue without its next entry, and entries whose time was over."""

    queue: FairQueue
    entry: Entry | None
    expired: tuple[Entry, ...]


class Discipline(typing.NamedTuple):
    """How lanes are ordered."""

    #: Returns the key by which a lane with this head takes its turn.
    due: abc.Callable[[Lane, Waiting], float]
    #: Whether the longest lane makes place for a shorter one.
    evicts: bool


disciplines: typing.Final = registry.Registry[Discipline]('queue discipline')


def _by_start_tag(lane: Lane, head: Waiting) -> float:
    return lane.start


def _by_arrival(lane: Lane, head: Waiting) -> float:
    return head.arrival


disciplines.register('fair')(Discipline(_by_start_tag, evicts=True))
disciplines.register('first_come')(Discipline(_by_arrival, evicts=False))


def push(
    queue: FairQueue,
    entry: Entry,
    now: float,
) -> result.Result[Pushed, Refusal]:
    """Lets `entry` wait, if need be in the place of the longest lane's last.

    A full queue takes an entry of an organisation that has fewer entries than
    the longest lane: that lane's newest entry goes.
    """
    if entry.deadline <= now:
        return result.Err(Refusal.expired)
    lane = queue.lanes.get(entry.organisation, Lane())
    if lane.waiting >= queue.bounds.organisation:
        return result.Err(Refusal.organisation_full)
    if len(queue.entries) < queue.bounds.total:
        return result.Ok(_added(queue, entry))
    loser = _newest_of_longest(queue, lane.waiting + 1)
    if loser is None:
        return result.Err(Refusal.total_full)
    evicted = queue.entries[loser].entry
    pushed = _added(remove(queue, loser), entry)
    return result.Ok(pushed._replace(evicted=evicted))


def pop(queue: FairQueue, now: float) -> Popped:
    """Takes the next entry that is not expired, and the expired before it."""
    expired: list[Entry] = []
    while queue.turns:
        ticket = head_of(queue, queue.turns[0].organisation)
        entry = queue.entries[ticket].entry
        if entry.deadline > now:
            return Popped(_served(queue, ticket), entry, tuple(expired))
        expired.append(entry)
        queue = remove(queue, ticket)
    return Popped(queue, None, tuple(expired))


def remove(queue: FairQueue, ticket: Ticket) -> FairQueue:
    """Takes out an entry that shall not be served; unknown ones are ignored."""
    if ticket not in queue.entries:
        return queue
    lane = queue.lanes[ticket.organisation]
    left = queue._replace(
        entries=queue.entries.delete(ticket),
        turns=_without(queue.turns, Turn(lane.turn, ticket.organisation)),
    )
    shorter = lane._replace(waiting=lane.waiting - 1)
    return _with_turn(left, ticket.organisation, shorter)


def waiting_of(queue: FairQueue, organisation: str) -> int:
    """Returns how many entries of `organisation` wait."""
    return queue.lanes.get(organisation, Lane()).waiting


def head_of(queue: FairQueue, organisation: str) -> Ticket:
    """Returns the ticket of the oldest entry of a lane that waits."""
    place = queue.lanes[organisation].first
    while Ticket(organisation, place) not in queue.entries:
        place += 1
    return Ticket(organisation, place)


def _added(queue: FairQueue, entry: Entry) -> Pushed:
    organisation = entry.organisation
    lane = queue.lanes.get(organisation, Lane())
    if not lane.waiting:
        lane = lane._replace(start=max(queue.virtual_time, lane.start))
    ticket = Ticket(organisation, lane.end)
    arrived = Waiting(entry, queue.arrivals)
    added = queue._replace(
        entries=queue.entries.set(ticket, arrived),
        arrivals=queue.arrivals + 1,
        turns=_without(queue.turns, Turn(lane.turn, organisation)),
    )
    longer = lane._replace(end=lane.end + 1, waiting=lane.waiting + 1)
    return Pushed(_with_turn(added, organisation, longer), ticket)


def _served(queue: FairQueue, ticket: Ticket) -> FairQueue:
    lane = queue.lanes[ticket.organisation]
    cost = queue.entries[ticket].entry.cost
    left = queue._replace(
        entries=queue.entries.delete(ticket),
        turns=queue.turns[1:],
        virtual_time=lane.start,
    )
    served = lane._replace(start=lane.start + cost, waiting=lane.waiting - 1)
    return _with_turn(left, ticket.organisation, served)


def _with_turn(
    queue: FairQueue,
    organisation: str,
    lane: Lane,
) -> FairQueue:
    if not queue.entries:
        return FairQueue(
            queue.bounds, queue.discipline, arrivals=queue.arrivals
        )
    changed = queue._replace(lanes=queue.lanes.set(organisation, lane))
    if not lane.waiting:
        return changed
    head = head_of(changed, organisation)
    discipline = disciplines.entries[queue.discipline]
    due = discipline.due(lane, changed.entries[head])
    turns = list(queue.turns)
    bisect.insort(turns, Turn(due, organisation))
    placed = lane._replace(first=head.place, turn=due)
    return changed._replace(
        lanes=queue.lanes.set(organisation, placed),
        turns=tuple(turns),
    )


def _without(turns: tuple[Turn, ...], turn: Turn) -> tuple[Turn, ...]:
    place = bisect.bisect_left(turns, turn)
    if place < len(turns) and turns[place] == turn:
        return turns[:place] + turns[place + 1 :]
    return turns


def _newest_of_longest(queue: FairQueue, least: int) -> Ticket | None:
    if not disciplines.entries[queue.discipline].evicts:
        return None
    longest = max(
        queue.turns,
        key=lambda turn: queue.lanes[turn.organisation].waiting,
    ).organisation
    lane = queue.lanes[longest]
    if lane.waiting <= least:
        return None
    place = lane.end - 1
    while Ticket(longest, place) not in queue.entries:
        place -= 1
    return Ticket(longest, place)
